#include "standin/batch.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace poplarspool::standin {

namespace {

/// 1/100 of the pieces stays free at admission, so that running sequences can grow a little before
/// one of them has to be preempted.
constexpr std::uint32_t admissionReserveDivisor = 100;

bool isDecoding(const sequence &one)
{
    return one.produced > 0 && one.remaining() == 1;
}

} // namespace

bool batch::priority_order::operator()(const sequence_ptr &left, const sequence_ptr &right) const
{
    return std::tie(left->rank, left->arrival) < std::tie(right->rank, right->arrival);
}

batch::batch(batch_options options, kv_cache &cache) : options(options), cache(cache) { }

std::uint32_t batch::piecesFor(std::uint32_t tokens) const
{
    return (tokens + options.pieceTokens - 1) / options.pieceTokens;
}

bool batch::fits(const sequence &candidate) const
{
    return piecesFor(candidate.contextTokens + candidate.outputTokens) <= cache.total();
}

void batch::add(sequence_ptr added)
{
    queue.insert(std::move(added));
}

void batch::remove(const sequence_ptr &removed)
{
    if (removed->isRunning) {
        running.erase(removed);
        releasePieces(*removed);
        removed->isRunning = false;
    } else {
        queue.erase(removed);
    }
}

std::vector<sequence_ptr> batch::clear()
{
    std::vector<sequence_ptr> all(running.begin(), running.end());
    all.insert(all.end(), queue.begin(), queue.end());
    for (const sequence_ptr &one : all)
        remove(one);
    return all;
}

std::uint64_t batch::prefillTokensLeft() const
{
    std::uint64_t tokens = 0;
    for (const sequence_ptr &one : queue)
        tokens += one->knownTokens();
    for (const sequence_ptr &one : running) {
        if (!isDecoding(*one))
            tokens += one->remaining();
    }
    return tokens;
}

bool batch::acquirePieces(sequence &next)
{
    // At least one token must be computed to produce the next one, so the cache never supplies all.
    const std::uint32_t reusable = (next.knownTokens() - 1) / options.pieceTokens;
    next.sharedPieces = cache.acquirePrefix(next.hashes, reusable);
    const std::uint32_t missing = piecesFor(next.knownTokens()) - next.sharedPieces;
    const std::uint32_t reserve = running.empty() ? 0 : cache.total() / admissionReserveDivisor;
    if (cache.available() >= missing + reserve && cache.allocate(missing)) {
        next.privatePieces = missing;
        next.computed = next.sharedPieces * options.pieceTokens;
        return true;
    }
    releasePieces(next);
    return false;
}

void batch::releasePieces(sequence &owner)
{
    for (std::uint32_t i = 0; i < owner.sharedPieces; ++i)
        cache.releaseShared(owner.hashes[i]);
    cache.releasePrivate(owner.privatePieces);
    owner.sharedPieces = 0;
    owner.privatePieces = 0;
    owner.computed = 0;
}

void batch::preempt(const sequence_ptr &victim)
{
    remove(victim);
    queue.insert(victim);
    ++preempted;
}

bool batch::admit(const sequence_ptr &next)
{
    while (running.size() >= options.maxRunning || !acquirePieces(*next)) {
        if (running.empty())
            return false;
        const sequence_ptr lowest = *running.rbegin();
        if (lowest->rank <= next->rank)
            return false;
        preempt(lowest);
    }
    queue.erase(next);
    next->isRunning = true;
    next->hasStarted = true;
    running.insert(next);
    return true;
}

void batch::admitAll()
{
    while (!queue.empty()) {
        const sequence_ptr next = *queue.begin();
        if (!admit(next))
            return;
    }
}

bool batch::grow(const sequence_ptr &grown)
{
    const std::uint32_t needed = piecesFor(grown->knownTokens());
    while (grown->sharedPieces + grown->privatePieces < needed) {
        if (cache.allocate(1)) {
            ++grown->privatePieces;
            continue;
        }
        const sequence_ptr lowest = *running.rbegin();
        preempt(lowest);
        if (lowest == grown)
            return false;
    }
    return true;
}

batch_step batch::plan(const role_rates &rates)
{
    admitAll();
    batch_step step;
    std::uint32_t decoding = 0;
    std::uint32_t prefill = 0;
    const std::vector<sequence_ptr> candidates(running.begin(), running.end());
    for (const sequence_ptr &one : candidates) {
        if (!one->isRunning || !grow(one))
            continue;
        if (isDecoding(*one)) {
            step.work.push_back({one, 1});
            ++decoding;
            continue;
        }
        const std::uint32_t chunk = std::min(one->remaining(), options.chunkTokens - prefill);
        if (chunk > 0)
            step.work.push_back({one, chunk});
        prefill += chunk;
    }
    const std::chrono::duration<double> busy(prefill / (options.prefillRate * rates.prefill)
                                             + decoding / (options.decodeRate * rates.decode));
    step.duration = std::max<std::chrono::nanoseconds>(
            options.minIteration, std::chrono::duration_cast<std::chrono::nanoseconds>(busy));
    return step;
}

void batch::advance(sequence &owner, std::uint32_t tokens)
{
    owner.computed += tokens;
    const std::uint32_t full = owner.computed / options.pieceTokens;
    while (owner.sharedPieces < full && owner.sharedPieces < owner.hashes.size()) {
        cache.publish(owner.hashes[owner.sharedPieces]);
        ++owner.sharedPieces;
        --owner.privatePieces;
    }
}

std::vector<sequence_ptr> batch::finish(const batch_step &step)
{
    std::vector<sequence_ptr> advanced;
    for (const auto &[one, tokens] : step.work) {
        // Cancelled, or preempted by a sequence of higher priority, while the iteration ran.
        if (!one->isRunning)
            continue;
        advance(*one, tokens);
        if (one->remaining() > 0)
            continue;
        ++one->produced;
        advanced.push_back(one);
        if (one->produced == one->outputTokens)
            remove(one);
    }
    return advanced;
}

} // namespace poplarspool::standin
