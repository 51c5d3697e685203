#include "poplarspool/gateway/gateway.h"

#include "base/connection_pool.h"
#include "base/socket.h"
#include "gateway/caller_limits.h"
#include "gateway/fleet_keeper.h"
#include "gateway/request_relay.h"
#include "gateway/stage_keeper.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/gossip.h"
#include "poplarspool/peer/load_exchange.h"
#include "poplarspool/policy/role_owner.h"

#include <algorithm>
#include <optional>
#include <thread>

namespace poplarspool::gateway {

namespace {

peer::gossip_settings gossipSettingsOf(const gateway_settings &settings, const clock_source &clock)
{
    peer::gossip_settings made;
    made.self.id = settings.instance;
    made.self.zone = settings.zone;
    made.self.callerAddress = settings.callerAddress;
    made.self.peerAddress = settings.peerAddress;
    made.self.life = lifeOf(clock);
    made.key = peerKeyOf(settings);
    made.roundTime = config::gatewayGossipTime;
    made.suspectTime = config::gatewaySuspectTime;
    made.deadTime = config::deadTime;
    made.fanout = config::gossipFanout;
    made.bytesPerSecond = config::gossipBytesPerSecond;
    return made;
}

constexpr std::string_view stagesRole = "stages";
constexpr std::string_view usageRole = "usage";
constexpr std::string_view fleetRole = "fleet";

milliseconds durationOf(double seconds)
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(seconds));
}

/// Counts of the requests started here, for one incarnation of this instance.
struct usage_count
{
    usage_count(const clock_source &clock, milliseconds window)
        : time(clock), parts{table, time, window}
    { }

    const std::uint64_t incarnationId = hashOf(randomHex128());
    duties::usage_ledger table{incarnationId};
    duties::fleet_clock time;
    const duties::usage_parts parts;
};

} // namespace

struct gateway::state
{
    state(gateway_settings given, dialect dialectNames, platform_links links, clock_source time,
          metrics_registry &registry, journal &eventLog)
        : settings(std::move(given)), names(std::move(dialectNames)), clock(std::move(time)),
          events(eventLog), keeper(hub, settings.settleTime, clock, eventLog), ledger(clock),
          retries({settings.retryShare, settings.retryExtra}),
          connections(config::maxIdleRunnerConnections, config::runnerConnectTime, registry),
          metrics(registry), suspects(suspectTools(), std::move(links.suspects), settings.instance,
                                      clock, registry, eventLog),
          parts{names,
                hub,
                ledger,
                retries,
                connections,
                metrics,
                events,
                clock,
                settings.zone,
                leavesAt,
                suspects,
                hashOf(peerKeyOf(settings)),
                hasDuty(settings, usageDuty) ? &usage.parts : nullptr,
                settings.isRevokeStrict ? settings.revokeTime : milliseconds::max()},
          members(gossipSettingsOf(settings, clock),
                  {{}, [this](const peer::rumor &news) { suspects.take(news); }}, clock, registry,
                  eventLog),
          loads(
                  {settings.instance, lifeOf(clock), settings.loadAddress, peerKeyOf(settings)},
                  [this](peer::news_audience audience) { return ledger.collectNews(audience); },
                  [this](std::uint64_t sender, const peer::load_news &news) {
                      ledger.takeNews(sender, news);
                  },
                  clock, registry, eventLog),
          callers(
                  "callers", settings.callerAddress, defaultHttpLimits(),
                  [this](const http_request &request, http_sink &caller) {
                      return relay(request, caller);
                  },
                  registry, &eventLog),
          stages({hub, ledger, connections, names, clock, eventLog,
                  registry.counterOf("poplarspool_gateway_stage_orders_total"),
                  stepFaultsOf(eventLog, registry), [this] { return owns(stagesRole); }},
                 std::move(links.stages), settings.instance, settings.leaseBound)
    {
        if (hasDuty(settings, usageDuty))
            addUsage(std::move(links.usage), std::move(links.usageSink), registry);
        if (hasDuty(settings, fleetDuty) && settings.ordersSpot)
            fleet.emplace(fleet_tools{hub, std::move(links.fleetSink), clock, eventLog, registry,
                                      [this] { return owns(fleetRole); }},
                          std::move(links.fleet), settings.instance, settings.leaseBound);
    }

    /// The manager's thread sends to other members through `members`, which is destroyed before
    /// it.
    ~state() { suspects.stop(); }
    state(const state &) = delete;
    state &operator=(const state &) = delete;

    bool owns(std::string_view role) const;
    void addUsage(duties::lease_store leases, duties::usage_sink sink, metrics_registry &registry);
    suspect_tools suspectTools();
    std::optional<http_reply> relay(const http_request &request, http_sink &caller);
    void followTable();

    const gateway_settings settings;
    const milliseconds leaveTime{static_cast<std::int64_t>(settings.leaveSeconds * 1000)};
    const dialect names;
    const clock_source clock;
    journal &events;
    catalogue_hub hub{catalogue{}};
    catalogue_keeper keeper;
    runner_ledger ledger;
    retry_budgets retries;
    connection_pool connections;
    relay_metrics metrics;
    usage_count usage{clock, durationOf(settings.usageWindowSeconds)};
    suspect_keeper suspects;
    std::atomic<std::int64_t> leavesAt{INT64_MAX};
    std::atomic<bool> isLeaving{false};
    std::atomic<std::uint64_t> limitsVersion{0};
    const relay_parts parts;
    peer::gossip members;
    peer::load_exchange loads;
    http_server callers;
    stage_keeper stages;
    std::optional<duties::usage_exchange> usageNews; ///< None: usage is not reported.
    std::optional<duties::usage_keeper> usageKeeper;
    std::optional<fleet_keeper> fleet; ///< None: runners are not ordered.
    mono_time leftAt{};
};

bool gateway::state::owns(std::string_view role) const
{
    const auto alive = members.members();
    const policy::member *owner = policy::ownerOf(alive, role);
    return owner != nullptr && owner->id == settings.instance && !isLeaving.load();
}

void gateway::state::addUsage(duties::lease_store leases, duties::usage_sink sink,
                              metrics_registry &registry)
{
    usageNews.emplace(
            peer::datagram_settings{settings.instance, lifeOf(clock), usageAddressOf(settings),
                                    peerKeyOf(settings)},
            usage.incarnationId, usage.parts, [this] { return members.members(); }, clock, registry,
            events);
    usageKeeper.emplace(duties::usage_tools{usage.parts, durationOf(settings.usageLateSeconds),
                                            std::move(sink), clock, events, registry,
                                            [this] { return owns(usageRole); }},
                        std::move(leases), settings.instance, settings.leaseBound);
}

suspect_tools gateway::state::suspectTools()
{
    suspect_tools made;
    made.isRefused = [](const endpoint &to) {
        return isRefused(to, socket_clock::now() + config::endedCheckTime);
    };
    made.spread = [this](peer::rumor news) { members.spread(std::move(news)); };
    made.setMark = [this](std::uint64_t mark) { members.setApplied(mark, clock.mono()); };
    made.marks = [this] {
        std::vector<std::uint64_t> marks;
        for (const policy::member &one : members.members()) {
            if (one.id != settings.instance)
                marks.push_back(one.appliedVersion);
        }
        return marks;
    };
    made.confirmedAt = [this] { return hub.current()->runnersConfirmedAt; };
    return made;
}

std::optional<http_reply> gateway::state::relay(const http_request &request, http_sink &caller)
{
    followTable();
    return request_relay(parts, request, caller).run();
}

/// Applies the callers' limits, which are part of the routes' configuration.
void gateway::state::followTable()
{
    const auto now = hub.current();
    if (!now->table || limitsVersion.exchange(now->table->version) == now->table->version)
        return;
    callers.setLimits(callerLimitsOf(now->table->bounds));
    ledger.forgetAllBut(now->runners);
}

gateway::gateway(gateway_settings settings, dialect names, platform_links links, clock_source clock,
                 metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(settings), std::move(names), std::move(links),
                                    std::move(clock), metrics, events))
{ }

gateway::~gateway() = default;

result<unit> gateway::start()
{
    const auto gossipStarted = inner->members.start();
    if (!succeeded(gossipStarted))
        return errorOf(gossipStarted);
    const auto exchangeStarted = inner->loads.start();
    if (!succeeded(exchangeStarted))
        return errorOf(exchangeStarted);
    const auto serverStarted = inner->callers.start();
    if (!succeeded(serverStarted))
        return errorOf(serverStarted);
    if (inner->usageNews) {
        const auto usageStarted = inner->usageNews->start();
        if (!succeeded(usageStarted))
            return errorOf(usageStarted);
        inner->usageKeeper->start();
    }
    if (inner->fleet)
        inner->fleet->start();
    inner->stages.start();
    inner->suspects.start();
    return unit{};
}

catalogue_keeper &gateway::keeper()
{
    return inner->keeper;
}

void gateway::setListed(const std::vector<listed_gateway> &listed)
{
    std::vector<endpoint> contacts;
    std::vector<endpoint> near;
    std::vector<endpoint> far;
    for (const listed_gateway &one : listed) {
        if (one.id == inner->settings.instance)
            continue;
        contacts.push_back(one.peerAddress);
        (one.zone == inner->settings.zone ? near : far).push_back(one.loadAddress);
    }
    inner->members.setContacts(std::move(contacts));
    inner->loads.setPeers(std::move(near), std::move(far));
    inner->retries.setInstances(std::max(listed.size(), inner->members.members().size()));
}

void gateway::noteOlderCopy()
{
    inner->suspects.restore();
}

bool gateway::isReady() const
{
    const auto now = inner->hub.current();
    return now->table && now->areRunnersKnown && !inner->isLeaving.load();
}

std::vector<endpoint> gateway::addressesFor(const zone_id &callerZone) const
{
    std::vector<endpoint> near;
    std::vector<endpoint> all;
    for (const policy::member &one : inner->members.members()) {
        const bool isSelf = one.id == inner->settings.instance;
        const bool isOpen = isSelf ? isReady() : one.state == policy::member_state::Alive;
        if (!isOpen || !one.callerAddress.isValid())
            continue;
        all.push_back(one.callerAddress);
        if (one.zone == callerZone)
            near.push_back(one.callerAddress);
    }
    return near.size() >= config::enoughNearAddresses ? near : all;
}

void gateway::leave()
{
    inner->isLeaving = true;
    inner->leftAt = inner->clock.mono();
    const mono_time end = inner->leftAt + inner->leaveTime - config::leaveMargin;
    inner->leavesAt = end.time_since_epoch().count();
    inner->members.setLeaving();
    // The threads are joined only in finish(): with a slow store, waiting here would delay the
    // announcement to callers.
    inner->stages.requestStop();
    if (inner->usageKeeper)
        inner->usageKeeper->requestStop();
    if (inner->fleet)
        inner->fleet->requestStop();
    inner->suspects.leave();
    inner->callers.announceEnd();
    inner->events.emit("leaving", {{"time_ms", std::to_string(inner->leaveTime.count())}});
}

/// Callers cache the address for a while; during that time they are served as before. After it,
/// requests that have arrived are completed, and idle connections are closed.
void gateway::finish()
{
    const auto keep = std::chrono::duration_cast<milliseconds>(inner->settings.addressKeepTime)
            + config::lastCallersTime;
    std::this_thread::sleep_for(std::min(keep, inner->leaveTime / 3));
    inner->callers.stop();
    inner->stages.stop();
    if (inner->fleet)
        inner->fleet->stop();
    if (inner->usageNews) {
        inner->usageKeeper->stop();
        inner->usageNews->stop();
    }
    inner->suspects.stop();
    inner->connections.stop();
    inner->loads.stop();
    inner->members.stop();
}

} // namespace poplarspool::gateway
