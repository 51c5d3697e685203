#include "poplarspool/node/instance.h"

#include "node/demand.h"
#include "node/fleet_report.h"
#include "node/load_monitor.h"
#include "node/membership.h"
#include "node/order_sender.h"
#include "node/request_deduplicator.h"
#include "node/request_handler.h"
#include "node/sent_work_table.h"
#include "node/watched_sync.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/caller/caller_server.h"
#include "poplarspool/node/answers.h"
#include "poplarspool/node/claims.h"
#include "poplarspool/node/limits.h"
#include "poplarspool/node/orders.h"
#include "poplarspool/node/view_publisher.h"
#include "poplarspool/operators/operator_server.h"
#include "poplarspool/peer/calls.h"
#include "poplarspool/peer/gossip.h"
#include "poplarspool/peer/limits.h"
#include "poplarspool/platform/instance_list.h"
#include "poplarspool/platform/object_store.h"
#include "poplarspool/platform/weight_store.h"
#include "poplarspool/policy/limits.h"
#include "poplarspool/policy/role_owner.h"
#include "poplarspool/runner/engine.h"
#include "poplarspool/runner/service.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace poplarspool::node {

namespace {

/// @returns Incarnation of this process. It is higher than all earlier ones, because the wall clock
///          advances between a stop and the next start.
incarnation_number newIncarnation(const clock_source &clock)
{
    return static_cast<incarnation_number>(clock.wall().time_since_epoch().count());
}

policy::member selfOf(const settings &choices, incarnation_number ownIncarnation)
{
    policy::member self;
    self.id = choices.instance;
    self.zone = choices.zone;
    self.callerAddress = choices.callerAddress;
    self.peerAddress = choices.peerAddress;
    self.incarnation = ownIncarnation;
    return self;
}

/// Adapts a typed function to a handler of peer calls.
template <class Request, class Function>
peer::call_handler handlerOf(Function function)
{
    return [function](std::string_view payload) -> result<std::string> {
        const result<Request> request = peer::decode<Request>(payload);
        if (!succeeded(request))
            return errorOf(request);
        return function(valueOf(request));
    };
}

template <class Reply>
result<std::string> encoded(const result<Reply> &reply)
{
    if (!succeeded(reply))
        return errorOf(reply);
    return peer::encode(valueOf(reply));
}

} // namespace

/// All components of one instance. Each is constructed from those above it; only its callbacks
/// refer to later ones.
struct instance::state
{
    explicit state(settings given);

    peer::gossip_settings gossipChoices() const;
    peer::gossip_handlers gossipHandlers();
    sync_dependencies syncDependencies();
    claim_peers claimPeers();
    planner_dependencies plannerDependencies();
    request_dependencies requestDependencies();
    membership_dependencies membershipDependencies();
    std::map<peer::call_kind, peer::call_handler> callHandlers();
    caller::caller_handlers callerHandlers();
    operators::operator_handlers operatorHandlers();

    void onRumor(const peer::rumor &rumor);
    void onRound();
    void acknowledge();
    std::optional<endpoint> batcherOf(std::uint32_t bucket) const;
    peer::answer_reply answerOf(const instance_id &owner, const peer::answer_request &request);
    std::vector<event> timeline(const event_filter &filter);
    operators::fleet_status status();
    void shutdownLoop();
    void stopAll();

    settings choices;
    clock_source clock = systemClock();
    incarnation_number ownIncarnation = newIncarnation(clock);
    metrics_registry metrics;
    journal events;
    view_publisher views;
    std::shared_ptr<http_pool> platformPool;
    std::shared_ptr<http_pool> runnerPool;
    std::shared_ptr<http_pool> pollPool; ///< Separate, so that polls don't wait behind requests.
    runner::engine_api engines;
    runner::engine_api pollEngines;
    runner::service_api services;
    runner::service_api pollServices;
    platform::object_store store;
    sent_work_table sentWork;
    demand_table demand;
    peer::call_client calls;
    peer::gossip gossip;
    membership members;
    watched_sync sync;
    answer_table answers;
    claim_manager claims;
    request_deduplicator duplicates;
    load_monitor loadMonitor;
    request_handler requests;
    planner plans;
    peer::call_server callServer;
    operators::operator_server operatorServer;
    memory_budget requestMemory;
    caller::caller_server callerServer;

    std::mutex acknowledgeLock;
    std::atomic<bool> isClosed{false};
    std::mutex guard;
    std::condition_variable wake;
    bool isLeaving = false;
    bool isDone = false;
    std::thread shutdownThread;
};

instance::state::state(settings given)
    : choices(std::move(given)), events(choices.instance, clock, choices.eventRingSize),
      platformPool(std::make_shared<http_pool>(config::maxIdleConnections, config::connectTimeout,
                                               metrics)),
      runnerPool(std::make_shared<http_pool>(config::maxIdleConnections, config::connectTimeout,
                                             metrics)),
      pollPool(std::make_shared<http_pool>(1, config::connectTimeout, metrics)),
      engines(runner::httpEngineApi(runnerPool)),
      pollEngines(withGuardedOrders(runner::httpEngineApi(pollPool))),
      services(runner::httpServiceApi(runnerPool)), pollServices(runner::httpServiceApi(pollPool)),
      store(platform::httpObjectApi(choices.storeAddress, platformPool, choices.storeCallTimeout),
            {choices.storeCallsPerSecond, choices.storeCallBurst, config::initialStoreBackoff,
             config::maxStoreBackoff},
            clock, metrics, events),
      demand(choices.instance, clock),
      calls({choices.instance, ownIncarnation, choices.peerKey}, metrics, events),
      gossip(gossipChoices(), gossipHandlers(), clock, metrics, events),
      members(membershipDependencies(), gossip,
              platform::httpInstanceList(choices.instanceListAddress, platformPool,
                                         choices.storeCallTimeout),
              views, clock, events),
      sync(syncDependencies(), store, views, clock, metrics, events), answers(clock),
      claims(
              choices.deployment, store, claimPeers(),
              [this] {
                  const policy::view_ptr now = views.current();
                  return now->ruleSet ? now->ruleSet->claimKeepTime : config::claimRetention;
              },
              clock, metrics, events),
      duplicates(choices.instance, claims, answers, claimPeers(), clock, events),
      loadMonitor({choices.instance, choices.loadPollInterval,
                   [this](peer::rumor rumor) { gossip.spread(std::move(rumor)); }},
                  views, sentWork, pollEngines, pollServices, clock, metrics, events),
      requests(requestDependencies(), views, sentWork, demand, duplicates, answers, engines,
               services, clock, metrics, events),
      plans(plannerDependencies(), views, store,
            platform::httpWeightStore(choices.weightStoreAddress, platformPool,
                                      choices.storeCallTimeout),
            pollEngines, clock, metrics, events),
      callServer(choices.peerAddress, {choices.instance, ownIncarnation, choices.peerKey},
                 callHandlers(), metrics, events),
      operatorServer(choices.operatorAddress, choices.operatorKeySha256, operatorHandlers(),
                     metrics, events),
      requestMemory(requestMemoryBytes(choices.memoryMb) / config::requestBodyCopies, metrics),
      callerServer(choices.callerAddress, choices.callerLimits, requestMemory, callerHandlers(),
                   clock, metrics, events)
{ }

peer::gossip_settings instance::state::gossipChoices() const
{
    peer::gossip_settings gossipOptions;
    gossipOptions.self = selfOf(choices, ownIncarnation);
    gossipOptions.key = choices.peerKey;
    gossipOptions.roundInterval = choices.gossipInterval;
    gossipOptions.probeTimeout = config::probeTimeout;
    gossipOptions.suspicionTimeout = config::suspicionTimeout;
    gossipOptions.fanout = config::gossipFanout;
    gossipOptions.bytesPerSecond = config::gossipBytesPerSecond;
    return gossipOptions;
}

peer::gossip_handlers instance::state::gossipHandlers()
{
    return {[](const std::vector<policy::member> &) {},
            [this](const peer::rumor &rumor) { onRumor(rumor); }};
}

void instance::state::onRumor(const peer::rumor &rumor)
{
    if (rumor.key.starts_with(loadRumorPrefix))
        loadMonitor.onRumor(rumor);
    else if (rumor.key.starts_with(demandRumorPrefix))
        demand.onRumor(rumor);
}

/// Announces up to which version this instance's view is complete. A planner relies on it that this
/// instance sends no more work to runners that the view has closed. So a version is announced only
/// when no request routed under an older view may still be in transit to such a runner.
void instance::state::acknowledge()
{
    const std::lock_guard lock(acknowledgeLock);
    // Both are read together, because a confirmation belongs to the version it confirmed.
    const auto [version, confirmedAt] = sync.progress();
    if (!sentWork.hasUnansweredWorkAtClosedRunner(*views.current()))
        gossip.setApplied(version, confirmedAt);
}

void instance::state::onRound()
{
    acknowledge();
    gossip.setOpenStreams(requests.openStreams());
    demand.announce([this](peer::rumor rumor) { gossip.spread(std::move(rumor)); });
    const policy::view_ptr now = views.current();
    if (now->ruleSet)
        // Not before the maximum time limit: if an attempt's entry were evicted while its claim is
        // in force, its idempotency key could never be used again although the attempt never ran.
        answers.evictOlderThan(std::max(now->ruleSet->claimKeepTime, config::maxTimeLimit));
}

membership_dependencies instance::state::membershipDependencies()
{
    membership_dependencies dependencies;
    dependencies.self = choices.instance;
    dependencies.seeds = choices.peerSeeds;
    dependencies.roundInterval = choices.gossipInterval;
    dependencies.appliedVersion = [this] { return sync.appliedVersion(); };
    dependencies.confirmedAt = [this] { return sync.confirmedAt(); };
    dependencies.onRound = [this] { onRound(); };
    return dependencies;
}

sync_dependencies instance::state::syncDependencies()
{
    sync_dependencies dependencies;
    dependencies.deployment = choices.deployment;
    dependencies.peers = [this] { return members.others(); };
    dependencies.requestState = [this](const endpoint &to, const peer::watched_request &request) {
        return peer::callTyped<peer::watched_reply>(calls, to, peer::call_kind::WatchedState,
                                                    request, config::peerCallTimeout);
    };
    dependencies.requestBody = [this](const endpoint &to, const peer::body_request &request) {
        return peer::callTyped<peer::body_reply>(calls, to, peer::call_kind::Body, request,
                                                 config::peerCallTimeout);
    };
    dependencies.isWatcher = [this] { return members.isWatcher(); };
    dependencies.onApplied = [this](std::uint64_t, mono_time) { acknowledge(); };
    return dependencies;
}

std::optional<endpoint> instance::state::batcherOf(std::uint32_t bucket) const
{
    const policy::view_ptr now = views.current();
    const policy::member *owner = policy::ownerOf(now->members, "claims/" + std::to_string(bucket));
    if (!owner || owner->id == choices.instance)
        return std::nullopt;
    return owner->peerAddress;
}

peer::answer_reply instance::state::answerOf(const instance_id &owner,
                                             const peer::answer_request &request)
{
    for (const policy::member &other : members.others()) {
        if (other.id != owner)
            continue;
        const milliseconds limit = milliseconds(request.waitMs) + config::peerCallTimeout;
        const auto reply = peer::callTyped<peer::answer_reply>(
                calls, other.peerAddress, peer::call_kind::Answer, request, limit);
        return succeeded(reply) ? valueOf(reply) : peer::answer_reply{};
    }
    return {};
}

claim_peers instance::state::claimPeers()
{
    claim_peers peers;
    peers.batcherOf = [this](std::uint32_t bucket) { return batcherOf(bucket); };
    peers.requestClaim = [this](const endpoint &to, const peer::claim_request &request) {
        return peer::callTyped<peer::claim_reply>(calls, to, peer::call_kind::Claim, request,
                                                  milliseconds(request.timeLeftMs));
    };
    peers.queryAnswer = [this](const instance_id &owner, const peer::answer_request &request) {
        return answerOf(owner, request);
    };
    return peers;
}

planner_dependencies instance::state::plannerDependencies()
{
    planner_dependencies dependencies;
    dependencies.self = choices.instance;
    dependencies.deployment = choices.deployment;
    dependencies.interval = choices.planInterval;
    dependencies.demand = [this](const pool_id &pool) { return demand.demandSinceLastQuery(pool); };
    dependencies.appliedEverywhere = [this](std::uint64_t version) {
        return members.appliedEverywhere(version);
    };
    return dependencies;
}

request_dependencies instance::state::requestDependencies()
{
    return {choices.instance, choices.zone, choices.maxStreams, [this] { return isClosed.load(); }};
}

std::map<peer::call_kind, peer::call_handler> instance::state::callHandlers()
{
    using peer::call_kind;
    std::map<call_kind, peer::call_handler> handlers;
    handlers[call_kind::WatchedState] =
            handlerOf<peer::watched_request>([this](const peer::watched_request &request) {
                return peer::encode(sync.replyTo(request));
            });
    handlers[call_kind::Body] = handlerOf<peer::body_request>(
            [this](const peer::body_request &request) { return encoded(sync.bodyFor(request)); });
    handlers[call_kind::Claim] =
            handlerOf<peer::claim_request>([this](const peer::claim_request &request) {
                const mono_time deadline = clock.mono() + milliseconds(request.timeLeftMs);
                return encoded(claims.decide(request, deadline));
            });
    handlers[call_kind::Answer] =
            handlerOf<peer::answer_request>([this](const peer::answer_request &request) {
                return peer::encode(answers.find(request));
            });
    handlers[call_kind::Events] =
            handlerOf<peer::events_request>([this](const peer::events_request &request) {
                return peer::encode(peer::events_reply{events.events(request.filter)});
            });
    return handlers;
}

caller::caller_handlers instance::state::callerHandlers()
{
    caller::caller_handlers handlers;
    handlers.addresses = [this](const caller::request_head &, const zone_id &zone) {
        return requests.addresses(zone);
    };
    handlers.models = [this](const caller::request_head &head) { return requests.models(head); };
    handlers.complete = [this](const caller::completion_request &request,
                               caller::completion_sink &sink) { requests.complete(request, sink); };
    handlers.callService = [this](const caller::service_request &call, http_sink &sink) {
        return requests.callService(call, sink);
    };
    return handlers;
}

operators::fleet_status instance::state::status()
{
    const bool isStoreReachable = clock.mono() - store.lastReplyAt() <= config::maxFreshAge;
    return fleetStatusOf(*views.current(), choices.instance, isStoreReachable, clock.mono());
}

std::vector<event> instance::state::timeline(const event_filter &filter)
{
    std::vector<std::vector<event>> parts = {events.events(filter)};
    for (const policy::member &other : members.others()) {
        const auto reply = peer::callTyped<peer::events_reply>(
                calls, other.peerAddress, peer::call_kind::Events, peer::events_request{filter},
                config::peerCallTimeout);
        if (succeeded(reply))
            parts.push_back(valueOf(reply).events);
    }
    return mergeTimelines(std::move(parts));
}

operators::operator_handlers instance::state::operatorHandlers()
{
    operators::operator_handlers handlers;
    handlers.status = [this] { return status(); };
    handlers.timeline = [this](const event_filter &filter) { return timeline(filter); };
    handlers.config = [this] { return operators::readConfig(store, choices.deployment); };
    handlers.apply = [this](const operators::apply_request &wanted) {
        return operators::applyConfig(store, choices.deployment, wanted,
                                      clock.mono() + config::configApplyTimeout);
    };
    return handlers;
}

void instance::state::shutdownLoop()
{
    const policy::view_ptr now = views.current();
    const milliseconds keep = now->ruleSet ? milliseconds(now->ruleSet->addressKeepTime)
                                           : milliseconds(config::addressKeepTime);
    const mono_time graceEnd = clock.mono() + std::max(choices.leaveGraceTime, keep);
    const mono_time bound = clock.mono() + choices.maxLeaveTime;
    std::unique_lock lock(guard);
    // Callers may cache this instance's address for addressKeepTime; new requests are served until
    // then.
    while (clock.mono() < graceEnd)
        wake.wait_for(lock, config::gossipInterval);
    isClosed.store(true);
    while (requests.openStreams() > 0 && clock.mono() < bound)
        wake.wait_for(lock, config::gossipInterval);
    lock.unlock();
    events.emit("left", {{"open", std::to_string(requests.openStreams())}});
    stopAll();
    lock.lock();
    isDone = true;
    wake.notify_all();
}

void instance::state::stopAll()
{
    callerServer.stop();
    plans.stop();
    loadMonitor.stop();
    platformPool->stop();
    sync.stop();
    claims.stop();
    members.stop();
    gossip.stop();
    calls.stop();
    callServer.stop();
    operatorServer.stop();
}

instance::instance(settings choices) : inner(std::make_unique<state>(std::move(choices))) { }

instance::~instance()
{
    if (inner->shutdownThread.joinable())
        inner->shutdownThread.join();
}

result<unit> instance::start()
{
    for (const auto &begin :
         {std::function<result<endpoint>()>([this] { return inner->callServer.start(); }),
          std::function<result<endpoint>()>([this] { return inner->operatorServer.start(); }),
          std::function<result<endpoint>()>([this] { return inner->callerServer.start(); })}) {
        const result<endpoint> bound = begin();
        if (!succeeded(bound))
            return errorOf(bound);
    }
    result<unit> gossipStarted = inner->gossip.start();
    if (!succeeded(gossipStarted))
        return gossipStarted;
    inner->members.start();
    inner->sync.start();
    inner->loadMonitor.start();
    inner->plans.start();
    inner->events.emit(
            "started",
            {{"life", std::to_string(inner->ownIncarnation)}, {"zone", inner->choices.zone.text}});
    return unit{};
}

void instance::recordReload()
{
    inner->events.emit("reload_ignored", {{"reason", "settings are read at start only"}});
}

void instance::leave()
{
    const std::lock_guard lock(inner->guard);
    if (inner->isLeaving)
        return;
    inner->isLeaving = true;
    inner->events.emit("leaving");
    inner->gossip.setLeaving();
    inner->shutdownThread = std::thread([this] { inner->shutdownLoop(); });
}

void instance::wait()
{
    std::unique_lock lock(inner->guard);
    inner->wake.wait(lock, [this] { return inner->isDone; });
}

} // namespace poplarspool::node
