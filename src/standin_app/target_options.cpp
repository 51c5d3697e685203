#include "standin_app/target_options.h"

#include <cxxopts.hpp>

#include <chrono>
#include <functional>
#include <sstream>
#include <utility>

namespace poplarspool::standin {

namespace {

using std::chrono::milliseconds;

/// Parses "NAME@VERSION,NAME@VERSION"; the version defaults to "1".
std::vector<engine_model> modelsOf(const std::string &text)
{
    std::vector<engine_model> models;
    std::istringstream list(text);
    std::string entry;
    while (std::getline(list, entry, ',')) {
        const std::size_t separator = entry.find('@');
        const bool hasVersion = separator != std::string::npos;
        models.push_back(
                {entry.substr(0, separator), hasVersion ? entry.substr(separator + 1) : "1"});
    }
    return models;
}

crash_mode crashModeOf(const std::string &name)
{
    if (name == "drop")
        return crash_mode::DropState;
    if (name == "exit")
        return crash_mode::Exit;
    if (name == "none")
        return crash_mode::None;
    throw cxxopts::exceptions::parsing("--crash-in-change must be none, drop or exit");
}

endpoint listenAddressOf(const cxxopts::ParseResult &parsed)
{
    const auto address = parseEndpoint(parsed["listen"].as<std::string>());
    if (!succeeded(address))
        throw cxxopts::exceptions::parsing("--listen: " + errorOf(address).message);
    return valueOf(address);
}

milliseconds timeOf(const cxxopts::ParseResult &parsed, const char *key)
{
    return milliseconds(parsed[key].as<std::uint32_t>());
}

template <class T>
std::shared_ptr<cxxopts::Value> valueWith(const char *defaultValue)
{
    return cxxopts::value<T>()->default_value(defaultValue);
}

void addCommonOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("listen", "Address; port 0: chosen by the system", valueWith<std::string>("127.0.0.1:0"));
    add("connections", "Maximum number of open connections", valueWith<std::uint32_t>("4096"));
    add("help", "Show this text");
}

cxxopts::Options engineCommandOptions()
{
    cxxopts::Options options("poplarspool-standin engine", "Emulates a model engine.");
    addCommonOptions(options);
    auto add = options.add_options();
    add("role", "mixed, prefill or decode", valueWith<std::string>("mixed"));
    add("models", "Models loaded at the start: NAME@VERSION,...",
        valueWith<std::string>("recovery-llm@1"));
    add("kv-pieces", "Pieces of KV memory", valueWith<std::uint32_t>("1000"));
    add("piece-tokens", "Tokens per piece", valueWith<std::uint32_t>("16"));
    add("batch", "Maximum streams per iteration", valueWith<std::uint32_t>("64"));
    add("chunk", "Maximum prefill tokens per iteration", valueWith<std::uint32_t>("512"));
    add("prefill-rate", "Prefill tokens per second", valueWith<double>("8000"));
    add("decode-rate", "Decoded tokens per second", valueWith<double>("1500"));
    add("iteration-us", "Minimum duration of an iteration, microseconds",
        valueWith<std::uint32_t>("8000"));
    add("max-queue", "Maximum number of queued requests", valueWith<std::uint32_t>("4096"));
    add("own-work-share", "Rate factor of a role for its own work", valueWith<double>("1.5"));
    add("other-work-share", "Rate factor of a role for the other work", valueWith<double>("0.25"));
    add("speed", "Divides all emulated times", valueWith<double>("1"));
    add("change-ms", "Duration of a change of role or models, milliseconds",
        valueWith<std::uint32_t>("3000"));
    add("load-lag-ms", "Age of load reports, milliseconds", valueWith<std::uint32_t>("0"));
    add("event-delay-ms", "Delay of cache events, milliseconds", valueWith<std::uint32_t>("0"));
    add("event-gap-every", "Drop every Nth cache event; 0: none", valueWith<std::uint32_t>("0"));
    add("crash-in-change", "Crash during the first change: none, drop or exit",
        valueWith<std::string>("none"));
    add("last-fence", "Fencing number known at the start", valueWith<std::uint64_t>("0"));
    add("ignore-fence", "Obey orders with stale fencing numbers");
    return options;
}

engine_options engineOptionsOf(const cxxopts::ParseResult &parsed)
{
    engine_options options;
    options.bind = listenAddressOf(parsed);
    options.connections = parsed["connections"].as<std::uint32_t>();
    options.setup.role = parsed["role"].as<std::string>();
    options.setup.models = modelsOf(parsed["models"].as<std::string>());
    options.batch.kvPieces = parsed["kv-pieces"].as<std::uint32_t>();
    options.batch.pieceTokens = parsed["piece-tokens"].as<std::uint32_t>();
    options.batch.maxRunning = parsed["batch"].as<std::uint32_t>();
    options.batch.chunkTokens = parsed["chunk"].as<std::uint32_t>();
    options.batch.prefillRate = parsed["prefill-rate"].as<double>();
    options.batch.decodeRate = parsed["decode-rate"].as<double>();
    options.batch.minIteration =
            std::chrono::microseconds(parsed["iteration-us"].as<std::uint32_t>());
    options.maxQueue = parsed["max-queue"].as<std::uint32_t>();
    options.ownWorkShare = parsed["own-work-share"].as<double>();
    options.otherWorkShare = parsed["other-work-share"].as<double>();
    options.speed = parsed["speed"].as<double>();
    options.changeTime = timeOf(parsed, "change-ms");
    options.loadLag = timeOf(parsed, "load-lag-ms");
    options.eventDelay = timeOf(parsed, "event-delay-ms");
    options.eventGapEvery = parsed["event-gap-every"].as<std::uint32_t>();
    options.crashInChange = crashModeOf(parsed["crash-in-change"].as<std::string>());
    options.lastFence = parsed["last-fence"].as<std::uint64_t>();
    options.respectsFence = parsed.count("ignore-fence") == 0;
    if (!isRole(options.setup.role))
        throw cxxopts::exceptions::parsing("--role must be mixed, prefill or decode");
    const bool isUsable = options.batch.kvPieces > 0 && options.batch.pieceTokens > 0
            && options.batch.maxRunning > 0 && options.batch.chunkTokens > 0
            && options.batch.prefillRate > 0 && options.batch.decodeRate > 0 && options.speed > 0
            && options.ownWorkShare > 0 && options.otherWorkShare > 0;
    if (!isUsable)
        throw cxxopts::exceptions::parsing("rates, sizes and speed must be greater than zero");
    return options;
}

cxxopts::Options serviceCommandOptions()
{
    cxxopts::Options options("poplarspool-standin service", "Emulates a plain service.");
    addCommonOptions(options);
    auto add = options.add_options();
    add("name", "Service name in each reply", valueWith<std::string>("service"));
    add("work-ms", "Processing time of each request, milliseconds", valueWith<std::uint32_t>("0"));
    return options;
}

service_options serviceOptionsOf(const cxxopts::ParseResult &parsed)
{
    service_options options;
    options.bind = listenAddressOf(parsed);
    options.connections = parsed["connections"].as<std::uint32_t>();
    options.name = parsed["name"].as<std::string>();
    options.workTime = timeOf(parsed, "work-ms");
    return options;
}

template <class T>
result<std::variant<T, help_text>> parseArguments(cxxopts::Options options,
                                                  const std::vector<std::string> &arguments,
                                                  T (*convert)(const cxxopts::ParseResult &))
{
    std::vector<const char *> argv{"poplarspool-standin"};
    for (const std::string &argument : arguments)
        argv.push_back(argument.c_str());
    try {
        const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") > 0)
            return std::variant<T, help_text>(help_text{options.help()});
        if (!parsed.unmatched().empty())
            return notRun(error_code::BadRequest,
                          "unexpected argument: " + parsed.unmatched().front());
        return std::variant<T, help_text>(convert(parsed));
    } catch (const cxxopts::exceptions::exception &fault) {
        return notRun(error_code::BadRequest, fault.what());
    }
}

} // namespace

result<std::variant<engine_options, help_text>>
parseEngineOptions(const std::vector<std::string> &arguments)
{
    return parseArguments(engineCommandOptions(), arguments, engineOptionsOf);
}

result<std::variant<service_options, help_text>>
parseServiceOptions(const std::vector<std::string> &arguments)
{
    return parseArguments(serviceCommandOptions(), arguments, serviceOptionsOf);
}

} // namespace poplarspool::standin
