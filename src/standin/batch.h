#pragma once

#include "standin/kv_cache.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace poplarspool::standin {

struct batch_options
{
    std::uint32_t kvPieces = 1000;
    std::uint32_t pieceTokens = 16;
    std::uint32_t maxRunning = 64; ///< Sequences in one iteration.
    std::uint32_t chunkTokens = 512; ///< Prefill tokens in one iteration.
    double prefillRate = 8000; ///< Tokens a second, whole engine.
    double decodeRate = 1500; ///< Tokens a second, whole engine.
    std::chrono::microseconds minIteration{8000}; ///< However little there is to do.
};

/// Share of the rates that a role gets.
struct role_rates
{
    double prefill = 1.0;
    double decode = 1.0;
};

/// One stream's work at an engine.
struct sequence
{
    std::uint32_t rank = 0; ///< Lower goes first.
    std::uint64_t arrival = 0;
    std::vector<std::uint64_t> hashes; ///< Of the full pieces of its context.
    std::uint32_t contextTokens = 0; ///< Prompt and tokens emitted before.
    std::uint32_t wantedTokens = 0; ///< To produce here.

    std::uint32_t produced = 0;
    std::uint32_t computed = 0; ///< Tokens whose KV is held.
    std::uint32_t sharedPieces = 0;
    std::uint32_t privatePieces = 0;
    bool isRunning = false;
    bool hasBegun = false;

    std::uint32_t knownTokens() const { return contextTokens + produced; }
    std::uint32_t remaining() const { return knownTokens() - computed; }
};

using sequence_ptr = std::shared_ptr<sequence>;

/// A sequence's share of one iteration.
struct batch_work
{
    sequence_ptr sequence;
    std::uint32_t tokens = 0;
};

struct batch_step
{
    std::vector<batch_work> work;
    std::chrono::nanoseconds duration{0};
};

/// Continuous batching in discrete iterations: admission by free KV pieces in order of priority,
/// chunked prefill, preemption of the lowest where pieces run out. No threads and no clock.
class batch
{
public:
    batch(batch_options options, kv_cache &cache);

    /// @returns Whether the sequence could ever run here, alone.
    bool fits(const sequence &wanted) const;
    void add(sequence_ptr added);
    void remove(const sequence_ptr &gone);
    /// Drops all sequences, queued and running.
    std::vector<sequence_ptr> clear();

    bool isEmpty() const { return queue.empty() && running.empty(); }
    std::uint32_t runningCount() const { return static_cast<std::uint32_t>(running.size()); }
    std::uint32_t queuedCount() const { return static_cast<std::uint32_t>(queue.size()); }
    std::uint64_t preemptedCount() const { return preempted; }
    /// @returns Tokens of context that still have to be computed, queued and running.
    std::uint64_t prefillTokensLeft() const;

    /// Admits, preempts and shares out the next iteration.
    batch_step plan(const role_rates &rates);
    /// Ends an iteration.
    /// @returns Sequences that produced a token in it; those that are done have left the batch.
    std::vector<sequence_ptr> finish(const batch_step &step);

private:
    struct goes_first
    {
        bool operator()(const sequence_ptr &left, const sequence_ptr &right) const;
    };
    using ordered_sequences = std::set<sequence_ptr, goes_first>;

    std::uint32_t piecesFor(std::uint32_t tokens) const;
    void admitAll();
    bool admit(const sequence_ptr &next);
    bool holdPieces(sequence &next);
    void dropPieces(sequence &owner);
    void preempt(const sequence_ptr &victim);
    /// Gets the piece that the next token needs, at the cost of lower sequences.
    bool grow(const sequence_ptr &grown);
    void advance(sequence &owner, std::uint32_t tokens);

    batch_options options;
    kv_cache &cache;
    ordered_sequences queue;
    ordered_sequences running;
    std::uint64_t preempted = 0;
};

} // namespace poplarspool::standin
