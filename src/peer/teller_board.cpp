#include "poplarspool/peer/teller_board.h"

#include "peer/frame.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/config.h"

#include <algorithm>

namespace poplarspool::peer {

std::size_t tellersFor(std::size_t others)
{
    return others < config::othersForTwoTellers ? 1 : 2;
}

teller_board::teller_board(const instance_id &self)
    : self(senderNumber(self)),
      takeoverDelay(static_cast<std::int64_t>(
              unitOf(this->self) * static_cast<double>(config::standInTimeMost.count())))
{ }

bool teller_board::relay::isHealthy(mono_time now) const
{
    return now - receivedAt <= config::tellerSilence
            && std::ranges::all_of(kinds, [](const auto &kind) { return kind.second.isAnswered; });
}

void teller_board::hear(std::uint64_t sender, const store_news &update, mono_time now)
{
    if (sender == self)
        return;
    relay &sending = relays[sender];
    sending.receivedAt = now;
    sending.kinds.clear();
    for (const kind_news &one : update.kinds)
        sending.kinds[one.kind] = {one.isAnswered, one.version, now - milliseconds(one.ageMs)};
}

bool teller_board::decide(bool isAble, std::size_t wantedRelays, mono_time now)
{
    std::erase_if(relays, [now](const auto &entry) {
        return now - entry.second.receivedAt > config::tellerMemory;
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
        isRelay = isAble && higherRanked < wantedRelays;
        return isRelay;
    }
    if (!isAble || healthy >= wantedRelays)
        shortageSince.reset();
    else if (!shortageSince)
        shortageSince = now;
    isRelay = shortageSince && now - *shortageSince >= takeoverDelay;
    if (isRelay)
        shortageSince.reset();
    return isRelay;
}

std::optional<mono_time> teller_board::standsInAt() const
{
    if (!shortageSince)
        return std::nullopt;
    return *shortageSince + takeoverDelay;
}

std::optional<mono_time> teller_board::coveredUntil(const known_kind &known, milliseconds maxAge,
                                                    mono_time now) const
{
    std::optional<mono_time> until;
    for (const auto &entry : relays) {
        const relay &sending = entry.second;
        const auto found = sending.kinds.find(known.kind);
        if (found == sending.kinds.end() || now - sending.receivedAt > config::tellerSilence)
            continue;
        const received_kind &received = found->second;
        if (received.version > known.version)
            return std::nullopt;
        // A relay that still watches the store as it was before a store rollback confirms nothing.
        const bool isPast = received.version.epoch < known.version.epoch;
        // Confirmed later, but at an older revision: either the store has restarted its
        // revisions, or the two instances use different stores. Relying on this relay, this
        // instance would wait for updates that never come.
        const bool isContradiction = received.version < known.version
                && received.confirmedAt > known.confirmedAt + config::tellerMemory;
        if (!received.isAnswered || isPast || isContradiction)
            continue;
        const mono_time end =
                std::min(received.confirmedAt + maxAge, sending.receivedAt + config::tellerSilence);
        if (end > now)
            until = std::max(until.value_or(end), end);
    }
    return until;
}

} // namespace poplarspool::peer
