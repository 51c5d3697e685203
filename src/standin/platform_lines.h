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
struct instance_line
{
    std::string id;
    std::string zone;
    std::string peer;
    bool isLeaving = false;

    bool operator==(const instance_line &) const = default;
};

/// Serves the list of instances as it was a configurable time ago. Thread-safe.
class lagging_list
{
public:
    using clock_type = std::chrono::steady_clock;
    explicit lagging_list(std::function<clock_type::time_point()> now = clock_type::now);

    void setLag(std::chrono::milliseconds time);
    /// Adds the entry, or replaces the one with its id.
    void set(const instance_line &entry);
    void remove(const std::string &id);
    /// @returns The list as it was `lag` ago.
    std::vector<instance_line> seen();

private:
    using lines_by_id = std::map<std::string, instance_line>;
    struct past_list
    {
        clock_type::time_point since;
        lines_by_id lines;
    };

    void append(lines_by_id entries);

    const std::function<clock_type::time_point()> now;
    std::mutex lock;
    std::chrono::milliseconds lag{0};
    std::deque<past_list> past; ///< Oldest first; never empty.
};

} // namespace poplarspool::standin
