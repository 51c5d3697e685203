#pragma once

#include "poplarspool/base/endpoint.h"
#include "standin/batch.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::standin {

enum class crash_mode {
    None,
    DropState, ///< Drops all state and returns as a new incarnation in the same process.
    Exit, ///< Exits the process.
};

struct engine_model
{
    std::string model;
    std::string version;

    bool operator==(const engine_model &) const = default;
};

/// Role and models of an engine, as set by an order.
struct engine_setup
{
    std::string role = "mixed"; ///< "mixed", "prefill" or "decode".
    std::vector<engine_model> models{{"recovery-llm", "1"}};

    bool operator==(const engine_setup &) const = default;
};

inline bool isRole(std::string_view role)
{
    return role == "mixed" || role == "prefill" || role == "decode";
}

struct engine_options
{
    endpoint bind{"127.0.0.1", 0};
    std::uint32_t connections = 4096;
    batch_options batch;
    std::uint32_t maxQueue = 4096; ///< Requests beyond it are refused.
    /// Rates of a prefill or decode engine for its own and for the other kind of work, relative to
    /// a mixed engine.
    double ownWorkShare = 1.5;
    double otherWorkShare = 0.25;
    engine_setup setup; ///< At the start of each incarnation.
    std::chrono::milliseconds changeTime{3000}; ///< Downtime of a change of role or models.
    std::chrono::milliseconds loadLag{0}; ///< Age of load reports.
    std::chrono::milliseconds eventDelay{0}; ///< Delay of cache events.
    std::uint32_t eventGapEvery = 0; ///< Drops every Nth cache event; 0: none.
    double kvPiecesPerSecond = 20000; ///< Rate of KV import from another engine.
    double speed = 1.0; ///< Divides every emulated time.
    bool respectsFence = true;
    std::uint64_t lastFence = 0; ///< Known at the start; survives DropState.
    crash_mode crashInChange = crash_mode::None; ///< Halfway through the first change.
};

enum class fault_mode {
    None,
    Crash, ///< Drops all state and connections; returns after changeTime as a new incarnation.
    Freeze, ///< Makes no progress and keeps its connections open.
    Slow, ///< Iterations take `factor` times as long.
    Refuse, ///< The next `count` requests are refused before they start.
    CutNext, ///< The next `count` streams are cut after `afterTokens` tokens.
    EndEarly, ///< As CutNext, but the HTTP body ends normally: only the end event is missing.
    Crossed, ///< The next `count` streams carry the id of another attempt.
    Repeat, ///< The next `count` streams repeat their first token.
};

struct engine_fault
{
    fault_mode mode = fault_mode::None;
    std::uint32_t count = 1;
    std::uint32_t afterTokens = 1;
    double factor = 1.0;
};

/// The engine's own record of one request.
struct request_record
{
    std::string request;
    std::string attempt;
    std::uint32_t resumedFrom = 0;
    std::uint32_t produced = 0;
    bool hasStarted = false;
    bool hasEnded = false;
    bool wasCut = false;
    bool wasCancelled = false;
    bool wasExported = false;
};

struct order_record
{
    std::uint64_t fence = 0;
    std::string nonce;
    engine_setup setup;
    bool wasStale = false; ///< Below the highest number seen, or that number with another nonce.
    bool wasObeyed = false;
    std::uint32_t streamsCut = 0;
};

struct engine_records
{
    std::vector<request_record> requests; ///< The most recent ones.
    std::vector<order_record> orders;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t cut = 0;
    std::uint64_t exported = 0;
    std::uint64_t refused = 0;
    std::uint64_t preempted = 0;
    std::uint64_t staleOrdersRefused = 0;
    std::uint64_t staleOrdersObeyed = 0;
    std::uint64_t ordersDuringChange = 0; ///< Orders applied before the previous change had ended.
    std::uint64_t changes = 0; ///< Completed changes.
};

struct engine_report
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    engine_setup setup;
    bool isChanging = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t kvPiecesUsed = 0;
    std::uint32_t kvPiecesTotal = 0;
    std::uint64_t prefillTokensQueued = 0;
    std::uint64_t lastFence = 0;
};

} // namespace poplarspool::standin
