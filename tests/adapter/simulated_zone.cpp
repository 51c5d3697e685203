#include "adapter/simulated_zone.h"

#include "peer/frame.h"
#include "platform/limits.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <utility>

namespace poplarspool::adapter::test {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t firstRevision = 100;
/// Time from the sending of a datagram or of an answer of the store to its arrival.
constexpr auto datagramTime = 1ms;
constexpr auto answerTime = 4ms;
/// Time in which the instances of a fleet start.
constexpr auto startTime = 2s;
/// Bytes of a changed runner as relays send it, compressed, and of a piece of many of them.
constexpr std::size_t changeBytes = 16;
constexpr std::size_t pieceBytes = 1'090;
constexpr double datagramBytes = 1'400;
/// Bytes of an object in an answer of the store, by kind, and maximum number of them.
constexpr std::array<std::size_t, 2> objectBytes{60'000, 350};
constexpr std::size_t maxAnswerObjects = 500;

std::uint32_t numberOf(relayed_kind kind)
{
    return static_cast<std::uint32_t>(kind);
}

endpoint addressOf(std::size_t index)
{
    return {"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250), 80};
}

std::map<std::uint32_t, peer::reliance_limits> limitsFor(const instance_id &id,
                                                         const staleness_bounds &bounds)
{
    const auto limits = relianceLimitsOf(bounds, id);
    return {{numberOf(relayed_kind::Routes), limits}, {numberOf(relayed_kind::Runners), limits}};
}

} // namespace

simulated_zone::instance::instance(const instance_id &id, const zone_scenario &scenario)
    : election(id, limitsFor(id, scenario.bounds)), number(peer::senderNumber(id))
{ }

simulated_zone::simulated_zone(zone_scenario given)
    : scenario(std::move(given)), budget(budgetFor(scenario.bounds)), random(scenario.seed),
      now(timeOf(0ms))
{
    std::uint64_t revision = firstRevision;
    for (const simulated_change &change : scenario.changes) {
        revision += change.objects;
        changesByKind.at(change.kind).push_back({revision, timeOf(change.at), change.objects});
    }
    for (std::size_t i = 0; i < scenario.instances; ++i)
        indexByAddress[textOf(addressOf(i))] = i;
    std::bernoulli_distribution isCut(scenario.cutShare);
    std::uniform_int_distribution<std::int64_t> startedAt(
            0, std::chrono::milliseconds(startTime).count());
    for (std::size_t i = 0; i < scenario.instances; ++i) {
        const instance_id id{"edge-" + std::to_string(scenario.seed) + "-" + std::to_string(i)};
        auto one = std::make_unique<instance>(id, scenario);
        one->isCut = isCut(random);
        const mono_time started = timeOf(milliseconds(startedAt(random)));
        one->startedAt = started;
        indexByNumber[one->number] = i;
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            followed_kind &followed = one->followed.at(kind);
            followed.known = {true, true, {0, firstRevision}, started, started};
            followed.recent.reset(followed.known.version);
            schedule(started, [this, i, kind] { wake(i, kind); });
        }
        schedule(started, [this, i] { requestIteration(i); });
        instances.push_back(std::move(one));
    }
}

mono_time simulated_zone::timeOf(std::chrono::milliseconds time)
{
    return mono_time(1h) + time;
}

void simulated_zone::schedule(mono_time at, std::function<void()> run)
{
    queue.push({at, ++scheduledCount, std::move(run)});
}

void simulated_zone::runUntil(std::chrono::milliseconds end)
{
    while (!queue.empty() && queue.top().at <= timeOf(end)) {
        const scheduled next = queue.top();
        queue.pop();
        now = next.at;
        next.run();
    }
    now = timeOf(end);
}

std::chrono::milliseconds simulated_zone::latest(std::size_t kind) const
{
    std::chrono::nanoseconds time = latestApplied.at(kind);
    for (const auto &one : instances) {
        if (one->isCut)
            continue;
        for (const stored_change &change : changesByKind.at(kind)) {
            if (change.at <= now && one->followed.at(kind).known.version.revision < change.revision)
                time = std::max<std::chrono::nanoseconds>(time, now - change.at);
        }
    }
    return std::chrono::ceil<std::chrono::milliseconds>(time);
}

bool simulated_zone::isUnreachable(const instance &one, mono_time from, mono_time until) const
{
    return one.isCut && from < timeOf(scenario.cutEnd) && until >= timeOf(scenario.cutAt);
}

/// The store has one counter of revisions for all kinds.
std::uint64_t simulated_zone::revisionAt(mono_time time) const
{
    std::uint64_t revision = firstRevision;
    for (const auto &changes : changesByKind) {
        for (const stored_change &change : changes)
            revision = change.at <= time ? std::max(revision, change.revision) : revision;
    }
    return revision;
}

/// @returns What a watch from `since` gets now.
simulated_zone::store_answer simulated_zone::answerOf(std::size_t kind, std::uint64_t since) const
{
    store_answer made{since, revisionAt(now), 0, {}};
    for (const stored_change &change : changesByKind.at(kind)) {
        if (change.revision <= since || change.at > now)
            continue;
        if (made.objects >= maxAnswerObjects)
            break;
        made.objects += change.objects;
        if (made.objects >= maxAnswerObjects)
            made.revision = change.revision;
    }
    return made;
}

std::optional<mono_time> simulated_zone::nextChangeAfter(std::size_t kind,
                                                         std::uint64_t revision) const
{
    for (const stored_change &change : changesByKind.at(kind)) {
        if (change.revision > revision)
            return change.at;
    }
    return std::nullopt;
}

peer::relay_ability simulated_zone::abilityOf(const instance &one) const
{
    auto ability = peer::relay_ability::Proven;
    for (const followed_kind &followed : one.followed)
        ability = std::min(ability, relayAbilityOf(followed.known, budget.trustTime, now));
    return ability;
}

void simulated_zone::iterate(std::size_t index)
{
    instance &one = *instances[index];
    const auto ability = abilityOf(one);
    const auto role =
            one.election.decide(ability, peer::relayCountFor(scenario.instances - 1), now);
    const auto before = std::exchange(one.role, role);
    const bool wasRelay = before == peer::relay_role::Relay;
    if (role == peer::relay_role::Relay || (wasRelay && ability != peer::relay_ability::Proven))
        send(index);
    mono_time next = now + config::storeUpdateInterval;
    if (const auto takeoverAt = one.election.takeoverAt())
        next = std::clamp(*takeoverAt, now + 1ms, next);
    if (before != role) {
        for (std::size_t kind = 0; kind < kinds.size(); ++kind)
            wake(index, kind);
    }
    const std::uint64_t step = ++one.step;
    schedule(next, [this, index, step] {
        if (instances[index]->step == step)
            iterate(index);
    });
}

void simulated_zone::requestIteration(std::size_t index)
{
    const std::uint64_t step = ++instances[index]->step;
    schedule(now, [this, index, step] {
        if (instances[index]->step == step)
            iterate(index);
    });
}

void simulated_zone::listInstances(std::size_t index)
{
    instance &one = *instances[index];
    if (!one.others.empty() && now - one.listedAt < scenario.listInterval)
        return;
    one.listedAt = now;
    one.others.clear();
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (i != index && instances[i]->startedAt <= now)
            one.others.push_back(addressOf(i));
    }
    one.batches.clear();
}

const std::vector<peer::forward_batch> &simulated_zone::batchesOf(instance &one, std::uint32_t part)
{
    auto &batches = one.batches[part];
    if (batches.empty())
        batches = peer::forwardBatchesOf(one.others, one.number + part);
    return batches;
}

void simulated_zone::send(std::size_t index)
{
    instance &one = *instances[index];
    listInstances(index);
    std::vector<relay_source> sources;
    for (std::size_t kind = 0; kind < kinds.size(); ++kind)
        sources.push_back(
                {kinds.at(kind), one.followed.at(kind).known, one.followed.at(kind).recent});
    for (peer::store_update &made : relayUpdatesOf(sources, one.election.isFirstRelay(), now)) {
        const auto update = std::make_shared<const peer::store_update>(std::move(made));
        for (const peer::forward_batch &batch : batchesOf(one, update->kinds.front().part)) {
            for (const endpoint &to : batch.to) {
                const std::size_t receiver = indexByAddress.at(textOf(to));
                const auto arrival = sendDatagram(one, receiver, one.number, update);
                if (arrival && !batch.forwardTo.empty())
                    forward(one.number, receiver, *arrival, batch.forwardTo, update);
            }
        }
    }
}

/// @returns When the datagram arrives; nullopt if it is lost.
std::optional<mono_time>
simulated_zone::sendDatagram(instance &from, std::size_t to, std::uint64_t relay,
                             const std::shared_ptr<const peer::store_update> &update)
{
    const std::chrono::duration<double> transfer(datagramBytes / scenario.linkBytesPerSecond);
    from.linkBusyUntil = std::max(from.linkBusyUntil, now)
            + std::chrono::duration_cast<std::chrono::nanoseconds>(transfer);
    if (std::bernoulli_distribution(scenario.lossShare)(random))
        return std::nullopt;
    const mono_time arrival = from.linkBusyUntil + datagramTime;
    schedule(arrival, [this, to, relay, update] { deliver(to, relay, update); });
    return arrival;
}

/// Forwarders of a busy machine are late, each by a time of its own.
void simulated_zone::forward(std::uint64_t relay, std::size_t forwarder, mono_time arrival,
                             const std::vector<endpoint> &to,
                             const std::shared_ptr<const peer::store_update> &update)
{
    const milliseconds delay(hashOf(textOf(addressOf(forwarder)), scenario.seed)
                             % (scenario.maxForwardDelay.count() + 1));
    schedule(arrival + delay, [this, relay, forwarder, to, update, delay] {
        const auto forwarded = std::make_shared<peer::store_update>(*update);
        for (peer::kind_update &kind : forwarded->kinds)
            kind.ageMs += static_cast<std::uint32_t>(delay.count());
        for (const endpoint &member : to)
            sendDatagram(*instances[forwarder], indexByAddress.at(textOf(member)), relay,
                         forwarded);
    });
}

void simulated_zone::deliver(std::size_t index, std::uint64_t sender,
                             const std::shared_ptr<const peer::store_update> &update)
{
    instance &one = *instances[index];
    one.election.receive(sender, *update, now);
    for (const peer::kind_update &received : update->kinds) {
        const std::size_t kind = received.kind == numberOf(relayed_kind::Routes) ? 0 : 1;
        const auto joined = one.assembler.add(sender, received, now);
        if (!joined)
            continue;
        followed_kind &followed = one.followed.at(kind);
        if (!joined->isAnswered) {
            wake(index, kind);
            continue;
        }
        const std::uint64_t before = followed.known.version.revision;
        applyRelayed(followed, *joined);
        while (const auto next = one.assembler.takeNext(joined->kind, followed.known.version, now))
            applyRelayed(followed, *next);
        raiseVersion(one, kind, before, followed.known.version.revision);
        const bool isBehind = followed.known.version < joined->version;
        if (isBehind && joined->isPartial)
            one.assembler.keep(*joined, now);
        if (isBehind)
            requestChanges(index, sender, kind);
        if (isBehind || before != followed.known.version.revision)
            wake(index, kind);
    }
}

void simulated_zone::requestChanges(std::size_t index, std::uint64_t relay, std::size_t kind)
{
    instance &one = *instances[index];
    const auto known = one.followed.at(kind).known.version;
    missing_changes &waiting = one.missing.at(kind);
    if (waiting.known != known)
        waiting = {known, now, waiting.requestedAt};
    if (one.role != peer::relay_role::None || now - waiting.since < config::missingChangesTime
        || now - waiting.requestedAt < config::changeRequestInterval)
        return;
    waiting.requestedAt = now;
    if (std::bernoulli_distribution(scenario.lossShare)(random))
        return;
    const std::size_t asked = indexByNumber.at(relay);
    schedule(now + datagramTime, [this, asked, kind, known] {
        if (instances[asked]->role != peer::relay_role::Relay)
            return;
        if (instances[asked]->followed.at(kind).recent.repeatAfter(known, now))
            requestIteration(asked);
    });
}

void simulated_zone::applyRelayed(followed_kind &followed, const peer::kind_update &update)
{
    kind_state &known = followed.known;
    if (update.since > known.version.revision || update.version < known.version)
        return;
    if (update.version > known.version) {
        followed.recent.add(update.since, update.version, update.changes, now);
        known.version = update.version;
    }
    if (!update.isPartial)
        known.confirmedAt = std::max(known.confirmedAt, now - milliseconds(update.ageMs));
}

void simulated_zone::wake(std::size_t index, std::size_t kind)
{
    followed_kind &followed = instances[index]->followed.at(kind);
    if (followed.isCalling)
        return;
    const std::uint64_t step = ++followed.step;
    schedule(std::max(now, followed.pausedUntil), [this, index, kind, step] {
        if (instances[index]->followed.at(kind).step == step)
            follow(index, kind);
    });
}

void simulated_zone::follow(std::size_t index, std::size_t kind)
{
    instance &one = *instances[index];
    followed_kind &followed = one.followed.at(kind);
    const auto covered = one.role == peer::relay_role::None
            ? one.election.coveredUntil(
                    {numberOf(kinds.at(kind)), followed.known.version, followed.known.confirmedAt},
                    now)
            : std::nullopt;
    if (!covered)
        return call(index, kind);
    const std::uint64_t step = ++followed.step;
    schedule(*covered, [this, index, kind, step] {
        if (instances[index]->followed.at(kind).step == step)
            follow(index, kind);
    });
}

void simulated_zone::call(std::size_t index, std::size_t kind)
{
    instance &one = *instances[index];
    followed_kind &followed = one.followed.at(kind);
    ++calls;
    followed.isCalling = true;
    const milliseconds wait =
            relayedWatchTimeFor(scenario.bounds, followed.known, followed.failures, now);
    const std::uint64_t since = followed.known.version.revision;
    const auto change = nextChangeAfter(kind, since);
    const mono_time answered =
            std::clamp(change.value_or(now + wait), now, now + wait) + answerTime;
    const mono_time failsAt = now + wait + config::storeReadTimeout;
    if (isUnreachable(one, now, answered)) {
        schedule(failsAt, [this, index, kind] { handleFailure(index, kind); });
        return;
    }
    schedule(answered, [this, index, kind, since, failsAt, sentAt = now] {
        store_answer made = answerOf(kind, since);
        made.sentAt = sentAt;
        answer(index, kind, made, failsAt);
    });
}

/// Answers share the store's link, and those that are late are transferred in vain.
void simulated_zone::answer(std::size_t index, std::size_t kind, store_answer made,
                            mono_time failsAt)
{
    const std::chrono::duration<double> transfer(
            static_cast<double>(made.objects * objectBytes.at(kind))
            / scenario.storeBytesPerSecond);
    storeBusyUntil = std::max(storeBusyUntil, now)
            + std::chrono::duration_cast<std::chrono::nanoseconds>(transfer);
    if (storeBusyUntil > failsAt)
        schedule(failsAt, [this, index, kind] { handleFailure(index, kind); });
    else
        schedule(storeBusyUntil, [this, index, kind, made] { handleAnswer(index, kind, made); });
}

void simulated_zone::handleAnswer(std::size_t index, std::size_t kind, const store_answer &received)
{
    instance &one = *instances[index];
    followed_kind &followed = one.followed.at(kind);
    followed.isCalling = false;
    followed.failures = 0;
    kind_state &known = followed.known;
    const std::uint64_t before = known.version.revision;
    if (received.revision >= before) {
        const std::size_t pieces = (received.objects * changeBytes + pieceBytes - 1) / pieceBytes;
        followed.recent.add(received.since, {0, received.revision},
                            std::vector<std::string>(pieces, std::string(pieceBytes, 'x')), now);
        known.version = {0, received.revision};
        raiseVersion(one, kind, before, received.revision);
    }
    const mono_time confirmedAt =
            std::max<mono_time>(received.sentAt, now - config::storeConfirmDelay);
    known.isAnswered = true;
    known.confirmedAt = std::max(known.confirmedAt, confirmedAt);
    known.answeredAt = std::max(known.answeredAt, confirmedAt);
    requestIteration(index);
    const milliseconds gap =
            one.role == peer::relay_role::None ? config::gatewayWatchGap : config::relayWatchGap;
    followed.pausedUntil =
            received.objects >= config::largeReplyChanges ? now : received.sentAt + gap;
    wake(index, kind);
}

void simulated_zone::handleFailure(std::size_t index, std::size_t kind)
{
    followed_kind &followed = instances[index]->followed.at(kind);
    followed.isCalling = false;
    followed.known.isAnswered = false;
    followed.failures = std::min(followed.failures + 1, 4U);
    followed.pausedUntil = now
            + std::min(config::initialGatewayStorePause * (1U << followed.failures),
                       config::maxGatewayStorePause);
    requestIteration(index);
    wake(index, kind);
}

void simulated_zone::raiseVersion(const instance &one, std::size_t kind, std::uint64_t from,
                                  std::uint64_t to)
{
    if (one.isCut)
        return;
    for (const stored_change &change : changesByKind.at(kind)) {
        if (change.revision > from && change.revision <= to)
            latestApplied.at(kind) =
                    std::max<std::chrono::nanoseconds>(latestApplied.at(kind), now - change.at);
    }
}

} // namespace poplarspool::adapter::test
