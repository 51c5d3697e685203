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
      standInDelay(static_cast<std::int64_t>(
              unitOf(this->self) * static_cast<double>(config::standInTimeMost.count())))
{ }

bool teller_board::teller::isGood(mono_time now) const
{
    return now - heardAt <= config::tellerSilence
            && std::ranges::all_of(kinds, [](const auto &kind) { return kind.second.isAnswered; });
}

void teller_board::hear(std::uint64_t sender, const store_news &news, mono_time now)
{
    if (sender == self)
        return;
    teller &from = tellers[sender];
    from.heardAt = now;
    from.kinds.clear();
    for (const kind_news &one : news.kinds)
        from.kinds[one.kind] = {one.isAnswered, one.version, now - milliseconds(one.ageMs)};
}

bool teller_board::decide(bool isAble, std::size_t enough, mono_time now)
{
    std::erase_if(tellers, [now](const auto &entry) {
        return now - entry.second.heardAt > config::tellerMemory;
    });
    std::size_t good = 0;
    std::size_t better = 0;
    for (const auto &[sender, teller] : tellers) {
        if (!teller.isGood(now))
            continue;
        ++good;
        better += sender > self ? 1 : 0;
    }
    if (isTelling) {
        isTelling = isAble && better < enough;
        return isTelling;
    }
    if (!isAble || good >= enough)
        lackingSince.reset();
    else if (!lackingSince)
        lackingSince = now;
    isTelling = lackingSince && now - *lackingSince >= standInDelay;
    if (isTelling)
        lackingSince.reset();
    return isTelling;
}

std::optional<mono_time> teller_board::standsInAt() const
{
    if (!lackingSince)
        return std::nullopt;
    return *lackingSince + standInDelay;
}

std::optional<mono_time> teller_board::coveredUntil(const known_kind &known, milliseconds maxAge,
                                                    mono_time now) const
{
    std::optional<mono_time> until;
    for (const auto &entry : tellers) {
        const teller &from = entry.second;
        const auto found = from.kinds.find(known.kind);
        if (found == from.kinds.end() || now - from.heardAt > config::tellerSilence)
            continue;
        const heard_kind &heard = found->second;
        if (heard.version > known.version)
            return std::nullopt;
        // Who still follows the store as it was before it came back from an older copy confirms
        // nothing.
        const bool isPast = heard.version.epoch < known.version.epoch;
        // Confirmed later, and yet at an older revision: the store has begun to count anew, or the
        // two ask different ones. Believed, this instance would wait for news that never come.
        const bool isContradiction = heard.version < known.version
                && heard.confirmedAt > known.confirmedAt + config::tellerMemory;
        if (!heard.isAnswered || isPast || isContradiction)
            continue;
        const mono_time end =
                std::min(heard.confirmedAt + maxAge, from.heardAt + config::tellerSilence);
        if (end > now)
            until = std::max(until.value_or(end), end);
    }
    return until;
}

} // namespace poplarspool::peer
