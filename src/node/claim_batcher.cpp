#include "node/claim_batcher.h"

#include "poplarspool/config.h"

#include <algorithm>

namespace poplarspool::node {

namespace {

error stopping()
{
    return notRun(error_code::Unavailable, "claim not granted: this instance is shutting down",
                  config::claimRetryTime);
}

error tooLate()
{
    return notRun(error_code::TimedOut, "claim not granted in time", config::claimRetryTime);
}

bool isOutOfTime(const claim_outcome &outcome)
{
    return !succeeded(outcome) && errorOf(outcome).code == error_code::TimedOut;
}

} // namespace

claim_batcher::claim_batcher(std::unique_ptr<claim_writer> writer, clock_source clock)
    : writer(std::move(writer)), clock(std::move(clock))
{ }

claim_outcome claim_batcher::decide(const claim_wish &wish, mono_time deadline)
{
    const auto own = std::make_shared<ticket>(ticket{wish, std::nullopt});
    std::unique_lock guard(lock);
    queue.push_back(own);
    while (true) {
        const mono_time now = clock.mono();
        // A batch ends with its leader's time, which may be shorter than ours. Asking again with
        // the same nonce is safe: a claim that was written all the same is found as ours.
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
            lead(guard, deadline);
    }
}

void claim_batcher::lead(std::unique_lock<std::mutex> &guard, mono_time deadline)
{
    hasLeader = true;
    const auto isFull = [this] { return isStopped || queue.size() >= config::maxClaimBatch; };
    changed.wait_for(guard, config::claimBatchTime, isFull);
    const std::vector<ticket_ptr> batch = takeBatch();
    std::vector<claim_wish> wishes;
    wishes.reserve(batch.size());
    for (const ticket_ptr &entry : batch)
        wishes.push_back(entry->wish);
    guard.unlock();
    const auto outcomes =
            writer->write(wishes, deadline, [this](milliseconds time) { return pause(time); });
    guard.lock();
    for (std::size_t i = 0; i < batch.size(); ++i)
        batch[i]->outcome = outcomes[i];
    if (mustRelease)
        writer->forgetAll();
    mustRelease = false;
    hasLeader = false;
    changed.notify_all();
}

std::vector<claim_batcher::ticket_ptr> claim_batcher::takeBatch()
{
    const std::size_t count = std::min(queue.size(), config::maxClaimBatch);
    const auto end = queue.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<ticket_ptr> batch(queue.begin(), end);
    queue.erase(queue.begin(), end);
    return batch;
}

bool claim_batcher::pause(milliseconds time)
{
    std::unique_lock guard(lock);
    return !changed.wait_for(guard, time, [this] { return isStopped; });
}

void claim_batcher::release()
{
    const std::lock_guard guard(lock);
    mustRelease = hasLeader;
    if (!hasLeader)
        writer->forgetAll();
}

void claim_batcher::stop()
{
    const std::lock_guard guard(lock);
    isStopped = true;
    changed.notify_all();
}

} // namespace poplarspool::node
