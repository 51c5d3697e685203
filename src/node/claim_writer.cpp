#include "node/claim_writer.h"

#include "poplarspool/base/limits.h"
#include "poplarspool/node/limits.h"

#include <algorithm>

namespace poplarspool::node {

namespace {

peer::claim_reply replyOf(const stored_claim &claim)
{
    return {claim.bodyHash, claim.nonce, claim.owner};
}

error refusalOf(error cause)
{
    cause.ran = verdict::NotRun;
    cause.message = "claim not granted: " + cause.message;
    if (!cause.retryAfter)
        cause.retryAfter = config::claimRetryAfter;
    return cause;
}

error outOfTime()
{
    return notRun(error_code::TimedOut, "the store did not answer within the time limit");
}

/// Whether the store's client only limits its call rate, or backs off briefly after one failed
/// call. A longer back-off means that the store is down; callers then get the failure without
/// waiting.
bool isShortBackoff(const error &fault)
{
    const bool isBackoff =
            fault.code == error_code::Throttled || fault.code == error_code::Unavailable;
    return isBackoff && fault.ran == verdict::NotRun && fault.retryAfter
            && *fault.retryAfter <= config::maxClaimStoreWait;
}

std::vector<claim_outcome> allFailed(std::size_t count, const error &cause)
{
    return std::vector<claim_outcome>(count, refusalOf(cause));
}

} // namespace

claim_writer::claim_writer(std::string objectKey, platform::object_store &store,
                           std::function<milliseconds()> retentionTime, clock_source clock,
                           metrics_registry &metrics, journal &events)
    : objectKey(std::move(objectKey)), store(store), retentionTime(std::move(retentionTime)),
      clock(std::move(clock)), events(events),
      writes(metrics.counterOf("poplarspool_claim_writes_total")),
      conflicts(metrics.counterOf("poplarspool_claim_conflicts_total")),
      undecided(metrics.counterOf("poplarspool_claim_writes_undecided_total")),
      objectBytes(
              metrics.gaugeOf("poplarspool_claim_object_bytes{object=\"" + this->objectKey + "\"}"))
{ }

std::vector<claim_outcome> claim_writer::write(const std::vector<pending_claim> &claims,
                                               mono_time deadline, const backoff_function &pause)
{
    while (clock.mono() < deadline) {
        std::vector<claim_outcome> outcomes;
        std::optional<error> fault = read();
        if (!fault) {
            prune();
            outcomes = apply(claims);
            if (changes.empty())
                return outcomes;
            fault = writeChanges(deadline);
            if (!fault)
                return outcomes;
        }
        if (fault->code == error_code::Conflict)
            continue;
        const bool isWorthWaiting = isShortBackoff(*fault)
                && clock.mono() + *fault->retryAfter < deadline && pause(*fault->retryAfter);
        if (isWorthWaiting) {
            revertChanges();
            continue;
        }
        if (outcomes.empty())
            return allFailed(claims.size(), *fault);
        outcomes = outcomesAfterFailedWrite(claims, std::move(outcomes), *fault);
        revertChanges();
        return outcomes;
    }
    return allFailed(claims.size(), outOfTime());
}

std::optional<error> claim_writer::read()
{
    if (isCached)
        return std::nullopt;
    const result<platform::object> found = store.get(objectKey);
    if (!succeeded(found) && errorOf(found).code != error_code::NotFound)
        return errorOf(found);
    segment = {};
    version = platform::mustNotExist;
    if (succeeded(found)) {
        result<claim_segment> parsed = parseClaimSegment(valueOf(found).value);
        // An unreadable object is never overwritten, because it may hold claims in force.
        if (!succeeded(parsed))
            return errorOf(parsed);
        segment = std::move(valueOf(parsed));
        version = valueOf(found).version;
    }
    ages.observe(segment, clock.mono());
    isCached = true;
    return std::nullopt;
}

/// Removes expired claims from the cached segment. They leave the store with the next write; none
/// is made just for them.
void claim_writer::prune()
{
    // A claim must outlive its request, or a duplicate would run alongside the first attempt.
    const milliseconds retention = std::max(retentionTime(), config::maxTimeLimit);
    for (const std::string &name : ages.seenBefore(clock.mono() - retention)) {
        segment.claims.erase(name);
        ages.remove(name);
    }
}

std::vector<claim_outcome> claim_writer::apply(const std::vector<pending_claim> &claims)
{
    changes.clear();
    std::vector<claim_outcome> outcomes;
    outcomes.reserve(claims.size());
    for (const pending_claim &claim : claims)
        outcomes.push_back(applyOne(claim));
    return outcomes;
}

claim_outcome claim_writer::applyOne(const pending_claim &claim)
{
    const peer::claim_request &request = claim.request;
    const stored_claim *existing = findClaim(segment, request.key);
    const bool mayReplace =
            !existing || (claim.supersededNonce && existing->nonce == *claim.supersededNonce);
    if (!mayReplace)
        return replyOf(*existing);
    changes.push_back({request.key, existing ? std::optional(*existing) : std::nullopt});
    stored_claim &stored = segment.claims[request.key];
    stored = {request.bodyHash, request.nonce, request.owner,
              clock.wall().time_since_epoch().count()};
    return replyOf(stored);
}

/// @returns Nothing if the changes are in the store. After Conflict the bucket must be read again;
///          any other failure ends the batch.
std::optional<error> claim_writer::writeChanges(mono_time deadline)
{
    const std::string text = textOf(segment);
    // A full bucket refuses new claims. Dropping existing claims early would let a request that has
    // run be claimed again.
    if (text.size() > config::maxObjectBytes) {
        events.emit("claim_bucket_full", {{"object", objectKey}});
        return notRun(error_code::Overloaded, "its bucket in the store is full");
    }
    writes.add();
    const result<std::uint64_t> written = store.put(objectKey, text, version, deadline);
    if (succeeded(written)) {
        version = valueOf(written);
        objectBytes.set(static_cast<std::int64_t>(text.size()));
        commitChanges();
        return std::nullopt;
    }
    const error &fault = errorOf(written);
    if (fault.code == error_code::Conflict) {
        // Another batcher's write came first. Reading again yields its claims, and also this
        // batch's if this write took effect and its answer was lost.
        conflicts.add();
        events.emit("claim_conflict", {{"object", objectKey}});
        isCached = false;
        changes.clear();
    } else if (fault.ran == verdict::MayHaveRun) {
        undecided.add();
        isCached = false;
    }
    return fault;
}

void claim_writer::commitChanges()
{
    const mono_time now = clock.mono();
    for (const change &done : changes)
        ages.add(done.name, segment.claims[done.name].nonce, now);
    changes.clear();
}

void claim_writer::revertChanges()
{
    while (!changes.empty()) {
        const change &last = changes.back();
        if (last.before)
            segment.claims[last.name] = *last.before;
        else
            segment.claims.erase(last.name);
        changes.pop_back();
    }
}

/// @returns The outcomes after a failed write: only claims that existed before remain decided.
std::vector<claim_outcome>
claim_writer::outcomesAfterFailedWrite(const std::vector<pending_claim> &claims,
                                       std::vector<claim_outcome> outcomes,
                                       const error &failure) const
{
    for (std::size_t i = 0; i < claims.size(); ++i) {
        const auto isOfClaim = [&](const change &one) { return one.name == claims[i].request.key; };
        if (std::any_of(changes.begin(), changes.end(), isOfClaim))
            outcomes[i] = refusalOf(failure);
    }
    return outcomes;
}

void claim_writer::dropCache()
{
    isCached = false;
    segment = {};
    ages.clear();
}

} // namespace poplarspool::node
