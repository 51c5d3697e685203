#pragma once

#include "gateway/runner_connector.h"
#include "poplarspool/base/named_thread.h"
#include "poplarspool/gateway/catalogue.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace poplarspool::gateway {

struct link_prober_dependencies
{
    const catalogue_publisher &publisher;
    runner_connector &connector;
    /// Announces whether this instance is cut off from the runners.
    std::function<void(bool isCutOff)> announce;
    const clock_source clock;
    const step_failure_reporter faults;
};

/// Probes broken links until they are restored, and checks links whose calls have fallen silent, on
/// a thread of its own. While all links are sound and none is silent, the thread sleeps.
class link_prober
{
public:
    explicit link_prober(link_prober_dependencies given) : dependencies(std::move(given)) { }
    ~link_prober() { stop(); }

    void start();
    /// Called when there is a link to probe or to check. Doesn't block.
    void wake();
    void stop();

private:
    struct probe
    {
        runner target;
        connect_end end = connect_end::Silent;
    };

    void run();
    bool waitForWork();
    void runOnce();
    std::vector<probe> probeLinks(const std::vector<runner_id> &ids);
    void announceChanges();

    const link_prober_dependencies dependencies;
    std::mutex guard;
    std::condition_variable changed;
    bool isAwake = false;
    bool isStopping = false;
    std::thread thread;
    // Used by the thread only.
    bool isCutOffAnnounced = false;
    mono_time announcedAt{};
};

} // namespace poplarspool::gateway
