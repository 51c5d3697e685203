#include "standin/platform_lines.h"

namespace poplarspool::standin {

namespace {

/// Longest lag that a test asks for; older lists are forgotten.
constexpr std::chrono::minutes keptTime{10};

} // namespace

lagging_list::lagging_list(std::function<clock_type::time_point()> now)
    : now(std::move(now)), past{{clock_type::time_point::min(), {}}}
{ }

void lagging_list::setLag(std::chrono::milliseconds time)
{
    const std::lock_guard guard(lock);
    lag = time;
}

void lagging_list::append(lines_by_id lines)
{
    const auto time = now();
    past.push_back({time, std::move(lines)});
    while (past.size() > 1 && past[1].since < time - keptTime)
        past.pop_front();
}

void lagging_list::set(const instance_line &line)
{
    const std::lock_guard guard(lock);
    lines_by_id lines = past.back().lines;
    lines[line.id] = line;
    append(std::move(lines));
}

void lagging_list::remove(const std::string &id)
{
    const std::lock_guard guard(lock);
    lines_by_id lines = past.back().lines;
    lines.erase(id);
    append(std::move(lines));
}

std::vector<instance_line> lagging_list::seen()
{
    const std::lock_guard guard(lock);
    const auto asOf = now() - lag;
    auto at = past.rbegin();
    while (at->since > asOf && std::next(at) != past.rend())
        ++at;
    std::vector<instance_line> out;
    for (const auto &[id, line] : at->lines)
        out.push_back(line);
    return out;
}

} // namespace poplarspool::standin
