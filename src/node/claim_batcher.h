#pragma once

#include "node/claim_writer.h"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace poplarspool::node {

/// Batches the claims of one bucket. It has no thread of its own: one of the threads that wait for
/// a claim leads a batch; another one leads the next batch with the claims queued in the meantime.
class claim_batcher
{
public:
    claim_batcher(std::unique_ptr<claim_writer> writer, clock_source clock);

    /// Blocks until the claim is decided, at most until the deadline.
    claim_outcome decide(const pending_claim &claim, mono_time deadline);
    /// Drops the cached claims of the bucket, because another instance is its batcher.
    void dropCache();
    void stop();

private:
    struct queue_entry
    {
        pending_claim claim;
        std::optional<claim_outcome> outcome;
    };
    using queue_entry_ptr = std::shared_ptr<queue_entry>;

    void runBatch(std::unique_lock<std::mutex> &guard, mono_time deadline);
    std::vector<queue_entry_ptr> takeBatch();
    bool pause(milliseconds time);

    const std::unique_ptr<claim_writer> writer; ///< Used only by the current leader.
    const clock_source clock;
    std::mutex lock;
    std::condition_variable changed;
    std::vector<queue_entry_ptr> queue;
    bool hasLeader = false;
    bool mustDropCache = false;
    bool isStopped = false;
};

} // namespace poplarspool::node
