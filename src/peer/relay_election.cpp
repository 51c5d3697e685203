#include "poplarspool/peer/relay_election.h"

#include "peer/frame.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <utility>

namespace poplarspool::peer {

std::string_view nameOf(relay_role role)
{
    switch (role) {
    case relay_role::Candidate:
        return "candidate";
    case relay_role::Relay:
        return "relay";
    case relay_role::None:
        break;
    }
    return "none";
}

std::string_view nameOf(uncovered_reason reason)
{
    switch (reason) {
    case uncovered_reason::Behind:
        return "behind";
    case uncovered_reason::Refused:
        return "relay_refused";
    case uncovered_reason::Expired:
        return "confirmation_expired";
    case uncovered_reason::NoRelay:
        break;
    }
    return "no_relay";
}

std::size_t relayCountFor(std::size_t others)
{
    return others < config::minOthersForTwoRelays ? 1 : 2;
}

relay_election::relay_election(const instance_id &self,
                               std::map<std::uint32_t, reliance_limits> kinds)
    : self(senderNumber(self)), limits(std::move(kinds)),
      takeoverDelay(static_cast<std::int64_t>(
              toUnitInterval(this->self) * static_cast<double>(config::maxTakeoverDelay.count())))
{ }

/// A relay that has lost the store without noticing sends on: only the age of its confirmations
/// shows it.
bool relay_election::isHealthy(const relay &one, mono_time now) const
{
    return now - one.receivedAt <= config::relaySilenceLimit
            && std::ranges::all_of(one.kinds, [&](const auto &entry) {
                   const auto known = limits.find(entry.first);
                   const bool hasExpired = known != limits.end()
                           && now - entry.second.confirmedAt > known->second.trustTime;
                   return entry.second.isAnswered && !hasExpired;
               });
}

reliance_limits relay_election::limitsOf(std::uint32_t kind) const
{
    const auto found = limits.find(kind);
    return found == limits.end() ? reliance_limits{} : found->second;
}

/// A datagram with many changes of one kind leaves out the others, which are told again by the next
/// one.
void relay_election::receive(std::uint64_t sender, const store_update &update, mono_time now)
{
    if (sender == self)
        return;
    relay &sending = relays[sender];
    sending.receivedAt = now;
    for (const kind_update &one : update.kinds) {
        if (!one.isPartial) {
            sending.kinds[one.kind] = {now,
                                       one.isAnswered,
                                       one.version,
                                       now - milliseconds(one.ageMs),
                                       one.version,
                                       now,
                                       one.repeatableSince};
            continue;
        }
        const auto known = sending.kinds.find(one.kind);
        if (known == sending.kinds.end())
            continue;
        received_kind &announcing = known->second;
        announcing.receivedAt = now;
        if (announcing.announced == announcing.version)
            announcing.announcedAt = now;
        announcing.announced = std::max(announcing.announced, one.version);
    }
    std::erase_if(sending.kinds, [now](const auto &entry) {
        return now - entry.second.receivedAt > config::relaySilenceLimit;
    });
}

relay_role relay_election::decide(relay_ability ability, std::size_t wantedRelays, mono_time now)
{
    std::erase_if(relays, [now](const auto &entry) {
        return now - entry.second.receivedAt > config::relayRetention;
    });
    std::size_t healthy = 0;
    std::size_t higherRanked = 0;
    for (const auto &[sender, relay] : relays) {
        if (!isHealthy(relay, now))
            continue;
        ++healthy;
        higherRanked += sender > self ? 1 : 0;
    }
    hasHigherRanked = higherRanked > 0;
    if (role == relay_role::Relay) {
        if (ability != relay_ability::Proven || higherRanked >= wantedRelays)
            role = relay_role::None;
        return role;
    }
    if (ability == relay_ability::None || healthy >= wantedRelays)
        shortageSince.reset();
    else if (!shortageSince)
        shortageSince = now;
    if (!shortageSince || now - *shortageSince < takeoverDelay)
        role = relay_role::None;
    else if (ability == relay_ability::Unproven)
        role = relay_role::Candidate;
    else
        role = relay_role::Relay;
    if (role == relay_role::Relay)
        shortageSince.reset();
    return role;
}

std::optional<mono_time> relay_election::takeoverAt() const
{
    if (!shortageSince || role == relay_role::Candidate)
        return std::nullopt;
    return *shortageSince + takeoverDelay;
}

std::optional<mono_time> relay_election::coveredUntil(const known_kind &known, mono_time now) const
{
    const reliance_limits limit = limitsOf(known.kind);
    std::optional<mono_time> until;
    auto knownUntil = mono_time::max();
    for (const auto &entry : relays) {
        const relay &sending = entry.second;
        const auto found = sending.kinds.find(known.kind);
        if (found == sending.kinds.end())
            continue;
        const received_kind &received = found->second;
        const mono_time silentAt = received.receivedAt + config::relaySilenceLimit;
        if (now > silentAt + limit.fallbackDelay)
            continue;
        if (received.version > known.version) {
            const bool canBeRepeated = received.version.epoch == known.version.epoch
                    && received.repeatableSince <= known.version.revision;
            if (!canBeRepeated)
                return std::nullopt;
            // What is known counts until its own confirmation expires.
            knownUntil = known.confirmedAt + limit.trustTime + limit.fallbackDelay;
        }
        // A relay that still watches the store as it was before a store rollback confirms nothing.
        const bool isOlderEpoch = received.version.epoch < known.version.epoch;
        // Confirmed later, but at an older revision: either the store has restarted its
        // revisions, or the two instances use different stores. Relying on this relay, this
        // instance would wait for updates that never come.
        const bool isContradiction = received.version < known.version
                && received.confirmedAt > known.confirmedAt + config::relayRetention;
        if (!received.isAnswered || isOlderEpoch || isContradiction)
            continue;
        mono_time end =
                std::min(received.confirmedAt + limit.trustTime, silentAt) + limit.fallbackDelay;
        // The rest of the changes is expected at once. If it is lost, the instance has to ask.
        if (received.announced > known.version)
            end = std::min(end, received.announcedAt + config::relaySilenceLimit);
        if (end > now)
            until = std::max(until.value_or(end), end);
    }
    if (until)
        until = std::min(*until, knownUntil);
    return until && *until > now ? until : std::nullopt;
}

uncovered_reason relay_election::whyUncovered(const known_kind &known, mono_time now) const
{
    auto reason = uncovered_reason::NoRelay;
    for (const auto &entry : relays) {
        const auto found = entry.second.kinds.find(known.kind);
        if (found == entry.second.kinds.end()
            || now - found->second.receivedAt > config::relaySilenceLimit)
            continue;
        const received_kind &received = found->second;
        if (std::max(received.version, received.announced) > known.version)
            return uncovered_reason::Behind;
        reason = received.isAnswered ? uncovered_reason::Expired : uncovered_reason::Refused;
    }
    return reason;
}

} // namespace poplarspool::peer
