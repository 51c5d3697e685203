#include "bench/process_stat.h"

#include "bench/command.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace poplarspool::bench {

namespace {

// Places after the command's closing bracket, from proc(5).
constexpr std::size_t userTicksPlace = 11;
constexpr std::size_t systemTicksPlace = 12;

result<std::uint64_t> countIn(std::string_view text)
{
    std::uint64_t count = 0;
    const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (fault != std::errc())
        return notRun(error_code::Broken, "\"" + std::string(text) + "\" is no count");
    return count;
}

result<std::string> textOfFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return notRun(error_code::NotFound, "can't read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

result<std::chrono::nanoseconds> cpuTimeIn(std::string_view stat, std::int64_t ticksPerSecond)
{
    // The command stands in brackets and may hold blanks and brackets itself.
    const std::size_t bracket = stat.rfind(')');
    if (bracket == std::string_view::npos)
        return notRun(error_code::Broken, "no command in the process's stat");
    const std::vector<std::string> fields = partsOf(stat.substr(bracket + 1), ' ');
    if (fields.size() <= systemTicksPlace)
        return notRun(error_code::Broken, "too few fields in the process's stat");
    const auto user = countIn(fields[userTicksPlace]);
    const auto system = countIn(fields[systemTicksPlace]);
    if (!succeeded(user))
        return errorOf(user);
    if (!succeeded(system))
        return errorOf(system);
    const std::uint64_t ticks = valueOf(user) + valueOf(system);
    return std::chrono::nanoseconds(ticks * (1'000'000'000 / ticksPerSecond));
}

result<std::uint64_t> residentKbIn(std::string_view status)
{
    constexpr std::string_view label = "VmRSS:";
    const std::size_t start = status.find(label);
    if (start == std::string_view::npos)
        return notRun(error_code::Broken, "no VmRSS in the process's status");
    std::string_view rest = status.substr(start + label.size());
    rest.remove_prefix(std::min(rest.find_first_not_of(" \t"), rest.size()));
    return countIn(rest);
}

result<process_stat> readProcess(std::int64_t pid)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    const auto stat = textOfFile(folder + "/stat");
    if (!succeeded(stat))
        return errorOf(stat);
    const auto status = textOfFile(folder + "/status");
    if (!succeeded(status))
        return errorOf(status);
    const auto cpuTime = cpuTimeIn(valueOf(stat), sysconf(_SC_CLK_TCK));
    if (!succeeded(cpuTime))
        return errorOf(cpuTime);
    const auto resident = residentKbIn(valueOf(status));
    if (!succeeded(resident))
        return errorOf(resident);
    return process_stat{valueOf(cpuTime), valueOf(resident)};
}

} // namespace poplarspool::bench
