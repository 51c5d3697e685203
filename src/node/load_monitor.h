#pragma once

#include "node/sent_work_table.h"
#include "poplarspool/base/clock.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/node/view_publisher.h"
#include "poplarspool/peer/gossip.h"
#include "poplarspool/runner/engine.h"
#include "poplarspool/runner/service.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Tracks the load of the runners. One instance polls each runner and sends the load to the others
/// as a rumor. It is selected by rendezvous hashing among the instances of the runner's
/// availability zone; if two instances both consider themselves selected, the runner is polled
/// twice, which is harmless.
namespace poplarspool::node {

/// Load of a runner, as sent in a rumor's payload.
struct load_rumor
{
    bool isUp = false;
    policy::load_report report;

    bool operator==(const load_rumor &) const = default;
};

std::string textOf(const load_rumor &load);
result<load_rumor> parseLoadRumor(std::string_view text);

struct load_monitor_dependencies
{
    instance_id self;
    milliseconds pollTime;
    std::function<void(peer::rumor)> spread;
};

class load_monitor
{
public:
    load_monitor(load_monitor_dependencies dependencies, view_publisher &views,
                 sent_work_table &sentWork, runner::engine_api engines,
                 runner::service_api services, clock_source clock, metrics_registry &metrics,
                 journal &events);
    ~load_monitor();
    void start();
    void stop();

    /// Stores the load from a rumor whose key begins with loadRumorPrefix.
    void onRumor(const peer::rumor &rumor);

private:
    struct poll_state
    {
        load_rumor announced; ///< The load last spread by gossip.
        mono_time announcedAt{};
        std::uint32_t failures = 0;
    };

    void loop();
    void pollAll();
    void pollOne(const policy::view &now, std::size_t index);
    void announce(const runner_id &runner, const load_rumor &load);
    void publish();

    load_monitor_dependencies dependencies;
    view_publisher &views;
    sent_work_table &sentWork;
    runner::engine_api engines;
    runner::service_api services;
    clock_source clock;
    journal &events;
    counter &polls;

    std::map<runner_id, poll_state> pollStates;
    std::mutex guard;
    std::condition_variable wake;
    /// Load that has been received and is not yet published in a view.
    std::map<runner_id, std::pair<load_rumor, mono_time>> received;
    bool isStopping = false;
    std::thread poller;
};

inline constexpr std::string_view loadRumorPrefix = "load/";

} // namespace poplarspool::node
