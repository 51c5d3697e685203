#pragma once

#include "node/work_ledger.h"
#include "poplarspool/base/clock.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/node/view_hub.h"
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

/// Learns how busy the runners are: one instance per runner polls it, and tells the others by
/// rumor. Which one, is settled by rendezvous hashing in the runner's availability zone; two that
/// both think so only poll twice.
namespace poplarspool::node {

/// Load of a runner as a rumor's payload.
struct heard_load
{
    bool isUp = false;
    policy::load_report report;

    bool operator==(const heard_load &) const = default;
};

std::string textOf(const heard_load &load);
result<heard_load> parseHeardLoad(std::string_view text);

struct load_watch_needs
{
    instance_id self;
    milliseconds pollTime;
    std::function<void(peer::rumor)> spread;
};

class load_watch
{
public:
    load_watch(load_watch_needs needs, view_hub &views, work_ledger &ledger,
               runner::engine_api engines, runner::service_api services, clock_source clock,
               metrics_registry &metrics, journal &events);
    ~load_watch();
    void start();
    void stop();

    /// A rumor whose key begins with loadRumorPrefix.
    void onRumor(const peer::rumor &news);

private:
    struct polled
    {
        heard_load told; ///< What was last spread.
        mono_time toldAt{};
        std::uint32_t failures = 0;
    };

    void loop();
    void pollAll();
    void pollOne(const policy::view &now, std::size_t index);
    void tell(const runner_id &runner, const heard_load &load);
    void publish();

    load_watch_needs needs;
    view_hub &views;
    work_ledger &ledger;
    runner::engine_api engines;
    runner::service_api services;
    clock_source clock;
    journal &events;
    counter &polls;

    std::map<runner_id, polled> mine;
    std::mutex guard;
    std::condition_variable wake;
    std::map<runner_id, std::pair<heard_load, mono_time>> heard; ///< Not published yet.
    bool isStopping = false;
    std::thread poller;
};

inline constexpr std::string_view loadRumorPrefix = "load/";

} // namespace poplarspool::node
