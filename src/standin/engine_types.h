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
    DropState, ///< Forgets everything and comes back as a new life, in the same process.
    Exit, ///< Ends the process.
};

struct engine_model
{
    std::string model;
    std::string version;

    bool operator==(const engine_model &) const = default;
};

/// What an order can set.
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
    std::uint32_t maxQueue = 4096; ///< Beyond it, requests are refused.
    /// Rates of a prefill or decode engine at its own work and at the other, against a mixed one.
    double ownWorkShare = 1.5;
    double otherWorkShare = 0.25;
    engine_setup setup; ///< At the start of each life.
    std::chrono::milliseconds changeTime{3000}; ///< Without service, for an order that changes it.
    std::chrono::milliseconds loadLag{0};
    std::chrono::milliseconds eventDelay{0};
    std::uint32_t eventGapEvery = 0;
    double kvPiecesPerSecond = 20000; ///< Import of KV from another engine.
    double speed = 1.0; ///< Divides every emulated time.
    bool respectsFence = true;
    std::uint64_t lastFence = 0; ///< Known at the start; kept over DropState.
    crash_mode crashInChange = crash_mode::None; ///< At half of the first change.
};

enum class fault_mode {
    None,
    Crash, ///< Drops all state and connections, is away for changeTime, returns as a new life.
    Freeze, ///< Nothing moves, connections stay.
    Slow, ///< Iterations take `factor` times as long.
    Refuse, ///< The next `count` requests are refused truly not begun.
    CutNext, ///< The next `count` streams are cut after `afterTokens` tokens.
    EndEarly, ///< As CutNext, but the transport ends well: only the end event is missing.
    Crossed, ///< The next `count` streams name another attempt.
    Repeat, ///< The next `count` streams repeat their first token.
};

struct engine_fault
{
    fault_mode mode = fault_mode::None;
    std::uint32_t count = 1;
    std::uint32_t afterTokens = 1;
    double factor = 1.0;
};

/// What the engine itself saw of one request.
struct request_record
{
    std::string request;
    std::string attempt;
    std::uint32_t resumedFrom = 0;
    std::uint32_t produced = 0;
    bool hasBegun = false;
    bool hasEnded = false;
    bool wasCut = false;
    bool wasCancelled = false;
    bool wasExported = false;
};

struct order_record
{
    std::uint64_t fence = 0;
    std::string nonce;
    engine_setup wanted;
    bool wasStale = false; ///< Below the highest number seen, or that number with another nonce.
    bool wasObeyed = false;
    std::uint32_t streamsCut = 0;
};

struct engine_records
{
    std::vector<request_record> requests; ///< The latest ones.
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
    std::uint64_t ordersDuringChange = 0; ///< Another order obeyed before the last one was done.
    std::uint64_t changes = 0; ///< Done.
};

struct engine_report
{
    std::uint64_t life = 0;
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
