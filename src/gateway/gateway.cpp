#include "poplarspool/gateway/gateway.h"

#include "base/connection_pool.h"
#include "crashes/crash_exchange.h"
#include "gateway/address_subset.h"
#include "gateway/caller_limits.h"
#include "gateway/exchange_settings.h"
#include "gateway/fleet_scaler.h"
#include "gateway/limit_exchange.h"
#include "gateway/link_prober.h"
#include "gateway/request_proxy.h"
#include "gateway/share_table.h"
#include "gateway/stage_manager.h"
#include "gateway/tunnel_server.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/gossip.h"
#include "poplarspool/peer/limits.h"
#include "poplarspool/peer/load_exchange.h"
#include "poplarspool/policy/role_owner.h"
#include "poplarspool/streams/origin_exchange.h"
#include "poplarspool/withdrawals/withdrawal_exchange.h"

#include <algorithm>
#include <optional>
#include <thread>

namespace poplarspool::gateway {

namespace {

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
    duties::usage_table table{incarnationId};
    duties::fleet_clock time;
    const duties::usage_context parts;
};

} // namespace

struct gateway::state
{
    state(gateway_settings given, dialect dialectNames, platform_links links, clock_source time,
          metrics_registry &registry, journal &eventLog)
        : settings(std::move(given)), names(std::move(dialectNames)), clock(std::move(time)),
          events(eventLog),
          catalogueUpdater(
                  publisher, settings.settleTime, clock, eventLog,
                  [this](const runner &target) { return isLeavingByItsWord(target); },
                  [this](const route_table &table) {
                      callerServer.setLimits(callerLimitsOf(table.callerLimits));
                  }),
          runnerTable(clock, peer::zoneKey(settings.zone), incarnationOf(clock),
                      settings.learnsEngineSpeeds),
          retries({settings.retryShare, settings.retryExtra}),
          connections(config::maxIdleRunnerConnections, config::runnerConnectTimeout, registry),
          metrics(registry), slowEngines(registry.gaugeOf("poplarspool_engines{speed=\"slow\"}")),
          fastEngines(registry.gaugeOf("poplarspool_engines{speed=\"fast\"}")), linkTable(clock),
          cutOff(clock), connector(connectorDependencies(registry)),
          tunnelServer({settings.peerAddress, tunnelSenderOf(settings, clock), publisher, linkTable,
                        [this](const runner &target) {
                            return forbidsSends(withdrawalExchange.registry().find(lifeOf(target)));
                        },
                        registry, eventLog}),
          linkProber({publisher, connector, [this](bool isCutOff) { announceCutOff(isCutOff); },
                      clock, stepFailureReporterOf(eventLog, registry)}),
          fleet({settings.instance, settings.peerAddress}),
          quarantineManager(quarantineDependencies(), std::move(links.crashRecords),
                            settings.instance, clock, registry, eventLog),
          crashExchange(datagramSettingsOf(settings, crashes::crashAddressOf(settings.peerAddress),
                                           clock),
                        quarantineManager, clock, registry, eventLog),
          rateLimiter(rateLimiterDependencies(registry), settings.instance),
          originExchange(datagramSettingsOf(settings,
                                            streams::originAddressOf(settings.peerAddress), clock),
                         fleet, clock, registry, eventLog),
          withdrawalExchange(
                  datagramSettingsOf(settings,
                                     withdrawals::withdrawalAddressOf(settings.peerAddress), clock),
                  {[this](const withdrawals::runner_life &life) {
                       catalogueUpdater.applyLeaving(life.id);
                   },
                   [this](const runner_id &target) { return tunnelUsersOf(target); }},
                  names.leaving, fleet, clock, registry, eventLog),
          proxyContext{names,
                       publisher,
                       runnerTable,
                       retries,
                       connector,
                       metrics,
                       events,
                       clock,
                       settings.zone,
                       leavesAt,
                       quarantineManager,
                       rateLimiter,
                       originExchange.registry(),
                       withdrawalExchange.registry(),
                       hashOf(peerKeyOf(settings)),
                       hasDuty(settings, usageDuty) ? &usage.parts : nullptr,
                       settings.isRevokeStrict ? settings.revokeTime : milliseconds::max(),
                       proofTimeOf(settings.routesBound),
                       proofTimeOf(settings.runnersBound),
                       settings.usesFairShares ? &shares : nullptr,
                       settings.usesRankedWaiting},
          requestMemory(requestMemoryBytes(settings.memoryMb), registry),
          members(gossipSettingsOf(settings, clock),
                  {[this](const std::vector<policy::member> &alive) {
                       loadExchange.setDigestRecipients(peer::digestRecipientsOf(
                               alive, settings.instance, settings.loadAddress.port));
                       fleet.setMembers(alive);
                   },
                   [this](const peer::rumor &rumor) { onRumor(rumor); }},
                  clock, registry, eventLog),
          loadExchange(
                  datagramSettingsOf(settings, settings.loadAddress, clock),
                  [this](peer::update_recipients recipients) { return collectUpdate(recipients); },
                  [this] { return runnerTable.collectDigest(); },
                  [this](std::uint64_t sender, const peer::load_update &update) {
                      runnerTable.applyUpdate(sender, update);
                      if (hasShares())
                          shares.applyReport(sender, update.workspaces);
                  },
                  clock, registry, eventLog),
          limitExchange(datagramSettingsOf(settings, limitAddressOf(settings.peerAddress), clock),
                        rateLimiter, clock, registry, eventLog),
          callerServer(
                  "callers", settings.callerAddress, defaultHttpLimits(),
                  [this](const http_request &request, http_sink &caller) {
                      return forward(request, caller);
                  },
                  registry, &eventLog, &requestMemory),
          stageManager({publisher, runnerTable, connections, names, clock, eventLog,
                        registry.counterOf("poplarspool_gateway_stage_orders_total"),
                        stepFailureReporterOf(eventLog, registry),
                        [this] { return ownsRunnerRole(stagesRole); },
                        [this] { return instanceCount.load(); },
                        [this](const runner &target) { return rateLimiter.limitOf(target); },
                        [this](const runner &target) {
                            return withdrawalExchange.registry().find(lifeOf(target));
                        },
                        [this](const withdrawals::answer_head &head) {
                            withdrawalExchange.registry().recordAnswer(head);
                        }},
                       std::move(links.stageLeases), settings.instance, settings.leaseBound)
    {
        if (hasDuty(settings, usageDuty))
            addUsage(std::move(links.usageLeases), std::move(links.usageSink), registry);
        if (hasDuty(settings, fleetDuty) && settings.usesSpotRunners)
            fleetScaler.emplace(
                    fleet_scaler_dependencies{publisher, std::move(links.fleetSink), clock,
                                              eventLog, registry,
                                              [this] { return ownsRunnerRole(fleetRole); }},
                    std::move(links.fleetLeases), settings.instance, settings.leaseBound);
    }

    /// The manager's thread sends to other members through `members`, which is destroyed before
    /// it, and the thread of `members` uses `loadExchange`, which is destroyed even earlier.
    ~state()
    {
        linkProber.stop();
        tunnelServer.stop();
        crashExchange.stop();
        quarantineManager.stop();
        members.stop();
    }
    state(const state &) = delete;
    state &operator=(const state &) = delete;

    bool isLeavingByItsWord(const runner &target);
    std::vector<endpoint> tunnelUsersOf(const runner_id &target) const;
    bool owns(std::string_view role) const;
    bool ownsRunnerRole(std::string_view role) const;
    bool isOwner(std::span<const policy::member> candidates, std::string_view role) const;
    runner_connector_dependencies connectorDependencies(metrics_registry &registry);
    void onRumor(const peer::rumor &rumor);
    void announceCutOff(bool isCutOff);
    void addUsage(duties::lease_store leases, duties::usage_sink sink, metrics_registry &registry);
    crashes::quarantine_dependencies quarantineDependencies();
    rate_limiter_dependencies rateLimiterDependencies(metrics_registry &registry);
    std::optional<http_reply> forward(const http_request &request, http_sink &caller);
    void removeUnlistedRunners();
    bool hasShares() const;
    peer::load_update collectUpdate(peer::update_recipients recipients);

    const gateway_settings settings;
    const milliseconds leaveTime{static_cast<std::int64_t>(settings.leaveSeconds * 1000)};
    const dialect names;
    const clock_source clock;
    journal &events;
    catalogue_publisher publisher{catalogue{}};
    catalogue_updater catalogueUpdater;
    runner_table runnerTable;
    share_table shares{clock};
    retry_budgets retries;
    connection_pool connections;
    proxy_metrics metrics;
    gauge &slowEngines;
    gauge &fastEngines;
    usage_count usage{clock, durationOf(settings.usageWindowSeconds)};
    link_table linkTable;
    cut_off_instances cutOff;
    std::uint64_t announcementVersion = 0; ///< Used by the prober's thread only.
    runner_connector connector;
    tunnel_server tunnelServer;
    link_prober linkProber;
    peer::fleet_view fleet;
    crashes::quarantine_manager quarantineManager;
    crashes::crash_exchange crashExchange;
    rate_limiter rateLimiter;
    streams::origin_exchange originExchange;
    withdrawals::withdrawal_exchange withdrawalExchange;
    std::atomic<std::int64_t> leavesAt{INT64_MAX};
    std::atomic<bool> isLeaving{false};
    std::atomic<std::uint64_t> cleanedVersion{0}; ///< Of the last removal of unlisted runners.
    std::atomic<std::size_t> instanceCount{1}; ///< Listed or known by gossip.
    const proxy_context proxyContext;
    memory_budget requestMemory;
    peer::gossip members;
    peer::load_exchange loadExchange;
    limit_exchange limitExchange;
    http_server callerServer;
    stage_manager stageManager;
    std::optional<duties::usage_exchange> usageExchange; ///< None: usage is not reported.
    std::optional<duties::usage_reporter> usageReporter;
    std::optional<fleet_scaler> fleetScaler; ///< None: runners are not ordered.
    mono_time leftAt{};
};

bool gateway::state::isLeavingByItsWord(const runner &target)
{
    return withdrawalExchange.registry().find(lifeOf(target)).kind
            == withdrawals::withdrawal_kind::Leaves;
}

std::vector<endpoint> gateway::state::tunnelUsersOf(const runner_id &target) const
{
    std::vector<endpoint> addresses;
    const auto known = fleet.current();
    for (const std::uint64_t user : tunnelServer.usersOf(target)) {
        const auto found = std::ranges::find(known->instances, user, &peer::fleet_instance::number);
        if (found != known->instances.end())
            addresses.push_back(found->peerAddress);
    }
    return addresses;
}

bool gateway::state::isOwner(std::span<const policy::member> candidates,
                             std::string_view role) const
{
    const policy::member *owner = policy::ownerOf(candidates, role);
    return owner != nullptr && owner->id == settings.instance && !isLeaving.load();
}

bool gateway::state::owns(std::string_view role) const
{
    return isOwner(members.members(), role);
}

/// As owns(), for a role whose orders and decisions need links to the runners.
bool gateway::state::ownsRunnerRole(std::string_view role) const
{
    return !linkTable.isCutOff() && isOwner(cutOff.without(members.members()), role);
}

runner_connector_dependencies gateway::state::connectorDependencies(metrics_registry &registry)
{
    return {tunnelSenderOf(settings, clock),
            settings.zone,
            connections,
            linkTable,
            cutOff,
            [this] { return members.members(); },
            [this] { linkProber.wake(); },
            clock,
            registry,
            events};
}

void gateway::state::onRumor(const peer::rumor &rumor)
{
    if (const auto announced = cutOffAnnouncementOf(rumor))
        cutOff.record(*announced);
    else
        quarantineManager.onRumor(rumor);
}

/// Called on the prober's thread.
void gateway::state::announceCutOff(bool isCutOff)
{
    const auto wallMs = static_cast<std::uint64_t>(clock.wall().time_since_epoch().count());
    // The wall clock may be set back; the versions of one process increase all the same.
    announcementVersion = std::max(announcementVersion + 1, wallMs);
    const cut_off_announcement announced{settings.instance, isCutOff};
    cutOff.record(announced);
    members.spread(rumorOf(announced, announcementVersion));
    events.emit(isCutOff ? "cut_off" : "cut_off_ended",
                {{"broken_links", std::to_string(linkTable.brokenCount())}});
}

void gateway::state::addUsage(duties::lease_store leases, duties::usage_sink sink,
                              metrics_registry &registry)
{
    usageExchange.emplace(
            datagramSettingsOf(settings, usageAddressOf(settings), clock), usage.incarnationId,
            usage.parts, [this] { return members.members(); }, clock, registry, events);
    usageReporter.emplace(
            duties::usage_reporter_dependencies{usage.parts, durationOf(settings.usageLateSeconds),
                                                std::move(sink), clock, events, registry,
                                                [this] { return owns(usageRole); }},
            std::move(leases), settings.instance, settings.leaseBound);
}

crashes::quarantine_dependencies gateway::state::quarantineDependencies()
{
    return {[this](const crashes::observed_runner &target) {
                runner connected;
                connected.id = target.id;
                connected.startedAtMs = target.startedAtMs;
                connected.address = target.address;
                connected.zone = target.zone;
                return connector.hasEnded(connected);
            },
            [this](peer::rumor rumor) { members.spread(std::move(rumor)); },
            [this](std::uint64_t fingerprint) { members.setApplied(fingerprint, clock.mono()); },
            [this] {
                std::vector<std::uint64_t> fingerprints;
                for (const policy::member &one : members.members()) {
                    if (one.id != settings.instance)
                        fingerprints.push_back(one.appliedVersion);
                }
                return fingerprints;
            },
            [this] { return publisher.current()->runnersConfirmedAt; },
            fleet,
            [this](const std::vector<endpoint> &to, const result<std::string> &payload) {
                crashExchange.send(to, payload);
            }};
}

rate_limiter_dependencies gateway::state::rateLimiterDependencies(metrics_registry &registry)
{
    return {names.rateLimit,
            [this](const std::vector<endpoint> &to, const result<std::string> &payload) {
                limitExchange.send(to, payload);
            },
            [this](std::uint32_t runner) { return runnerTable.recentSendsTo(runner); },
            [this](std::uint32_t runner) { return runnerTable.recentStartsAt(runner); },
            [this](std::uint32_t runner) {
                const runner_entry found = publisher.current()->runners->findByKey(runner);
                return found ? found->id.text : std::string();
            },
            fleet,
            clock,
            registry,
            events};
}

std::optional<http_reply> gateway::state::forward(const http_request &request, http_sink &caller)
{
    removeUnlistedRunners();
    return request_proxy(proxyContext, request, caller).run();
}

/// Once per version of the configuration.
void gateway::state::removeUnlistedRunners()
{
    const auto current = publisher.current();
    if (!current->table
        || cleanedVersion.exchange(current->table->version) == current->table->version)
        return;
    runnerTable.removeUnlisted(*current->runners);
    rateLimiter.removeUnlisted(*current->runners);
}

/// Without workspaces nobody has a share.
bool gateway::state::hasShares() const
{
    const auto current = publisher.current();
    return settings.usesFairShares && current->table && current->table->needsKeys;
}

peer::load_update gateway::state::collectUpdate(peer::update_recipients recipients)
{
    peer::load_update update = runnerTable.collectUpdate(recipients);
    if (recipients != peer::update_recipients::SameZone)
        return update;
    if (hasShares())
        update.workspaces = shares.collectReport();
    if (!settings.learnsEngineSpeeds)
        return update;
    const speed_counts counts = runnerTable.speedCounts();
    slowEngines.set(counts.slow);
    fastEngines.set(counts.fast);
    return update;
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
    const auto exchangeStarted = inner->loadExchange.start();
    if (!succeeded(exchangeStarted))
        return errorOf(exchangeStarted);
    const auto limitsStarted = inner->limitExchange.start();
    if (!succeeded(limitsStarted))
        return errorOf(limitsStarted);
    const auto originsStarted = inner->originExchange.start();
    if (!succeeded(originsStarted))
        return errorOf(originsStarted);
    const auto withdrawalsStarted = inner->withdrawalExchange.start();
    if (!succeeded(withdrawalsStarted))
        return errorOf(withdrawalsStarted);
    const auto crashesStarted = inner->crashExchange.start();
    if (!succeeded(crashesStarted))
        return errorOf(crashesStarted);
    const auto tunnelsStarted = inner->tunnelServer.start();
    if (!succeeded(tunnelsStarted))
        return errorOf(tunnelsStarted);
    const auto serverStarted = inner->callerServer.start();
    if (!succeeded(serverStarted))
        return errorOf(serverStarted);
    if (inner->usageExchange) {
        const auto usageStarted = inner->usageExchange->start();
        if (!succeeded(usageStarted))
            return errorOf(usageStarted);
        inner->usageReporter->start();
    }
    if (inner->fleetScaler)
        inner->fleetScaler->start();
    inner->stageManager.start();
    inner->quarantineManager.start();
    inner->linkProber.start();
    return unit{};
}

catalogue_updater &gateway::catalogueUpdater()
{
    return inner->catalogueUpdater;
}

void gateway::setInstances(const std::vector<listed_gateway> &listed)
{
    std::vector<endpoint> contacts;
    std::vector<peer::listed_instance> instances;
    std::vector<endpoint> near;
    std::vector<endpoint> far;
    for (const listed_gateway &one : listed) {
        instances.push_back({one.id, one.peerAddress});
        if (one.id == inner->settings.instance)
            continue;
        contacts.push_back(one.peerAddress);
        (one.zone == inner->settings.zone ? near : far).push_back(one.loadAddress);
    }
    inner->fleet.setListed(std::move(instances));
    inner->members.setContacts(std::move(contacts));
    inner->loadExchange.setPeers(std::move(near), std::move(far));
    inner->instanceCount = std::max(listed.size(), inner->members.members().size());
    inner->retries.setInstances(inner->instanceCount);
}

void gateway::recordStoreRollback()
{
    inner->quarantineManager.recordStoreRollback();
}

void gateway::updateMetrics()
{
    inner->callerServer.updateQueueMetrics();
}

bool gateway::isReady() const
{
    const auto current = inner->publisher.current();
    return current->table && current->areRunnersKnown && !inner->isLeaving.load();
}

std::vector<endpoint> gateway::addressesFor(const zone_id &callerZone) const
{
    std::vector<policy::member> open = inner->members.members();
    std::erase_if(open, [this](const policy::member &one) {
        const bool isSelf = one.id == inner->settings.instance;
        const bool isOpen = isSelf ? isReady() : one.state == policy::member_state::Alive;
        return !isOpen || !one.callerAddress.isValid();
    });
    return addressSubset(addressesNear(withoutCutOff(open, inner->cutOff), callerZone),
                         hashOf(inner->settings.instance.text));
}

void gateway::leave()
{
    inner->isLeaving = true;
    inner->leftAt = inner->clock.mono();
    const mono_time end = inner->leftAt + inner->leaveTime - config::leaveMargin;
    inner->leavesAt = end.time_since_epoch().count();
    inner->members.setLeaving();
    inner->tunnelServer.announceShutdown();
    // The threads are joined only in finish(): with a slow store, waiting here would delay the
    // announcement to callers.
    inner->stageManager.requestStop();
    if (inner->usageReporter)
        inner->usageReporter->requestStop();
    if (inner->fleetScaler)
        inner->fleetScaler->requestStop();
    inner->quarantineManager.stopStoreAccess();
    inner->callerServer.announceShutdown();
    inner->events.emit("leaving", {{"time_ms", std::to_string(inner->leaveTime.count())}});
}

/// Callers cache the address for a while; during that time they are served as before. After it,
/// requests that have arrived are completed, and idle connections are closed.
void gateway::finish()
{
    const auto keep = std::chrono::duration_cast<milliseconds>(inner->settings.addressKeepTime)
            + config::lateCallerTime;
    std::this_thread::sleep_for(std::min(keep, inner->leaveTime / 3));
    inner->callerServer.stop();
    // Calls of other instances have as much time as this one's own.
    const mono_time carriedUntil = inner->leftAt + inner->leaveTime - config::leaveMargin;
    inner->tunnelServer.awaitEnds(socket_clock::now() + (carriedUntil - inner->clock.mono()));
    inner->stageManager.stop();
    if (inner->fleetScaler)
        inner->fleetScaler->stop();
    if (inner->usageExchange) {
        inner->usageReporter->stop();
        inner->usageExchange->stop();
    }
    inner->quarantineManager.stop();
    inner->connections.stop();
    inner->linkProber.stop();
    inner->connector.stop();
    inner->tunnelServer.stop();
    inner->loadExchange.stop();
    inner->limitExchange.stop();
    inner->originExchange.stop();
    inner->withdrawalExchange.stop();
    inner->crashExchange.stop();
    inner->members.stop();
}

} // namespace poplarspool::gateway
