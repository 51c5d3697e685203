#include "node/claim_batcher.h"

#include "poplarspool/node/limits.h"

#include <algorithm>

namespace poplarspool::node {

namespace {

error stopping()
{
    return notRun(error_code::Unavailable, "claim not granted: this instance is shutting down",
                  config::claimRetryAfter);
}

error tooLate()
{
    return notRun(error_code::TimedOut, "claim not granted within its time limit",
                  config::claimRetryAfter);
}

bool isOutOfTime(const claim_outcome &outcome)
{
    return !succeeded(outcome) && errorOf(outcome).code == error_code::TimedOut;
}

} // namespace

claim_batcher::claim_batcher(std::unique_ptr<claim_writer> writer, clock_source clock)
    : writer(std::move(writer)), clock(std::move(clock))
{ }

claim_outcome claim_batcher::decide(const pending_claim &claim, mono_time deadline)
{
    const auto own = std::make_shared<queue_entry>(queue_entry{claim, std::nullopt});
    std::unique_lock guard(lock);
    queue.push_back(own);
    while (true) {
        const mono_time now = clock.mono();
        // A batch ends at its leader's deadline, which may be earlier than this one. Requesting the
        // claim again with the same nonce is safe: if it was written after all, it is recognized by
        // its nonce.
        if (own->outcome && isOutOfTime(*own->outcome) && now < deadline && !isStopped) {
            own->outcome.reset();
            queue.push_back(own);
        }
        if (own->outcome)
            return *own->outcome;
        if (isStopped || now >= deadline) {
            std::erase(queue, own);
            return isStopped ? stopping() : tooLate();
        }
        if (hasLeader)
            changed.wait_for(guard, deadline - now);
        else
            runBatch(guard, deadline);
    }
}

void claim_batcher::runBatch(std::unique_lock<std::mutex> &guard, mono_time deadline)
{
    hasLeader = true;
    const auto isFull = [this] { return isStopped || queue.size() >= config::maxClaimBatch; };
    changed.wait_for(guard, config::claimBatchTime, isFull);
    const std::vector<queue_entry_ptr> batch = takeBatch();
    std::vector<pending_claim> claims;
    claims.reserve(batch.size());
    for (const queue_entry_ptr &entry : batch)
        claims.push_back(entry->claim);
    guard.unlock();
    const auto outcomes =
            writer->write(claims, deadline, [this](milliseconds time) { return pause(time); });
    guard.lock();
    for (std::size_t i = 0; i < batch.size(); ++i)
        batch[i]->outcome = outcomes[i];
    if (mustDropCache)
        writer->dropCache();
    mustDropCache = false;
    hasLeader = false;
    changed.notify_all();
}

std::vector<claim_batcher::queue_entry_ptr> claim_batcher::takeBatch()
{
    const std::size_t count = std::min(queue.size(), config::maxClaimBatch);
    const auto end = queue.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<queue_entry_ptr> batch(queue.begin(), end);
    queue.erase(queue.begin(), end);
    return batch;
}

bool claim_batcher::pause(milliseconds time)
{
    std::unique_lock guard(lock);
    return !changed.wait_for(guard, time, [this] { return isStopped; });
}

void claim_batcher::dropCache()
{
    const std::lock_guard guard(lock);
    mustDropCache = hasLeader;
    if (!hasLeader)
        writer->dropCache();
}

void claim_batcher::stop()
{
    const std::lock_guard guard(lock);
    isStopped = true;
    changed.notify_all();
}

} // namespace poplarspool::node
