#pragma once

#include "poplarspool/crashes/crash_records.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace poplarspool::crashes {

/// An answer that was complete lately.
struct watched_answer
{
    request_suspects suspects;
    observed_runner target;
    std::uint64_t known = 0; ///< Ends of runners that were known when the request was sent.
    mono_time completedAt{};

    bool operator==(const watched_answer &) const = default;
};

/// Answers of which it is known by now whether their runners have outlived them.
struct settled_answers
{
    std::vector<watched_answer> survived; ///< The runner has outlived it by config::survivalTime.
    std::vector<watched_answer> crashed; ///< It has ended within config::lateCrashTime.
};

/// Keeps complete answers until it is known whether they speak for or against their requests: a
/// short answer may be complete before the runner crashes of it. Thread-safe.
class answer_watch
{
public:
    void add(watched_answer answer);
    /// Takes out the answers that are settled, and those whose runners have ended in between.
    settled_answers settle(mono_time now,
                           const std::function<bool(const watched_answer &)> &hasEnded);

private:
    std::mutex guard;
    std::deque<watched_answer> answers; ///< The oldest first.
};

} // namespace poplarspool::crashes
