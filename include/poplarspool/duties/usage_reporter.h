#pragma once

#include "poplarspool/base/metrics.h"
#include "poplarspool/base/periodic_thread.h"
#include "poplarspool/duties/lease.h"
#include "poplarspool/duties/usage_exchange.h"

namespace poplarspool::duties {

/// Receiver of usage reports on the platform.
struct usage_sink
{
    /// Sends one report in the holder's name. Sends nothing once the term has ended.
    std::function<result<unit>(const usage_report &report, const lease_term &term)> send;
};

/// Dependencies of the reporter.
struct usage_reporter_dependencies
{
    const usage_context usage;
    /// Time after a window's end by which its report must have arrived.
    const milliseconds reportDeadline;
    const usage_sink sink;
    const clock_source clock;
    journal &events;
    metrics_registry &metrics;
    /// Whether this instance owns the duty. Two instances may both return true; the lease keeps
    /// them apart.
    std::function<bool()> isOwner;
};

/// Reports the usage of each window once its counts are complete, on a separate thread. A report is
/// stored in the checkpoint of the lease record before it is sent, so the next holder of the duty
/// sends the same report or none.
class usage_reporter
{
public:
    usage_reporter(usage_reporter_dependencies given, lease_store store, instance_id self,
                   milliseconds leaseBound);

    void start() { thread.start(); }
    void requestStop() { thread.requestStop(); }
    void stop() { thread.stop(); }

    /// Runs one iteration. Called by the reporter's thread and by tests.
    void runOnce();

private:
    window_number dueWindow(wall_time now) const;
    bool sendAll(const usage_checkpoint &checkpoint, const lease_term &term);
    bool send(const usage_report &report, const lease_term &term);
    void recordSkipped(const std::optional<usage_checkpoint> &before,
                       const usage_checkpoint &next) const;

    const usage_reporter_dependencies dependencies;
    duty_lease lease;
    counter &sent;
    counter &failed;
    counter &skipped;
    /// All windows up to it have been reported; none: unknown.
    std::optional<window_number> reportedUpTo;
    std::optional<window_number> deliveredUpTo; ///< This instance has sent all reports up to it.
    mono_time retryAt{};
    periodic_thread thread; ///< Last member: stops before the state it uses is destroyed.
};

} // namespace poplarspool::duties
