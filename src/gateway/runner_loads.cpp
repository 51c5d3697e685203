#include "gateway/runner_table.h"
#include "peer/frame.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace poplarspool::gateway {

namespace {

constexpr auto otherZonesIndex = static_cast<std::size_t>(peer::update_recipients::OtherZones);

/// Maximum bytes of the work of one rank in an update, and of one workspace or engine sample.
constexpr std::size_t rankedBytes = 7;
constexpr std::size_t reportedBytes = 8;

/// Leaves out lower ranks that don't fit into a datagram, which would be dropped. They then count
/// as rank 0, which makes other instances estimate longer waits, but never shorter ones. Keeps room
/// for the workspaces and samples of an update that is not a digest.
void limitRanks(peer::load_update &update)
{
    constexpr peer::runner_work none;
    const auto hasRanks = [&none](const peer::runner_work &one) {
        return one.lowerRanks != none.lowerRanks;
    };
    if (std::ranges::none_of(update.work, hasRanks))
        return;
    peer::load_update withoutRanks = update;
    for (peer::runner_work &one : withoutRanks.work)
        one.lowerRanks = {};
    const auto encoded = peer::encode(withoutRanks);
    std::size_t used = peer::frameHeaderBytes + (succeeded(encoded) ? valueOf(encoded).size() : 0);
    if (!update.isDigest())
        used += (config::maxWorkspaceItems + config::maxEngineSamples) * reportedBytes;
    std::size_t left =
            (config::maxDatagramBytes - std::min(config::maxDatagramBytes, used)) / rankedBytes;
    for (peer::runner_work &one : update.work) {
        for (peer::ranked_work &ranked : one.lowerRanks) {
            if (ranked == peer::ranked_work{})
                continue;
            if (left == 0)
                ranked = {};
            else
                --left;
        }
    }
}

/// Tokens between two values of one sender's counter, which wraps around. A value far below the
/// last one is from a new incarnation of the sender, which counts from 0.
std::uint32_t tokensSince(std::uint32_t before, std::uint32_t now)
{
    constexpr std::uint32_t half = 1U << 31U;
    const std::uint32_t passed = now - before;
    return passed < half ? passed : now;
}

} // namespace

void runner_table::work_sum::addWaiting(const open_send &sent)
{
    const bool isUrgent = sent.urgency == send_class::Urgent;
    (isUrgent ? urgent : late).add(1, sent.prefillMs);
    if (isUrgent && sent.rank > 0)
        lowerRanks[std::min<std::size_t>(sent.rank, lowerRanks.size()) - 1].add(1, sent.prefillMs);
}

void runner_table::work_sum::subtractWaiting(const open_send &sent)
{
    const bool isUrgent = sent.urgency == send_class::Urgent;
    (isUrgent ? urgent : late).subtract(1, sent.prefillMs);
    if (isUrgent && sent.rank > 0)
        lowerRanks[std::min<std::size_t>(sent.rank, lowerRanks.size()) - 1].subtract(
                1, sent.prefillMs);
}

void runner_table::work_sum::add(const peer::runner_work &update)
{
    open += update.open;
    urgent.add(update.urgentWaiting, update.urgentPrefillMs);
    late.add(update.lateWaiting, update.latePrefillMs);
    for (std::size_t i = 0; i < lowerRanks.size(); ++i)
        lowerRanks[i].add(update.lowerRanks[i].waiting, update.lowerRanks[i].prefillMs);
}

void runner_table::work_sum::add(const work_sum &other)
{
    open += other.open;
    urgent.add(other.urgent.count, other.urgent.prefillMs);
    late.add(other.late.count, other.late.prefillMs);
    for (std::size_t i = 0; i < lowerRanks.size(); ++i)
        lowerRanks[i].add(other.lowerRanks[i].count, other.lowerRanks[i].prefillMs);
}

void runner_table::work_sum::subtract(const peer::runner_work &update)
{
    open -= std::min(open, update.open);
    urgent.subtract(update.urgentWaiting, update.urgentPrefillMs);
    late.subtract(update.lateWaiting, update.latePrefillMs);
    for (std::size_t i = 0; i < lowerRanks.size(); ++i)
        lowerRanks[i].subtract(update.lowerRanks[i].waiting, update.lowerRanks[i].prefillMs);
}

/// Subtracts an instance's last update from the sums.
void runner_table::subtract(const peer_record &update)
{
    const bool isZonePeer = isOfThisZone(update);
    for (const auto &[runner, work] : update.work) {
        runner_record &entry = records[runner];
        entry.others.subtract(work);
        if (isZonePeer)
            entry.zoneOthers.subtract(work);
    }
}

/// An instance that has crashed does not announce the end of its requests.
void runner_table::expireSilentPeers(mono_time now)
{
    if (now - silenceCheckedAt < config::silenceCheckInterval)
        return;
    silenceCheckedAt = now;
    for (auto peer = peers.begin(); peer != peers.end();) {
        const std::chrono::nanoseconds silence = std::max<std::chrono::nanoseconds>(
                config::loadUpdateExpiry, config::maxSilentIntervals * peer->second.interval);
        if (now - peer->second.receivedAt <= silence) {
            ++peer;
            continue;
        }
        subtract(peer->second);
        peer = peers.erase(peer);
    }
}

peer::runner_work runner_table::workOf(std::uint32_t runner, const work_sum &sum,
                                       std::uint64_t tokensIn)
{
    peer::runner_work work{runner,
                           sum.open,
                           static_cast<std::uint32_t>(sum.urgent.prefillMs),
                           static_cast<std::uint32_t>(sum.late.prefillMs),
                           static_cast<std::uint32_t>(tokensIn),
                           sum.urgent.count,
                           sum.late.count};
    for (std::size_t i = 0; i < sum.lowerRanks.size(); ++i) {
        const waiting_work &lower = sum.lowerRanks[i];
        work.lowerRanks[i] = {lower.count, static_cast<std::uint32_t>(lower.prefillMs)};
    }
    return work;
}

std::vector<peer::cached_prefix> runner_table::takeCached(std::deque<cached_update> &waiting)
{
    std::vector<peer::cached_prefix> taken;
    const std::size_t count = std::min(waiting.size(), config::maxCachedPrefixes);
    for (std::size_t i = 0; i < count; ++i) {
        cached_update one = waiting.front();
        waiting.pop_front();
        taken.push_back(one.chain);
        if (--one.repeatsLeft > 0)
            waiting.push_back(one);
    }
    return taken;
}

peer::load_update runner_table::collectUpdate(peer::update_recipients recipients)
{
    const auto index = static_cast<std::size_t>(recipients);
    peer::load_update update;
    const std::lock_guard lock(guard);
    for (auto &[key, entry] : records) {
        std::uint32_t &sendsLeft = entry.sendsLeft[index];
        const work_sum &own = entry.own;
        if ((own.open == 0 && sendsLeft == 0) || update.work.size() >= config::maxLoadItems)
            continue;
        sendsLeft -= std::min(sendsLeft, 1U);
        update.work.push_back(workOf(key, own, entry.ownTokensIn));
    }
    update.zone = zone;
    update.cached = takeCached(pendingUpdates[index]);
    if (recipients == peer::update_recipients::SameZone)
        update.samples = takeSamples();
    limitRanks(update);
    return update;
}

bool runner_table::isOfThisZone(const peer_record &update) const
{
    return update.digestParts == 0 && update.zone == zone;
}

/// @returns The record that the update replaces; null if the update is ignored.
runner_table::peer_record *runner_table::recordFor(std::uint64_t sender,
                                                   const peer::load_update &update)
{
    if (!update.isDigest()) {
        peer_record &entry = peers[sender];
        entry.zone = update.zone;
        return &entry;
    }
    if (update.zone == zone || update.digestPart >= update.digestParts)
        return nullptr;
    // The instances of the zone now split their digest into more parts: the former parts would be
    // counted in addition.
    for (auto peer = peers.begin(); peer != peers.end();) {
        const peer_record &known = peer->second;
        const bool isReplaced = known.zone == update.zone && known.digestParts > 0
                && known.digestParts != update.digestParts;
        if (isReplaced)
            subtract(known);
        peer = isReplaced ? peers.erase(peer) : std::next(peer);
    }
    peer_record &entry = peers[(std::uint64_t{update.zone} << 32U) + update.digestPart];
    entry.zone = update.zone;
    entry.digestParts = update.digestParts;
    return &entry;
}

void runner_table::applyUpdate(std::uint64_t sender, const peer::load_update &update)
{
    const std::lock_guard lock(guard);
    const mono_time now = clock.mono();
    peer_record *const entry = recordFor(sender, update);
    if (entry == nullptr)
        return;
    if (entry->receivedAt != mono_time{})
        entry->interval = std::min<std::chrono::nanoseconds>(now - entry->receivedAt,
                                                             config::maxLoadUpdateInterval);
    entry->receivedAt = now;
    subtract(*entry);
    for (auto &[runner, work] : entry->work)
        work = {.runner = runner, .prefilledTokens = work.prefilledTokens};
    // Another instance now makes the digest, and has counted the tokens from another start.
    const bool countsAnew = std::exchange(entry->origin, update.origin) != update.origin;
    const bool isZonePeer = isOfThisZone(*entry);
    for (const peer::runner_work &one : update.work) {
        runner_record &runnerEntry = records[one.runner];
        peer::runner_work &known = entry->work[one.runner];
        const std::uint32_t tokens =
                countsAnew ? 0 : tokensSince(known.prefilledTokens, one.prefilledTokens);
        runnerEntry.others.add(one);
        runnerEntry.tokensIn += tokens;
        if (isZonePeer) {
            runnerEntry.zoneOthers.add(one);
            runnerEntry.zoneTokensIn += tokens;
        }
        known = one;
    }
    applyCached(update);
    if (isZonePeer)
        applySamples(update);
}

/// The instance that makes the zone's digest passes on what its zone has cached.
/// @attention The caller must hold `guard`.
void runner_table::applyCached(const peer::load_update &update)
{
    const bool passesOn = !update.isDigest() && update.zone == zone
            && clock.mono() - digestCollectedAt <= config::loadUpdateExpiry;
    for (const peer::cached_prefix &one : update.cached) {
        runner_record &runnerEntry = records[one.runner];
        const bool wasHeld = runnerEntry.holds(one.prefixHash);
        cached_part &part = runnerEntry.cached[one.prefixHash];
        part.usedAt = runnerEntry.tokensIn;
        part.isPrefilled = one.isPrefilled || (wasHeld && part.isPrefilled);
        holders.add(one.prefixHash, one.runner);
        if (passesOn)
            queueCached(pendingUpdates[otherZonesIndex], one);
    }
}

std::vector<peer::load_update> runner_table::collectDigest()
{
    std::vector<peer::load_update> parts;
    const std::lock_guard lock(guard);
    digestCollectedAt = clock.mono();
    expireSilentPeers(digestCollectedAt);
    std::vector<peer::runner_work> work;
    for (auto &[key, entry] : records) {
        work_sum sum = entry.own;
        sum.add(entry.zoneOthers);
        if (sum.open == 0 && entry.digestTokensIn == entry.zoneTokensIn)
            continue;
        entry.digestTokensIn = entry.zoneTokensIn;
        work.push_back(workOf(key, sum, entry.zoneTokensIn));
    }
    std::deque<cached_update> &waiting = pendingUpdates[otherZonesIndex];
    if (std::exchange(wasDigestEmpty, work.empty() && waiting.empty()) && wasDigestEmpty)
        return parts;
    const auto wanted = static_cast<std::uint32_t>(work.size() / config::digestPartItems + 1);
    digestParts = std::min(std::max(digestParts, std::bit_ceil(wanted)), config::maxDigestParts);
    parts.resize(digestParts);
    for (std::uint32_t part = 0; part < digestParts; ++part) {
        parts[part].zone = zone;
        parts[part].digestParts = digestParts;
        parts[part].digestPart = part;
        parts[part].origin = self;
        parts[part].cached = takeCached(waiting);
    }
    for (const peer::runner_work &one : work) {
        auto &items = parts[one.runner % digestParts].work;
        if (items.size() < config::maxLoadItems)
            items.push_back(one);
    }
    std::ranges::for_each(parts, limitRanks);
    return parts;
}

} // namespace poplarspool::gateway
