#include "bench/process_usage.h"

#include "bench/command.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace poplarspool::bench {

namespace {

// Indexes of the fields after the closing parenthesis of the command name, see proc(5).
constexpr std::size_t userTicksIndex = 11;
constexpr std::size_t systemTicksIndex = 12;

result<std::uint64_t> parseCount(std::string_view text)
{
    std::uint64_t count = 0;
    const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (fault != std::errc())
        return notRun(error_code::Broken,
                      "\"" + std::string(text) + "\" is not an unsigned integer");
    return count;
}

result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return notRun(error_code::NotFound, "cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

result<std::chrono::nanoseconds> parseCpuTime(std::string_view stat, std::int64_t ticksPerSecond)
{
    // The command name is in parentheses and may itself contain spaces and parentheses.
    const std::size_t parenthesis = stat.rfind(')');
    if (parenthesis == std::string_view::npos)
        return notRun(error_code::Broken, "no command name in the stat file of the process");
    const std::vector<std::string> fields = splitNonEmpty(stat.substr(parenthesis + 1), ' ');
    if (fields.size() <= systemTicksIndex)
        return notRun(error_code::Broken, "too few fields in the stat file of the process");
    const auto user = parseCount(fields[userTicksIndex]);
    const auto system = parseCount(fields[systemTicksIndex]);
    if (!succeeded(user))
        return errorOf(user);
    if (!succeeded(system))
        return errorOf(system);
    const std::uint64_t ticks = valueOf(user) + valueOf(system);
    return std::chrono::nanoseconds(ticks * (1'000'000'000 / ticksPerSecond));
}

result<std::uint64_t> parseResidentKb(std::string_view status)
{
    constexpr std::string_view label = "VmRSS:";
    const std::size_t start = status.find(label);
    if (start == std::string_view::npos)
        return notRun(error_code::Broken, "no VmRSS in the status file of the process");
    std::string_view rest = status.substr(start + label.size());
    rest.remove_prefix(std::min(rest.find_first_not_of(" \t"), rest.size()));
    return parseCount(rest);
}

result<process_usage> readProcessUsage(std::int64_t pid)
{
    const std::string directory = "/proc/" + std::to_string(pid);
    const auto stat = readFile(directory + "/stat");
    if (!succeeded(stat))
        return errorOf(stat);
    const auto status = readFile(directory + "/status");
    if (!succeeded(status))
        return errorOf(status);
    const auto cpuTime = parseCpuTime(valueOf(stat), sysconf(_SC_CLK_TCK));
    if (!succeeded(cpuTime))
        return errorOf(cpuTime);
    const auto resident = parseResidentKb(valueOf(status));
    if (!succeeded(resident))
        return errorOf(resident);
    return process_usage{valueOf(cpuTime), valueOf(resident)};
}

} // namespace poplarspool::bench
