#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplarspool {

/// Timestamp of a hybrid logical clock: wall time in milliseconds, and a counter that orders events
/// of the same millisecond and keeps an effect after its cause where wall clocks differ.
struct hybrid_time
{
    std::int64_t wallMs = 0;
    std::uint32_t count = 0;

    // clang-tidy mistakes the 0 in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const hybrid_time &) const = default;
};

struct event_field
{
    std::string key;
    std::string value;

    bool operator==(const event_field &) const = default;
};

struct event
{
    hybrid_time at;
    instance_id instance;
    std::string kind;
    std::vector<event_field> fields;

    bool operator==(const event &) const = default;
};

/// Selects events of a ring buffer. Empty members match all events.
struct event_filter
{
    std::string kind;
    std::string request;
    std::string runner;
};

/// @returns One log line: `at=… instance=… event=… key=value …`. Values with blanks are quoted.
std::string lineOf(const event &entry);

bool matches(const event &entry, const event_filter &filter);

/// Event log of one process: each event is written as one log line and kept in a ring buffer of
/// fixed size. Thread-safe.
class journal
{
public:
    /// @param ringSize Capacity of the ring buffer in events.
    journal(instance_id self, clock_source clock, std::size_t ringSize);
    ~journal();

    /// Logs one event. Kinds and keys are in snake_case; common keys are request, runner, peer,
    /// workspace, verdict, code and version.
    /// @returns The timestamp of the event.
    hybrid_time emit(std::string_view kind, std::vector<event_field> fields = {});

    /// Logs one event while the process terminates. It bypasses the ring buffer and takes no lock,
    /// because the calling thread may already hold it.
    void emitLast(std::string_view kind, std::vector<event_field> fields) const;

    /// Advances the clock to the timestamp of a received message, so that later events are ordered
    /// after it.
    void observe(hybrid_time remote);

    /// @returns The current timestamp, for an outgoing message.
    hybrid_time stamp();

    /// @returns The matching events of the ring buffer, oldest first.
    std::vector<event> events(const event_filter &filter) const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

enum class log_stream { Output, Error };

/// Configures log4cxx for the process: one key=value line per event.
/// @param level "debug", "info", "warn", "error" or "off".
void setUpLog(std::string_view level, log_stream stream);

} // namespace poplarspool
