#include "poplarspool/node/instance.h"

#include "node/demand.h"
#include "node/duplicate_guard.h"
#include "node/fleet_report.h"
#include "node/load_watch.h"
#include "node/membership.h"
#include "node/order_sender.h"
#include "node/request_path.h"
#include "node/watched_sync.h"
#include "node/work_ledger.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/caller/caller_server.h"
#include "poplarspool/node/answers.h"
#include "poplarspool/node/claims.h"
#include "poplarspool/node/orders.h"
#include "poplarspool/node/view_hub.h"
#include "poplarspool/operators/operator_server.h"
#include "poplarspool/peer/calls.h"
#include "poplarspool/peer/gossip.h"
#include "poplarspool/platform/instance_list.h"
#include "poplarspool/platform/object_store.h"
#include "poplarspool/platform/weight_store.h"
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

/// A new life has a higher number than all before it, since wall clocks move on between a stop and
/// the next start.
incarnation newLife(const clock_source &clock)
{
    return static_cast<incarnation>(clock.wall().time_since_epoch().count());
}

policy::member selfOf(const settings &choices, incarnation life)
{
    policy::member self;
    self.id = choices.instance;
    self.zone = choices.zone;
    self.callerAddress = choices.callerAddress;
    self.peerAddress = choices.peerAddress;
    self.life = life;
    return self;
}

/// Wraps a typed function as the handler of a call.
template <class Ask, class Function>
peer::call_handler handlerOf(Function function)
{
    return [function](std::string_view payload) -> result<std::string> {
        const result<Ask> question = peer::decode<Ask>(payload);
        if (!succeeded(question))
            return errorOf(question);
        return function(valueOf(question));
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

/// All parts of one instance, each made from those above it.
struct instance::state
{
    explicit state(settings given);

    peer::gossip_settings gossipChoices() const;
    peer::gossip_handlers gossipHandlers();
    sync_needs syncNeeds();
    claim_peers claimPeers();
    planner_needs plannerNeeds();
    request_needs requestNeeds();
    membership_needs membershipNeeds();
    std::map<peer::call_kind, peer::call_handler> callHandlers();
    caller::caller_handlers callerHandlers();
    operators::operator_handlers operatorHandlers();

    void onRumor(const peer::rumor &news);
    void onRound();
    void acknowledge();
    std::optional<endpoint> batcherOf(std::uint32_t bucket) const;
    peer::answer_reply answerOf(const instance_id &owner, const peer::answer_ask &question);
    std::vector<event> timeline(const event_filter &filter);
    operators::fleet_status status();
    void leaveLoop();
    void stopAll();

    settings choices;
    clock_source clock = systemClock();
    incarnation life = newLife(clock);
    metrics_registry metrics;
    journal events;
    view_hub views;
    std::shared_ptr<http_pool> platformPool;
    std::shared_ptr<http_pool> runnerPool;
    std::shared_ptr<http_pool> pollPool; ///< Polls don't wait behind requests.
    runner::engine_api engines;
    runner::engine_api pollEngines;
    runner::service_api services;
    runner::service_api pollServices;
    platform::object_store store;
    work_ledger ledger;
    demand_book demand;
    peer::call_client calls;
    peer::gossip talk;
    membership members;
    watched_sync sync;
    answer_book answers;
    claim_book claims;
    duplicate_guard duplicates;
    load_watch loads;
    request_path requests;
    planner plans;
    peer::call_server callServer;
    operators::operator_server operatorServer;
    caller::caller_server callerServer;

    std::mutex acknowledging;
    std::atomic<bool> isClosed{false};
    std::mutex guard;
    std::condition_variable wake;
    bool isLeaving = false;
    bool isDone = false;
    std::thread leaver;
};

instance::state::state(settings given)
    : choices(std::move(given)), events(choices.instance, clock, choices.eventRingSize),
      platformPool(std::make_shared<http_pool>(config::maxIdleConnections, config::connectTime,
                                               metrics)),
      runnerPool(std::make_shared<http_pool>(config::maxIdleConnections, config::connectTime,
                                             metrics)),
      pollPool(std::make_shared<http_pool>(1, config::connectTime, metrics)),
      engines(runner::httpEngineApi(runnerPool)),
      pollEngines(withGuardedOrders(runner::httpEngineApi(pollPool))),
      services(runner::httpServiceApi(runnerPool)), pollServices(runner::httpServiceApi(pollPool)),
      store(platform::httpObjectApi(choices.storeAddress, platformPool, choices.storeCallTime),
            {choices.storeCallsPerSecond, choices.storeCallBurst, config::storeBackoffFirst,
             config::storeBackoffMax},
            clock, metrics, events),
      demand(choices.instance, clock),
      calls({choices.instance, life, choices.peerKey}, metrics, events),
      talk(gossipChoices(), gossipHandlers(), clock, metrics, events),
      members(membershipNeeds(), talk,
              platform::httpInstanceList(choices.instanceListAddress, platformPool,
                                         choices.storeCallTime),
              views, clock, events),
      sync(syncNeeds(), store, views, clock, metrics, events), answers(clock),
      claims(
              choices.deployment, store, claimPeers(),
              [this] {
                  const policy::view_ptr now = views.current();
                  return now->book ? now->book->claimKeepTime : config::claimKeepTime;
              },
              clock, metrics, events),
      duplicates(choices.instance, claims, answers, claimPeers(), clock, events),
      loads({choices.instance, choices.loadPollTime,
             [this](peer::rumor news) { talk.spread(std::move(news)); }},
            views, ledger, pollEngines, pollServices, clock, metrics, events),
      requests(requestNeeds(), views, ledger, demand, duplicates, answers, engines, services, clock,
               metrics, events),
      plans(plannerNeeds(), views, store,
            platform::httpWeightStore(choices.weightStoreAddress, platformPool,
                                      choices.storeCallTime),
            pollEngines, clock, metrics, events),
      callServer(choices.peerAddress, {choices.instance, life, choices.peerKey}, callHandlers(),
                 metrics, events),
      operatorServer(choices.operatorAddress, choices.operatorKeySha256, operatorHandlers(),
                     metrics, events),
      callerServer(choices.callerAddress, choices.callerLimits, callerHandlers(), clock, metrics,
                   events)
{ }

peer::gossip_settings instance::state::gossipChoices() const
{
    peer::gossip_settings talkChoices;
    talkChoices.self = selfOf(choices, life);
    talkChoices.key = choices.peerKey;
    talkChoices.roundTime = choices.gossipTime;
    talkChoices.suspectTime = config::suspectTime;
    talkChoices.deadTime = config::deadTime;
    talkChoices.fanout = config::gossipFanout;
    talkChoices.bytesPerSecond = config::gossipBytesPerSecond;
    return talkChoices;
}

peer::gossip_handlers instance::state::gossipHandlers()
{
    return {[](const std::vector<policy::member> &) {},
            [this](const peer::rumor &news) { onRumor(news); }};
}

void instance::state::onRumor(const peer::rumor &news)
{
    if (news.key.starts_with(loadRumorPrefix))
        loads.onRumor(news);
    else if (news.key.starts_with(demandRumorPrefix))
        demand.onRumor(news);
}

/// Tells the others how far this instance's view is complete. A planner takes that as the promise
/// that nothing more comes from here for a runner that the view has closed; so a version is told
/// only once no request decided on an older view is on its way to such a runner.
void instance::state::acknowledge()
{
    const std::lock_guard lock(acknowledging);
    // The pair is read together: a confirmation belongs to the version that was confirmed.
    const auto [version, confirmedAt] = sync.progress();
    if (!ledger.hasWorkOnItsWayToClosed(*views.current()))
        talk.setApplied(version, confirmedAt);
}

void instance::state::onRound()
{
    acknowledge();
    talk.setOpenStreams(requests.openStreams());
    demand.tell([this](peer::rumor news) { talk.spread(std::move(news)); });
    const policy::view_ptr now = views.current();
    if (now->book)
        // Never sooner than the longest time limit: an attempt that is forgotten while its claim
        // stands would burn the key, though it never ran.
        answers.forgetOlderThan(std::max(now->book->claimKeepTime, config::maxTimeLimit));
}

membership_needs instance::state::membershipNeeds()
{
    membership_needs needs;
    needs.self = choices.instance;
    needs.seeds = choices.peerSeeds;
    needs.roundTime = choices.gossipTime;
    needs.appliedVersion = [this] { return sync.appliedVersion(); };
    needs.confirmedAt = [this] { return sync.confirmedAt(); };
    needs.onRound = [this] { onRound(); };
    return needs;
}

sync_needs instance::state::syncNeeds()
{
    sync_needs needs;
    needs.deployment = choices.deployment;
    needs.peers = [this] { return members.others(); };
    needs.askState = [this](const endpoint &to, const peer::watched_ask &question) {
        return peer::ask<peer::watched_reply>(calls, to, peer::call_kind::WatchedState, question,
                                              config::peerCallTime);
    };
    needs.askBody = [this](const endpoint &to, const peer::body_ask &question) {
        return peer::ask<peer::body_reply>(calls, to, peer::call_kind::Body, question,
                                           config::peerCallTime);
    };
    needs.isWatcher = [this] { return members.isWatcher(); };
    needs.onApplied = [this](std::uint64_t, mono_time) { acknowledge(); };
    return needs;
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
                                             const peer::answer_ask &question)
{
    for (const policy::member &other : members.others()) {
        if (other.id != owner)
            continue;
        const milliseconds limit = milliseconds(question.waitMs) + config::peerCallTime;
        const auto reply = peer::ask<peer::answer_reply>(calls, other.peerAddress,
                                                         peer::call_kind::Answer, question, limit);
        return succeeded(reply) ? valueOf(reply) : peer::answer_reply{};
    }
    return {};
}

claim_peers instance::state::claimPeers()
{
    claim_peers peers;
    peers.batcherOf = [this](std::uint32_t bucket) { return batcherOf(bucket); };
    peers.ask = [this](const endpoint &to, const peer::claim_ask &question) {
        return peer::ask<peer::claim_reply>(calls, to, peer::call_kind::Claim, question,
                                            milliseconds(question.timeLeftMs));
    };
    peers.answer = [this](const instance_id &owner, const peer::answer_ask &question) {
        return answerOf(owner, question);
    };
    return peers;
}

planner_needs instance::state::plannerNeeds()
{
    planner_needs needs;
    needs.self = choices.instance;
    needs.deployment = choices.deployment;
    needs.lookTime = choices.planTime;
    needs.demand = [this](const pool_id &pool) { return demand.since(pool); };
    needs.appliedEverywhere = [this](std::uint64_t version) {
        return members.appliedEverywhere(version);
    };
    return needs;
}

request_needs instance::state::requestNeeds()
{
    return {choices.instance, choices.zone, choices.maxStreams, [this] { return isClosed.load(); }};
}

std::map<peer::call_kind, peer::call_handler> instance::state::callHandlers()
{
    using peer::call_kind;
    std::map<call_kind, peer::call_handler> handlers;
    handlers[call_kind::WatchedState] =
            handlerOf<peer::watched_ask>([this](const peer::watched_ask &question) {
                return peer::encode(sync.replyTo(question));
            });
    handlers[call_kind::Body] = handlerOf<peer::body_ask>(
            [this](const peer::body_ask &question) { return encoded(sync.bodyFor(question)); });
    handlers[call_kind::Claim] =
            handlerOf<peer::claim_ask>([this](const peer::claim_ask &question) {
                const mono_time deadline = clock.mono() + milliseconds(question.timeLeftMs);
                return encoded(claims.decide(question, deadline));
            });
    handlers[call_kind::Answer] = handlerOf<peer::answer_ask>(
            [this](const peer::answer_ask &ask) { return peer::encode(answers.find(ask)); });
    handlers[call_kind::Events] =
            handlerOf<peer::events_ask>([this](const peer::events_ask &question) {
                return peer::encode(peer::events_reply{events.events(question.filter)});
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
    handlers.complete = [this](const caller::completion_ask &ask, caller::completion_sink &sink) {
        requests.complete(ask, sink);
    };
    handlers.callService = [this](const caller::service_ask &ask, http_sink &sink) {
        return requests.callService(ask, sink);
    };
    return handlers;
}

operators::fleet_status instance::state::status()
{
    const bool isStoreReachable = clock.mono() - store.lastAnswer() <= config::freshTime;
    return reportOf(*views.current(), choices.instance, isStoreReachable, clock.mono());
}

std::vector<event> instance::state::timeline(const event_filter &filter)
{
    std::vector<std::vector<event>> parts = {events.events(filter)};
    for (const policy::member &other : members.others()) {
        const auto reply =
                peer::ask<peer::events_reply>(calls, other.peerAddress, peer::call_kind::Events,
                                              peer::events_ask{filter}, config::peerCallTime);
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
                                      clock.mono() + config::applyTime);
    };
    return handlers;
}

void instance::state::leaveLoop()
{
    const policy::view_ptr now = views.current();
    const milliseconds keep = now->book ? milliseconds(now->book->addressKeepTime)
                                        : milliseconds(config::addressKeepTime);
    const mono_time graceEnd = clock.mono() + std::max(choices.leaveGrace, keep);
    const mono_time bound = clock.mono() + choices.leaveBound;
    std::unique_lock lock(guard);
    // Callers may hold this instance's address for the keep time: it serves new requests until
    // then.
    while (clock.mono() < graceEnd)
        wake.wait_for(lock, config::gossipTime);
    isClosed.store(true);
    while (requests.openStreams() > 0 && clock.mono() < bound)
        wake.wait_for(lock, config::gossipTime);
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
    loads.stop();
    platformPool->stop();
    sync.stop();
    claims.stop();
    members.stop();
    talk.stop();
    calls.stop();
    callServer.stop();
    operatorServer.stop();
}

instance::instance(settings choices) : inner(std::make_unique<state>(std::move(choices))) { }

instance::~instance()
{
    if (inner->leaver.joinable())
        inner->leaver.join();
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
    result<unit> talking = inner->talk.start();
    if (!succeeded(talking))
        return talking;
    inner->members.start();
    inner->sync.start();
    inner->loads.start();
    inner->plans.start();
    inner->events.emit("started",
                       {{"life", std::to_string(inner->life)}, {"zone", inner->choices.zone.text}});
    return unit{};
}

void instance::noteReload()
{
    inner->events.emit("reload_ignored", {{"reason", "settings are read at the start only"}});
}

void instance::leave()
{
    const std::lock_guard lock(inner->guard);
    if (inner->isLeaving)
        return;
    inner->isLeaving = true;
    inner->events.emit("leaving");
    inner->talk.setLeaving();
    inner->leaver = std::thread([this] { inner->leaveLoop(); });
}

void instance::wait()
{
    std::unique_lock lock(inner->guard);
    inner->wake.wait(lock, [this] { return inner->isDone; });
}

} // namespace poplarspool::node
