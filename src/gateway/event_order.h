#pragma once

#include <cstdint>
#include <optional>

namespace poplarspool::gateway {

/// What is done with an event of a stream.
enum class event_verdict {
    Pass,
    Skip, ///< The caller has it already.
    OutOfOrder, ///< One of the run's ids is wrong: which of its events are missing is unknown.
};

/// The order of the events of one answer, over all runs that write it, by their increasing ids.
class event_order
{
public:
    /// @param lastEventId Last event that the caller has; none: it begins the stream, or the id is
    ///                    not a number.
    /// @param maxTokens Maximum number of tokens of the whole stream; 0: unknown.
    explicit event_order(std::optional<std::uint64_t> lastEventId = {}, std::uint32_t maxTokens = 0)
        : lastId(lastEventId), maxTokens(maxTokens)
    { }

    /// Called before the first event of each run. A run may begin a little too early.
    void beginRun() { hasRunPassed = false; }

    /// @param id Of the next event; none: it has no number and is passed on.
    event_verdict add(const std::optional<std::uint64_t> &id);

    const std::optional<std::uint64_t> &last() const { return lastId; }

    /// @returns Whether another run can go on after the last event. After an id that is too large
    ///          it would have nothing left to write.
    bool canResume() const { return isResumable; }

private:
    std::optional<std::uint64_t> lastId;
    std::uint32_t maxTokens;
    bool hasRunPassed = false;
    bool isResumable = true;
};

} // namespace poplarspool::gateway
