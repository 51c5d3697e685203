#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/config.h"

#include <bitset>
#include <cstdint>
#include <unordered_map>

namespace poplarspool::peer {

/// Which counters of one sender's life have been seen: the last few that may still arrive out of
/// order, bit by bit; all older ones count as seen.
class replay_window
{
public:
    /// @returns Whether the counter is new; it is seen from now on.
    bool accept(std::uint64_t counter);

private:
    std::bitset<config::replayWindowSize> seen; ///< Bit i: counter `highest - i`.
    std::uint64_t highest = 0;
};

enum class replay_verdict { Fresh, Seen, OldLife };

/// The windows of all senders. Only the newest life of a sender has one: a frame of an earlier life
/// is as old as a replayed one, and would bring back what that life said.
class replay_guard
{
public:
    replay_verdict check(std::uint64_t sender, incarnation life, std::uint64_t counter,
                         mono_time now);
    std::size_t size() const { return senders.size(); }

private:
    struct sender_state
    {
        incarnation life = 0;
        replay_window window;
        mono_time lastSeen{};
    };

    void makeRoom();

    std::unordered_map<std::uint64_t, sender_state> senders;
};

} // namespace poplarspool::peer
