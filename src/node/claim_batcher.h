#pragma once

#include "node/claim_writer.h"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace poplarspool::node {

/// Gathers the claims of one bucket into batches. It has no thread of its own: of the threads that
/// wait for a claim, one leads a batch, and the next one leads the batch that has gathered in the
/// meantime.
class claim_batcher
{
public:
    claim_batcher(std::unique_ptr<claim_writer> writer, clock_source clock);

    /// Waits until the claim is decided, at most to the deadline.
    claim_outcome decide(const claim_wish &wish, mono_time deadline);
    /// Frees what is known of the bucket, as another instance is its batcher.
    void release();
    void stop();

private:
    struct ticket
    {
        claim_wish wish;
        std::optional<claim_outcome> outcome;
    };
    using ticket_ptr = std::shared_ptr<ticket>;

    void lead(std::unique_lock<std::mutex> &guard, mono_time deadline);
    std::vector<ticket_ptr> takeBatch();
    bool pause(milliseconds time);

    const std::unique_ptr<claim_writer> writer; ///< For the leader alone.
    const clock_source clock;
    std::mutex lock;
    std::condition_variable changed;
    std::vector<ticket_ptr> queue;
    bool hasLeader = false;
    bool mustRelease = false;
    bool isStopped = false;
};

} // namespace poplarspool::node
