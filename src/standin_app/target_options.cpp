#include "standin_app/target_options.h"

#include <cxxopts.hpp>

#include <chrono>
#include <functional>
#include <sstream>
#include <utility>

namespace poplarspool::standin {

namespace {

using std::chrono::milliseconds;

/// "NAME@VERSION,NAME@VERSION"; without a version it is "1".
std::vector<engine_model> modelsOf(const std::string &text)
{
    std::vector<engine_model> models;
    std::istringstream list(text);
    std::string entry;
    while (std::getline(list, entry, ',')) {
        const std::size_t mark = entry.find('@');
        const bool hasVersion = mark != std::string::npos;
        models.push_back({entry.substr(0, mark), hasVersion ? entry.substr(mark + 1) : "1"});
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
    throw cxxopts::exceptions::parsing("--crash-in-change is none, drop or exit");
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
std::shared_ptr<cxxopts::Value> valueWith(const char *standard)
{
    return cxxopts::value<T>()->default_value(standard);
}

void addCommon(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("listen", "Address; port 0 chooses one", valueWith<std::string>("127.0.0.1:0"));
    add("connections", "Open connections at most", valueWith<std::uint32_t>("4096"));
    add("help", "Show this text");
}

cxxopts::Options engineCommandLine()
{
    cxxopts::Options options("poplarspool-standin engine", "Emulates a model engine.");
    addCommon(options);
    auto add = options.add_options();
    add("role", "mixed, prefill or decode", valueWith<std::string>("mixed"));
    add("models", "Loaded at the start: NAME@VERSION,...",
        valueWith<std::string>("recovery-llm@1"));
    add("kv-pieces", "Pieces of KV memory", valueWith<std::uint32_t>("1000"));
    add("piece-tokens", "Tokens per piece", valueWith<std::uint32_t>("16"));
    add("batch", "Streams per iteration at most", valueWith<std::uint32_t>("64"));
    add("chunk", "Prefill tokens per iteration", valueWith<std::uint32_t>("512"));
    add("prefill-rate", "Prefill tokens a second", valueWith<double>("8000"));
    add("decode-rate", "Decoded tokens a second", valueWith<double>("1500"));
    add("iteration-us", "Shortest iteration, microseconds", valueWith<std::uint32_t>("8000"));
    add("max-queue", "Waiting requests at most", valueWith<std::uint32_t>("4096"));
    add("own-work-share", "Rate of a role at its own work", valueWith<double>("1.5"));
    add("other-work-share", "Rate of a role at the other work", valueWith<double>("0.25"));
    add("speed", "Divides every emulated time", valueWith<double>("1"));
    add("change-ms", "Time of a change of role or models", valueWith<std::uint32_t>("3000"));
    add("load-lag-ms", "Age of load reports", valueWith<std::uint32_t>("0"));
    add("event-delay-ms", "Lateness of cache events", valueWith<std::uint32_t>("0"));
    add("event-gap-every", "Loses every Nth cache event", valueWith<std::uint32_t>("0"));
    add("crash-in-change", "none, drop or exit: in the first change",
        valueWith<std::string>("none"));
    add("last-fence", "Fencing number known at the start", valueWith<std::uint64_t>("0"));
    add("ignore-fence", "Obeys orders with old fencing numbers");
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
        throw cxxopts::exceptions::parsing("--role is mixed, prefill or decode");
    const bool isUsable = options.batch.kvPieces > 0 && options.batch.pieceTokens > 0
            && options.batch.maxRunning > 0 && options.batch.chunkTokens > 0
            && options.batch.prefillRate > 0 && options.batch.decodeRate > 0 && options.speed > 0
            && options.ownWorkShare > 0 && options.otherWorkShare > 0;
    if (!isUsable)
        throw cxxopts::exceptions::parsing("rates, sizes and speed must be above zero");
    return options;
}

cxxopts::Options serviceCommandLine()
{
    cxxopts::Options options("poplarspool-standin service", "Emulates a plain service.");
    addCommon(options);
    auto add = options.add_options();
    add("name", "Told in each reply", valueWith<std::string>("service"));
    add("work-ms", "Time of each request", valueWith<std::uint32_t>("0"));
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
result<std::variant<T, help_text>> parseWords(cxxopts::Options line,
                                              const std::vector<std::string> &words,
                                              T (*read)(const cxxopts::ParseResult &))
{
    std::vector<const char *> arguments{"poplarspool-standin"};
    for (const std::string &word : words)
        arguments.push_back(word.c_str());
    try {
        const auto parsed = line.parse(static_cast<int>(arguments.size()), arguments.data());
        if (parsed.count("help") > 0)
            return std::variant<T, help_text>(help_text{line.help()});
        if (!parsed.unmatched().empty())
            return notRun(error_code::BadRequest, "unknown word: " + parsed.unmatched().front());
        return std::variant<T, help_text>(read(parsed));
    } catch (const cxxopts::exceptions::exception &fault) {
        return notRun(error_code::BadRequest, fault.what());
    }
}

} // namespace

result<std::variant<engine_options, help_text>>
parseEngineOptions(const std::vector<std::string> &words)
{
    return parseWords(engineCommandLine(), words, engineOptionsOf);
}

result<std::variant<service_options, help_text>>
parseServiceOptions(const std::vector<std::string> &words)
{
    return parseWords(serviceCommandLine(), words, serviceOptionsOf);
}

} // namespace poplarspool::standin
