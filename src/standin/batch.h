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
    std::uint32_t maxRunning = 64; ///< Maximum sequences in one iteration.
    std::uint32_t chunkTokens = 512; ///< Maximum prefill tokens in one iteration.
    double prefillRate = 8000; ///< Tokens per second of the whole engine.
    double decodeRate = 1500; ///< Tokens per second of the whole engine.
    std::chrono::microseconds minIteration{8000}; ///< Minimum duration of an iteration.
};

/// Factors by which a role scales the prefill and decode rates.
struct role_rates
{
    double prefill = 1.0;
    double decode = 1.0;
};

/// The generation work of one stream at an engine.
struct sequence
{
    std::uint32_t rank = 0; ///< Priority; lower runs first.
    std::uint64_t arrival = 0;
    std::vector<std::uint64_t> hashes; ///< Prefix hashes of the full pieces of the context.
    std::uint32_t contextTokens = 0; ///< Prompt tokens and tokens emitted earlier.
    std::uint32_t outputTokens = 0; ///< Tokens to generate here.

    std::uint32_t produced = 0;
    std::uint32_t computed = 0; ///< Tokens whose KV is in memory.
    std::uint32_t sharedPieces = 0;
    std::uint32_t privatePieces = 0;
    bool isRunning = false;
    bool hasStarted = false;

    std::uint32_t knownTokens() const { return contextTokens + produced; }
    std::uint32_t remaining() const { return knownTokens() - computed; }
};

using sequence_ptr = std::shared_ptr<sequence>;

/// Tokens of a sequence that are computed in one iteration.
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

/// Continuous batching in discrete iterations: sequences are admitted by priority while KV pieces
/// are free, prefill is chunked, and the sequence of lowest priority is preempted when pieces run
/// out. Has no threads and reads no clock.
class batch
{
public:
    batch(batch_options options, kv_cache &cache);

    /// @returns Whether the sequence fits into the KV memory when it runs alone.
    bool fits(const sequence &candidate) const;
    void add(sequence_ptr added);
    void remove(const sequence_ptr &removed);
    /// Drops all sequences, queued and running.
    /// @returns The dropped sequences.
    std::vector<sequence_ptr> clear();

    bool isEmpty() const { return queue.empty() && running.empty(); }
    std::uint32_t runningCount() const { return static_cast<std::uint32_t>(running.size()); }
    std::uint32_t queuedCount() const { return static_cast<std::uint32_t>(queue.size()); }
    std::uint64_t preemptedCount() const { return preempted; }
    /// @returns Context tokens of queued and running sequences that are not computed yet.
    std::uint64_t prefillTokensLeft() const;

    /// Admits and preempts sequences and plans the next iteration.
    batch_step plan(const role_rates &rates);
    /// Completes an iteration and removes finished sequences from the batch.
    /// @returns The sequences that produced a token in it, including finished ones.
    std::vector<sequence_ptr> finish(const batch_step &step);

private:
    struct priority_order
    {
        bool operator()(const sequence_ptr &left, const sequence_ptr &right) const;
    };
    using ordered_sequences = std::set<sequence_ptr, priority_order>;

    std::uint32_t piecesFor(std::uint32_t tokens) const;
    void admitAll();
    bool admit(const sequence_ptr &next);
    bool acquirePieces(sequence &next);
    void releasePieces(sequence &owner);
    void preempt(const sequence_ptr &victim);
    /// Allocates the pieces that the next token needs, preempting sequences of lowest priority.
    /// @returns False if the sequence itself was preempted.
    bool grow(const sequence_ptr &grown);
    void advance(sequence &owner, std::uint32_t tokens);

    batch_options options;
    kv_cache &cache;
    ordered_sequences queue;
    ordered_sequences running;
    std::uint64_t preempted = 0;
};

} // namespace poplarspool::standin
