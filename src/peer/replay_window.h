#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/peer/limits.h"

#include <bitset>
#include <cstdint>
#include <unordered_map>

namespace poplarspool::peer {

/// Sliding window over the counters of one incarnation of a sender. A bit per recent counter
/// allows datagrams to arrive out of order; all counters before the window count as seen.
class replay_window
{
public:
    /// Marks the counter as seen.
    /// @returns Whether it was new.
    bool accept(std::uint64_t counter);

private:
    std::bitset<config::replayWindowSize> seen; ///< Bit i: counter `highest - i`.
    std::uint64_t highest = 0;
};

enum class replay_verdict { Fresh, Seen, OldIncarnation };

/// Replay windows of all senders. Only the newest incarnation of a sender has a window: frames of
/// earlier ones are rejected like replays, since they would restore outdated state.
class replay_guard
{
public:
    replay_verdict check(std::uint64_t sender, incarnation_number senderIncarnation,
                         std::uint64_t counter, mono_time now);
    std::size_t size() const { return senders.size(); }

private:
    struct sender_state
    {
        incarnation_number incarnation = 0;
        replay_window window;
        mono_time lastSeen{};
    };

    void makeRoom();

    std::unordered_map<std::uint64_t, sender_state> senders;
};

} // namespace poplarspool::peer
