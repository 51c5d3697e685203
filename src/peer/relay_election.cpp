#include "poplarspool/peer/relay_election.h"

#include "peer/frame.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <utility>

namespace poplarspool::peer {

std::size_t relayCountFor(std::size_t others)
{
    return others < config::minOthersForTwoRelays ? 1 : 2;
}

relay_election::relay_election(const instance_id &self)
    : self(senderNumber(self)),
      takeoverDelay(static_cast<std::int64_t>(
              toUnitInterval(this->self) * static_cast<double>(config::maxTakeoverDelay.count())))
{ }

bool relay_election::relay::isHealthy(mono_time now) const
{
    return now - receivedAt <= config::relaySilenceLimit
            && std::ranges::all_of(kinds, [](const auto &kind) { return kind.second.isAnswered; });
}

void relay_election::receive(std::uint64_t sender, const store_update &update, mono_time now)
{
    if (sender == self)
        return;
    relay &sending = relays[sender];
    sending.receivedAt = now;
    const auto before = std::exchange(sending.kinds, {});
    for (const kind_update &one : update.kinds) {
        const auto known = before.find(one.kind);
        if (!one.isPartial) {
            sending.kinds[one.kind] = {one.isAnswered, one.version, now - milliseconds(one.ageMs),
                                       one.version, now};
            continue;
        }
        if (known == before.end())
            continue;
        received_kind announcing = known->second;
        if (announcing.announced == announcing.version)
            announcing.announcedAt = now;
        announcing.announced = std::max(announcing.announced, one.version);
        sending.kinds[one.kind] = announcing;
    }
}

bool relay_election::decide(bool canRelay, std::size_t wantedRelays, mono_time now)
{
    std::erase_if(relays, [now](const auto &entry) {
        return now - entry.second.receivedAt > config::relayRetention;
    });
    std::size_t healthy = 0;
    std::size_t higherRanked = 0;
    for (const auto &[sender, relay] : relays) {
        if (!relay.isHealthy(now))
            continue;
        ++healthy;
        higherRanked += sender > self ? 1 : 0;
    }
    if (isRelay) {
        isRelay = canRelay && higherRanked < wantedRelays;
        return isRelay;
    }
    if (!canRelay || healthy >= wantedRelays)
        shortageSince.reset();
    else if (!shortageSince)
        shortageSince = now;
    isRelay = shortageSince && now - *shortageSince >= takeoverDelay;
    if (isRelay)
        shortageSince.reset();
    return isRelay;
}

std::optional<mono_time> relay_election::takeoverAt() const
{
    if (!shortageSince)
        return std::nullopt;
    return *shortageSince + takeoverDelay;
}

std::optional<mono_time> relay_election::coveredUntil(const known_kind &known, milliseconds maxAge,
                                                      mono_time now) const
{
    std::optional<mono_time> until;
    for (const auto &entry : relays) {
        const relay &sending = entry.second;
        const auto found = sending.kinds.find(known.kind);
        if (found == sending.kinds.end() || now - sending.receivedAt > config::relaySilenceLimit)
            continue;
        const received_kind &received = found->second;
        if (received.version > known.version)
            return std::nullopt;
        // A relay that still watches the store as it was before a store rollback confirms nothing.
        const bool isOlderEpoch = received.version.epoch < known.version.epoch;
        // Confirmed later, but at an older revision: either the store has restarted its
        // revisions, or the two instances use different stores. Relying on this relay, this
        // instance would wait for updates that never come.
        const bool isContradiction = received.version < known.version
                && received.confirmedAt > known.confirmedAt + config::relayRetention;
        if (!received.isAnswered || isOlderEpoch || isContradiction)
            continue;
        mono_time end = std::min(received.confirmedAt + maxAge,
                                 sending.receivedAt + config::relaySilenceLimit);
        // The rest of the changes is expected at once. If it is lost, the instance has to ask.
        if (received.announced > known.version)
            end = std::min(end, received.announcedAt + config::relaySilenceLimit);
        if (end > now)
            until = std::max(until.value_or(end), end);
    }
    return until;
}

} // namespace poplarspool::peer
