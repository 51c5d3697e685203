#include "peer/replay_window.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>

namespace poplarspool::peer {

namespace {

constexpr std::size_t maxSenders = 2 * config::maxMembers;

} // namespace

bool replay_window::accept(std::uint64_t counter)
{
    if (counter == 0)
        return false;
    if (counter > highest) {
        const std::uint64_t step = counter - highest;
        if (step >= seen.size())
            seen.reset();
        else
            seen <<= step;
        seen.set(0);
        highest = counter;
        return true;
    }
    const std::uint64_t distance = highest - counter;
    if (distance >= seen.size() || seen.test(distance))
        return false;
    seen.set(distance);
    return true;
}

replay_verdict replay_guard::check(std::uint64_t sender, incarnation_number senderIncarnation,
                                   std::uint64_t counter, mono_time now)
{
    if (!senders.contains(sender))
        makeRoom();
    sender_state &known = senders[sender];
    if (senderIncarnation < known.incarnation)
        return replay_verdict::OldIncarnation;
    if (senderIncarnation > known.incarnation) {
        known.incarnation = senderIncarnation;
        known.window = replay_window{};
    }
    known.lastSeen = now;
    return known.window.accept(counter) ? replay_verdict::Fresh : replay_verdict::Seen;
}

void replay_guard::makeRoom()
{
    if (senders.size() < maxSenders)
        return;
    const auto oldest =
            std::min_element(senders.begin(), senders.end(), [](const auto &a, const auto &b) {
                return a.second.lastSeen < b.second.lastSeen;
            });
    senders.erase(oldest);
}

} // namespace poplarspool::peer
