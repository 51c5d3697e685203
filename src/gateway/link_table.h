#pragma once

#include "base/connect.h"
#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace poplarspool::gateway {

/// Which runners only other instances reach. A failed connection alone doesn't break a link: the
/// runner may be gone. It takes another instance that reaches the runner at that moment.
/// Thread-safe.
class link_table
{
public:
    explicit link_table(clock_source clock) : clock(std::move(clock)) { }

    /// @returns Whether a connection to the runner has to be carried by another instance: its link
    ///          is broken, or all are.
    bool isBroken(const runner_id &target) const;
    /// @returns The same, and connections that exist carry nothing either.
    bool isSilent(const runner_id &target) const;
    /// @returns Whether this instance counts as cut off from all runners: it has reached none since
    ///          several links broke.
    bool isCutOff() const { return cutOff.load(std::memory_order_relaxed); }
    std::size_t brokenCount() const { return count.load(std::memory_order_relaxed); }

    /// Records that this instance has connected to the runner.
    /// @returns Whether the link was broken.
    bool recordReached(const runner_id &target);
    /// Records that a connection has failed while another instance reached the runner.
    /// @param end How the connection failed.
    /// @returns Whether the link was not known to be broken.
    bool recordBroken(const runner_id &target, connect_end end);
    /// Forgets a runner that is no longer listed.
    void remove(const runner_id &target);

    /// Records that a call has had no news from its runner for config::silentCallInterval.
    /// @returns Whether several runners are silent.
    bool recordSilentCall(const runner_id &target);
    /// Records that a runner has sent something over a direct connection.
    void recordHeard();
    /// @returns Runners whose silence has to be explained: several are silent, and none was heard
    ///          in between. Empties the list.
    std::vector<runner_id> takeSilentRunners();

    /// @returns Broken links that have not been probed within the interval, at most
    ///          config::maxLinkProbes, those probed longest ago first.
    std::vector<runner_id> takeDueProbes();

private:
    struct broken_link
    {
        connect_end end = connect_end::Silent;
        mono_time probedAt{};
    };

    void updateState();

    const clock_source clock;
    std::atomic<std::size_t> count{0};
    std::atomic<std::size_t> silentCount{0};
    std::atomic<bool> cutOff{false};
    mutable std::mutex guard;
    std::map<runner_id, broken_link> broken;
    /// Of these, those found since this instance last reached a runner.
    std::set<runner_id> inRow;
    std::set<runner_id> silentRunners;
};

} // namespace poplarspool::gateway
