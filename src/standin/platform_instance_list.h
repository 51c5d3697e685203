#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace poplarspool::standin {

/// One entry of the stand-in's list of instances.
struct instance_entry
{
    std::string id;
    std::string zone;
    std::string peer;
    bool isLeaving = false;

    bool operator==(const instance_entry &) const = default;
};

/// Serves the list of instances as it was a configurable time ago. Thread-safe.
class delayed_instance_list
{
public:
    using clock_type = std::chrono::steady_clock;
    explicit delayed_instance_list(std::function<clock_type::time_point()> now = clock_type::now);

    void setLag(std::chrono::milliseconds time);
    /// Adds the entry, or replaces the one with its id.
    void set(const instance_entry &entry);
    void remove(const std::string &id);
    /// @returns The list as it was `lag` ago.
    std::vector<instance_entry> visible();

private:
    using entries_by_id = std::map<std::string, instance_entry>;
    struct list_version
    {
        clock_type::time_point since;
        entries_by_id entries;
    };

    void append(entries_by_id entries);

    const std::function<clock_type::time_point()> now;
    std::mutex lock;
    std::chrono::milliseconds lag{0};
    std::deque<list_version> history; ///< Oldest first; never empty.
};

} // namespace poplarspool::standin
