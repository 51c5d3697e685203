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

/// Hybrid logical clock: wall time in milliseconds, and a count that orders events within one and
/// keeps an effect after its cause where wall clocks disagree.
struct hybrid_time
{
    std::int64_t wallMs = 0;
    std::uint32_t count = 0;

    // The check takes the 0 in a rewritten comparison for a null pointer.
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

/// What to take out of a ring; empty members take all.
struct event_filter
{
    std::string kind;
    std::string request;
    std::string runner;
};

/// @returns One line: `at=… instance=… event=… key=value …`; values with blanks are quoted.
std::string lineOf(const event &entry);

bool matches(const event &entry, const event_filter &filter);

/// Log and time line of one process: every event is one log line and one entry of a bounded ring.
/// All members may be called from any thread.
class journal
{
public:
    /// @param ringSize Events kept; the oldest is dropped first.
    journal(instance_id self, clock_source clock, std::size_t ringSize);
    ~journal();

    /// Writes one event. Kinds and keys are snake_case words; usual keys are request, runner,
    /// peer, workspace, verdict, code, version.
    hybrid_time emit(std::string_view kind, std::vector<event_field> fields = {});

    /// Writes one event as the process ends: past the ring, and without a lock, which the calling
    /// thread may hold already.
    void emitLast(std::string_view kind, std::vector<event_field> fields) const;

    /// Takes note of a time that came with a message, so that what follows it sorts after it.
    void observe(hybrid_time remote);

    /// @returns The time of now, for a message that leaves.
    hybrid_time stamp();

    /// @returns The ring's matching events, oldest first.
    std::vector<event> events(const event_filter &filter) const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

enum class log_stream { Output, Error };

/// Sets up log4cxx for the process: one key=value line per event.
/// @param level "debug", "info", "warn", "error" or "off".
void setUpLog(std::string_view level, log_stream stream);

} // namespace poplarspool
