#pragma once

#include "poplarspool/gateway/catalogue_updater.h"

#include <set>
#include <string>
#include <vector>

namespace poplarspool::gateway::test {

using namespace std::chrono_literals;

inline constexpr milliseconds settleTime = 3s;

inline runner runnerOf(const std::string &id, bool isDraining = false)
{
    runner made;
    made.id.text = id;
    made.service.text = "s";
    made.address = {"127.0.0.1", 80};
    made.isDraining = isDraining;
    return made;
}

inline runner writtenRunner(const std::string &id, std::uint64_t writes)
{
    runner made = runnerOf(id);
    made.writes = writes;
    return made;
}

/// The updates of one instance, without a store.
struct updater_fixture
{
    mono_time now{std::chrono::hours(1)};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    journal events{{"test"}, clock, 16};
    catalogue_publisher publisher{catalogue{}};
    std::set<runner_id> leaving; ///< Runners that have said that they leave.
    std::vector<std::uint64_t> published; ///< Versions of the tables that were reported.
    catalogue_updater updater{
            publisher,
            settleTime,
            clock,
            events,
            [this](const runner &target) { return leaving.contains(target.id); },
            [this](const route_table &table) { published.push_back(table.version); }};

    /// Simulates an outage of the store.
    /// @param noticedAfter Time from the last failed call to the first answer.
    void simulateOutage(milliseconds time, milliseconds noticedAfter = 100ms)
    {
        updater.recordStoreFailure(now);
        now += time - noticedAfter;
        updater.recordStoreFailure(now);
        now += noticedAfter;
        updater.recordStoreAnswer();
    }

    /// The runner says that it leaves.
    void leave(const std::string &id)
    {
        leaving.insert({id});
        updater.applyLeaving({id});
    }

    /// @returns Whether requests may be sent to the runner.
    bool isUsed(const std::string &id) const
    {
        const auto known = publisher.current();
        const runner_entry found = known->runners->find({id});
        return found && !found->isDraining && found->retainedUntil > now;
    }
};

} // namespace poplarspool::gateway::test
