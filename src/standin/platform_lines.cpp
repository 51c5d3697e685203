#include "standin/platform_lines.h"

namespace poplarspool::standin {

namespace {

/// Maximum lag that a test sets; older lists are dropped.
constexpr std::chrono::minutes retention{10};

} // namespace

lagging_list::lagging_list(std::function<clock_type::time_point()> now)
    : now(std::move(now)), past{{clock_type::time_point::min(), {}}}
{ }

void lagging_list::setLag(std::chrono::milliseconds time)
{
    const std::lock_guard guard(lock);
    lag = time;
}

void lagging_list::append(lines_by_id entries)
{
    const auto time = now();
    past.push_back({time, std::move(entries)});
    while (past.size() > 1 && past[1].since < time - retention)
        past.pop_front();
}

void lagging_list::set(const instance_line &entry)
{
    const std::lock_guard guard(lock);
    lines_by_id entries = past.back().lines;
    entries[entry.id] = entry;
    append(std::move(entries));
}

void lagging_list::remove(const std::string &id)
{
    const std::lock_guard guard(lock);
    lines_by_id entries = past.back().lines;
    entries.erase(id);
    append(std::move(entries));
}

std::vector<instance_line> lagging_list::seen()
{
    const std::lock_guard guard(lock);
    const auto asOf = now() - lag;
    auto at = past.rbegin();
    while (at->since > asOf && std::next(at) != past.rend())
        ++at;
    std::vector<instance_line> found;
    for (const auto &[id, entry] : at->lines)
        found.push_back(entry);
    return found;
}

} // namespace poplarspool::standin
