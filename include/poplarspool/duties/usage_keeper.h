#pragma once

#include "poplarspool/base/look_thread.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/duties/lease.h"
#include "poplarspool/duties/usage_exchange.h"

namespace poplarspool::duties {

/// The platform, as far as usage needs it.
struct usage_sink
{
    /// Sends one report in the holder's name. Nothing leaves once the term is over.
    std::function<result<unit>(const usage_report &report, const lease_term &term)> send;
};

/// What the keeper works with.
struct usage_tools
{
    const usage_parts parts;
    const milliseconds late; ///< After a window's end, by which its report has to be there.
    const usage_sink sink;
    const clock_source clock;
    journal &events;
    metrics_registry &metrics;
    /// Whether the duty falls on this instance. Two may think so: the lease keeps them apart.
    std::function<bool()> isOwner;
};

/// Reports each window's usage once it is counted, on a thread of its own. Before a report is sent
/// it stands in the store, in the lease's record: whoever has the duty next sends the same, or
/// none.
class usage_keeper
{
public:
    usage_keeper(usage_tools tools, lease_store store, instance_id self, milliseconds leaseBound);

    void start() { thread.start(); }
    void requestStop() { thread.requestStop(); }
    void stop() { thread.stop(); }

    /// One look, and what follows from it. Of the keeper's thread, and of tests.
    void look();

private:
    window_number dueWindow(wall_time now) const;
    bool sendAll(const usage_note &note, const lease_term &term);
    bool send(const usage_report &report, const lease_term &term);
    void noteSkipped(const std::optional<usage_note> &before, const usage_note &next) const;

    const usage_tools tools;
    duty_lease lease;
    counter &sent;
    counter &failed;
    counter &skipped;
    std::optional<window_number> done; ///< All up to it is reported; none: not known.
    std::optional<window_number> delivered; ///< Sent by this instance, all up to it.
    mono_time nextTryAt{};
    look_thread thread; ///< Ends before what it looks at.
};

} // namespace poplarspool::duties
