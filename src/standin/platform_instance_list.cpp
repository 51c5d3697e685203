#include "standin/platform_instance_list.h"

namespace poplarspool::standin {

namespace {

/// Maximum lag that a test sets; older lists are dropped.
constexpr std::chrono::minutes retention{10};

} // namespace

delayed_instance_list::delayed_instance_list(std::function<clock_type::time_point()> now)
    : now(std::move(now)), history{{clock_type::time_point::min(), {}}}
{ }

void delayed_instance_list::setLag(std::chrono::milliseconds time)
{
    const std::lock_guard guard(lock);
    lag = time;
}

void delayed_instance_list::append(entries_by_id entries)
{
    const auto time = now();
    history.push_back({time, std::move(entries)});
    while (history.size() > 1 && history[1].since < time - retention)
        history.pop_front();
}

void delayed_instance_list::set(const instance_entry &entry)
{
    const std::lock_guard guard(lock);
    entries_by_id entries = history.back().entries;
    entries[entry.id] = entry;
    append(std::move(entries));
}

void delayed_instance_list::remove(const std::string &id)
{
    const std::lock_guard guard(lock);
    entries_by_id entries = history.back().entries;
    entries.erase(id);
    append(std::move(entries));
}

std::vector<instance_entry> delayed_instance_list::visible()
{
    const std::lock_guard guard(lock);
    const auto asOf = now() - lag;
    auto at = history.rbegin();
    while (at->since > asOf && std::next(at) != history.rend())
        ++at;
    std::vector<instance_entry> found;
    for (const auto &[id, entry] : at->entries)
        found.push_back(entry);
    return found;
}

} // namespace poplarspool::standin
