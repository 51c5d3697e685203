#include "node/watched_sync.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/node/limits.h"
#include "poplarspool/node/orders.h"
#include "poplarspool/operators/config_files.h"

#include <algorithm>

namespace poplarspool::node {

namespace {

/// Marks the runners that an order in progress has taken out of service.
void markReserved(policy::view &draft, const std::map<std::string, platform::object> &objects,
                  const std::string &headKey)
{
    for (policy::runner_state &runner : draft.runners)
        runner.isReserved = false;
    for (const auto &[key, entry] : objects) {
        if (key == headKey)
            continue;
        const auto record = parseOrderRecord(entry.value);
        if (!succeeded(record))
            continue;
        const runner_handle runner = policy::findRunner(*draft.fleet, valueOf(record).runner);
        if (runner.isValid())
            draft.runners[runner.index].isReserved = valueOf(record).phase != order_phase::Settled;
    }
}

} // namespace

watched_sync::watched_sync(sync_dependencies dependencies, platform::object_store &store,
                           view_publisher &views, clock_source clock, metrics_registry &metrics,
                           journal &events)
    : dependencies(std::move(dependencies)), store(store), views(views), clock(std::move(clock)),
      events(events), applied(metrics.counterOf("poplarspool_watched_updates_total")),
      rejected(metrics.counterOf("poplarspool_config_rejected_total"))
{ }

watched_sync::~watched_sync()
{
    stop();
}

void watched_sync::start()
{
    storeThread = std::thread([this] { storeLoop(); });
    peerThread = std::thread([this] { peerLoop(); });
}

void watched_sync::stop()
{
    {
        const std::lock_guard lock(guard);
        isStopping = true;
    }
    wake.notify_all();
    if (storeThread.joinable())
        storeThread.join();
    if (peerThread.joinable())
        peerThread.join();
}

peer::watched_reply watched_sync::replyTo(const peer::watched_request &request) const
{
    const std::lock_guard lock(guard);
    peer::watched_reply reply;
    reply.version = completeVersion;
    for (const auto &[key, entry] : objects) {
        if (entry.version > request.knownVersion)
            reply.objects.push_back({entry.key, entry.value, entry.version});
    }
    return reply;
}

result<peer::body_reply> watched_sync::bodyFor(const peer::body_request &request) const
{
    const std::lock_guard lock(guard);
    const auto found = bodies.find(request.sha256);
    if (found == bodies.end())
        return notRun(error_code::NotFound, "this instance does not have that configuration body");
    return peer::body_reply{found->second};
}

std::uint64_t watched_sync::appliedVersion() const
{
    const std::lock_guard lock(guard);
    return completeVersion;
}

mono_time watched_sync::confirmedAt() const
{
    const std::lock_guard lock(guard);
    return confirmed;
}

std::pair<std::uint64_t, mono_time> watched_sync::progress() const
{
    const std::lock_guard lock(guard);
    return {completeVersion, confirmed};
}

void watched_sync::storeLoop()
{
    milliseconds backoff = config::initialStoreBackoff;
    for (;;) {
        {
            const std::lock_guard lock(guard);
            if (isStopping)
                return;
        }
        if (!dependencies.isWatcher()) {
            pause(config::gossipInterval);
            continue;
        }
        if (pullFromStore()) {
            backoff = config::initialStoreBackoff;
            continue;
        }
        pause(backoff);
        backoff = std::min(backoff * 2, config::maxSyncBackoff);
    }
}

bool watched_sync::pullFromStore()
{
    std::uint64_t after = 0;
    bool isWatch = false;
    {
        const std::lock_guard lock(guard);
        after = cursor;
        isWatch = hasListed;
    }
    const std::string prefix = operators::watchedPrefix(dependencies.deployment);
    const mono_time requestedAt = clock.mono();
    const milliseconds wait = config::configWatchTimeout;
    const auto answer = isWatch ? store.watch(prefix, after, wait) : store.list(prefix);
    if (!succeeded(answer))
        return false;
    const platform::object_list &changes = valueOf(answer);
    // A watch that timed out without changes confirms that nothing changed until
    // `requestedAt + wait`. The time at which its answer is read must not be used: the process may
    // have been frozen while the answer was in its socket.
    const bool isUnchanged = isWatch && changes.objects.empty();
    if (!applyUpdate(changes.objects, 0, isUnchanged ? requestedAt + wait : requestedAt))
        return false;
    const std::lock_guard lock(guard);
    hasListed = true;
    cursor = std::max(cursor, changes.version);
    return true;
}

void watched_sync::peerLoop()
{
    for (;;) {
        {
            const std::lock_guard lock(guard);
            if (isStopping)
                return;
        }
        pullFromPeers();
        pause(config::gossipInterval);
    }
}

void watched_sync::pullFromPeers()
{
    const std::uint64_t known = appliedVersion();
    std::vector<policy::member> peers = dependencies.peers();
    std::sort(peers.begin(), peers.end(), [](const policy::member &a, const policy::member &b) {
        return a.appliedVersion > b.appliedVersion;
    });
    mono_time confirmedByPeers{};
    for (const policy::member &other : peers) {
        if (other.appliedVersion == 0 || other.appliedVersion < known)
            break;
        if (other.appliedVersion == known) {
            // The versions are equal, so a confirmation that the store gave to that peer holds for
            // this view too.
            confirmedByPeers = std::max(confirmedByPeers, other.confirmedAt);
            continue;
        }
        const auto reply = dependencies.requestState(other.peerAddress, {known});
        if (!succeeded(reply))
            continue;
        std::vector<platform::object> changed;
        for (const peer::watched_object &entry : valueOf(reply).objects)
            changed.push_back({entry.key, entry.value, entry.version});
        if (applyUpdate(changed, valueOf(reply).version, other.confirmedAt))
            return;
    }
    if (confirmedByPeers > confirmedAt())
        applyUpdate({}, known, confirmedByPeers);
}

/// Applies an update. Objects only move to higher versions, so an answer that arrives late or out
/// of order can't bring back an older configuration.
bool watched_sync::applyUpdate(const std::vector<platform::object> &changed,
                               std::uint64_t completeTo, mono_time confirmedNow)
{
    const std::lock_guard oneAtATime(applyLock);
    object_map next;
    std::uint64_t before = 0;
    {
        const std::lock_guard lock(guard);
        next = objects;
        before = completeVersion;
    }
    std::uint64_t newest = std::max(before, completeTo);
    bool hasChanges = false;
    for (const platform::object &entry : changed) {
        platform::object &present = next[entry.key];
        if (entry.version <= present.version)
            continue;
        present = entry;
        newest = std::max(newest, entry.version);
        hasChanges = true;
    }
    if (hasChanges && !publish(next, newest))
        return false;
    mono_time stamp;
    {
        const std::lock_guard lock(guard);
        objects = std::move(next);
        completeVersion = newest;
        confirmed = std::max(confirmed, confirmedNow);
        stamp = confirmed;
    }
    dependencies.onApplied(newest, stamp);
    return true;
}

bool watched_sync::publish(const object_map &next, std::uint64_t completeTo)
{
    const std::string headKey = operators::headKey(dependencies.deployment);
    const auto head = next.find(headKey);
    const policy::view_ptr before = views.current();
    std::optional<loaded_config> loaded;
    if (head != next.end() && head->second.version > before->configVersion) {
        loaded = load(head->second);
        if (!loaded)
            return false;
    }
    const policy::view_ptr after = views.update([&](policy::view &draft) {
        if (loaded) {
            policy::replaceFleet(draft, loaded->fleet);
            draft.ruleSet = loaded->rules;
            draft.configVersion = head->second.version;
        }
        draft.appliedVersion = completeTo;
        if (draft.fleet)
            markReserved(draft, next, headKey);
        return true;
    });
    applied.add();
    events.emit("view_applied",
                {{"version", std::to_string(completeTo)},
                 {"config", std::to_string(after->configVersion)}});
    return true;
}

/// Fetches and parses the configuration that a head refers to.
std::optional<watched_sync::loaded_config> watched_sync::load(const platform::object &head)
{
    const auto parsed = operators::parseConfigHead(head.value);
    if (!succeeded(parsed)) {
        reject(errorOf(parsed).message);
        return std::nullopt;
    }
    const auto inventoryText = findBody(valueOf(parsed).inventorySha);
    const auto rulesText = findBody(valueOf(parsed).rulesSha);
    if (!succeeded(inventoryText) || !succeeded(rulesText))
        return std::nullopt;
    const auto fleet = operators::parseInventory("inventory", valueOf(inventoryText));
    const auto rules = operators::parseRules("rules", valueOf(rulesText));
    const auto *goodFleet = std::get_if<policy::inventory>(&fleet);
    const auto *goodRules = std::get_if<policy::rules>(&rules);
    if (!goodFleet || !goodRules) {
        reject("the inventory or the rules are invalid");
        return std::nullopt;
    }
    const std::lock_guard lock(guard);
    bodies = {{valueOf(parsed).inventorySha, valueOf(inventoryText)},
              {valueOf(parsed).rulesSha, valueOf(rulesText)}};
    return loaded_config{std::make_shared<const policy::inventory>(*goodFleet),
                         std::make_shared<const policy::rules>(*goodRules)};
}

void watched_sync::reject(const std::string &reason)
{
    rejected.add();
    events.emit("config_rejected", {{"reason", reason}});
}

/// Bodies are addressed by their content hash, so a copy from any source is valid if its hash
/// matches.
result<std::string> watched_sync::findBody(const std::string &sha256)
{
    const auto own = bodyFor({sha256});
    if (succeeded(own))
        return valueOf(own).content;
    const auto stored = store.get(operators::bodyKey(dependencies.deployment, sha256));
    if (succeeded(stored) && sha256Hex(valueOf(stored).value) == sha256)
        return valueOf(stored).value;
    for (const policy::member &other : dependencies.peers()) {
        const auto reply = dependencies.requestBody(other.peerAddress, {sha256});
        if (succeeded(reply) && sha256Hex(valueOf(reply).content) == sha256)
            return valueOf(reply).content;
    }
    return notRun(error_code::Unavailable,
                  "configuration body found neither in the store nor at a peer");
}

void watched_sync::pause(milliseconds time)
{
    std::unique_lock lock(guard);
    wake.wait_for(lock, time, [this] { return isStopping; });
}

} // namespace poplarspool::node
