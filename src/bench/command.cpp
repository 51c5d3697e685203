#include "bench/command.h"

#include <charconv>
#include <iostream>

namespace poplarspool::bench {

namespace {

endpoint parseAddress(const std::string &text)
{
    const result<endpoint> parsed = parseEndpoint(text);
    if (!succeeded(parsed))
        throw usage_error(errorOf(parsed).message);
    return valueOf(parsed);
}

int reportUsageError(const cxxopts::Options &options, const char *message)
{
    std::cerr << message << '\n' << options.help();
    return exitUsage;
}

} // namespace

int parseAndRun(cxxopts::Options &options, const argument_list &arguments,
                const std::function<int(const cxxopts::ParseResult &)> &body)
{
    options.add_options()("help", "Show this text");
    std::vector<const char *> raw{"poplarspool-bench"};
    for (const std::string &argument : arguments)
        raw.push_back(argument.c_str());
    try {
        const auto parsed = options.parse(static_cast<int>(raw.size()), raw.data());
        if (parsed.count("help") == 0)
            return body(parsed);
        std::cout << options.help();
        return exitSuccess;
    } catch (const cxxopts::exceptions::exception &fault) {
        return reportUsageError(options, fault.what());
    } catch (const usage_error &fault) {
        return reportUsageError(options, fault.what());
    }
}

endpoint endpointOption(const cxxopts::ParseResult &parsed, const std::string &name)
{
    return parseAddress(parsed[name].as<std::string>());
}

std::vector<endpoint> endpointsOption(const cxxopts::ParseResult &parsed, const std::string &name)
{
    std::vector<endpoint> found;
    for (const std::string &part : splitNonEmpty(parsed[name].as<std::string>(), ','))
        found.push_back(parseAddress(part));
    if (found.empty())
        throw usage_error("--" + name + " contains no address");
    return found;
}

std::uint64_t countOption(const cxxopts::ParseResult &parsed, const std::string &name,
                          std::uint64_t min)
{
    const std::string text = parsed[name].as<std::string>();
    std::uint64_t count = 0;
    const char *end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, count);
    if (fault != std::errc() || stop != end || count < min)
        throw usage_error("--" + name + " must be an integer of at least " + std::to_string(min));
    return count;
}

std::vector<std::string> splitNonEmpty(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        if (end > 0)
            parts.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

double parseNumber(const std::string &text)
{
    double number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, number);
    if (fault != std::errc() || stop != end)
        throw usage_error("\"" + text + "\" is not a number");
    return number;
}

} // namespace poplarspool::bench
