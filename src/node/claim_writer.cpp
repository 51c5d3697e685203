#include "node/claim_writer.h"

#include "poplarspool/config.h"

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
        cause.retryAfter = config::claimRetryTime;
    return cause;
}

error outOfTime()
{
    return notRun(error_code::TimedOut, "no answer of the store in time");
}

/// Whether the store's client only keeps to its budget, or to a short back-off after one failed
/// call. A longer one means that the store is down: then callers hear so at once.
bool isShortPause(const error &fault)
{
    const bool isPause =
            fault.code == error_code::Throttled || fault.code == error_code::Unavailable;
    return isPause && fault.ran == verdict::NotRun && fault.retryAfter
            && *fault.retryAfter <= config::claimStorePatience;
}

std::vector<claim_outcome> allFailed(std::size_t count, const error &cause)
{
    return std::vector<claim_outcome>(count, refusalOf(cause));
}

} // namespace

claim_writer::claim_writer(std::string objectKey, platform::object_store &store,
                           std::function<milliseconds()> keepTime, clock_source clock,
                           metrics_registry &metrics, journal &events)
    : objectKey(std::move(objectKey)), store(store), keepTime(std::move(keepTime)),
      clock(std::move(clock)), events(events),
      writes(metrics.counterOf("poplarspool_claim_writes_total")),
      conflicts(metrics.counterOf("poplarspool_claim_conflicts_total")),
      undecided(metrics.counterOf("poplarspool_claim_writes_undecided_total")),
      objectBytes(
              metrics.gaugeOf("poplarspool_claim_object_bytes{object=\"" + this->objectKey + "\"}"))
{ }

std::vector<claim_outcome> claim_writer::write(const std::vector<claim_wish> &wishes,
                                               mono_time deadline, const claim_pause &pause)
{
    while (clock.mono() < deadline) {
        std::vector<claim_outcome> outcomes;
        std::optional<error> fault = read();
        if (!fault) {
            prune();
            outcomes = apply(wishes);
            if (changes.empty())
                return outcomes;
            fault = writeChanges(deadline);
            if (!fault)
                return outcomes;
        }
        if (fault->code == error_code::Conflict)
            continue;
        const bool isWorthWaiting = isShortPause(*fault)
                && clock.mono() + *fault->retryAfter < deadline && pause(*fault->retryAfter);
        if (isWorthWaiting) {
            undoChanges();
            continue;
        }
        if (outcomes.empty())
            return allFailed(wishes.size(), *fault);
        outcomes = withoutWrite(wishes, std::move(outcomes), *fault);
        undoChanges();
        return outcomes;
    }
    return allFailed(wishes.size(), outOfTime());
}

std::optional<error> claim_writer::read()
{
    if (isKnown)
        return std::nullopt;
    const result<platform::object> found = store.get(objectKey);
    if (!succeeded(found) && errorOf(found).code != error_code::NotFound)
        return errorOf(found);
    segment = {};
    version = platform::mustNotExist;
    if (succeeded(found)) {
        result<claim_segment> parsed = parseClaimSegment(valueOf(found).value);
        // Never written over: what can't be read may hold claims that stand.
        if (!succeeded(parsed))
            return errorOf(parsed);
        segment = std::move(valueOf(parsed));
        version = valueOf(found).version;
    }
    ages.observe(segment, clock.mono());
    isKnown = true;
    return std::nullopt;
}

/// What is pruned goes away with the next write, and only then: no write is made for it.
void claim_writer::prune()
{
    // A claim must outlast its request: else a duplicate would run beside the first attempt.
    const milliseconds keep = std::max(keepTime(), config::maxTimeLimit);
    for (const std::string &name : ages.seenBefore(clock.mono() - keep)) {
        segment.claims.erase(name);
        ages.forget(name);
    }
}

std::vector<claim_outcome> claim_writer::apply(const std::vector<claim_wish> &wishes)
{
    changes.clear();
    std::vector<claim_outcome> outcomes;
    outcomes.reserve(wishes.size());
    for (const claim_wish &wish : wishes)
        outcomes.push_back(applyOne(wish));
    return outcomes;
}

claim_outcome claim_writer::applyOne(const claim_wish &wish)
{
    const peer::claim_ask &ask = wish.ask;
    const stored_claim *standing = findClaim(segment, ask.key);
    const bool mayReplace = !standing || (wish.dead && standing->nonce == *wish.dead);
    if (!mayReplace)
        return replyOf(*standing);
    changes.push_back({ask.key, standing ? std::optional(*standing) : std::nullopt});
    stored_claim &claim = segment.claims[ask.key];
    claim = {ask.bodyHash, ask.nonce, ask.owner, clock.wall().time_since_epoch().count()};
    return replyOf(claim);
}

/// @returns Nothing where the changes are in the store. After Conflict the bucket must be read
///          again; after any other failure this batch is over.
std::optional<error> claim_writer::writeChanges(mono_time deadline)
{
    const std::string text = textOf(segment);
    // A full bucket refuses new claims. To drop standing ones early would let a request that has
    // run be claimed again.
    if (text.size() > config::maxObjectBytes) {
        events.emit("claim_bucket_full", {{"object", objectKey}});
        return notRun(error_code::Overloaded, "its bucket is full");
    }
    writes.add();
    const result<std::uint64_t> written = store.put(objectKey, text, version, deadline);
    if (succeeded(written)) {
        version = valueOf(written);
        objectBytes.set(static_cast<std::int64_t>(text.size()));
        keepChanges();
        return std::nullopt;
    }
    const error &fault = errorOf(written);
    if (fault.code == error_code::Conflict) {
        // Another batcher was first. Reading again shows its claims, and ours where this write took
        // effect and its answer was lost.
        conflicts.add();
        events.emit("claim_conflict", {{"object", objectKey}});
        isKnown = false;
        changes.clear();
    } else if (fault.ran == verdict::MayHaveRun) {
        undecided.add();
        isKnown = false;
    }
    return fault;
}

void claim_writer::keepChanges()
{
    const mono_time now = clock.mono();
    for (const change &done : changes)
        ages.add(done.name, segment.claims[done.name].nonce, now);
    changes.clear();
}

void claim_writer::undoChanges()
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

/// @returns The outcomes that hold although the changes were not written: claims that stood before.
std::vector<claim_outcome> claim_writer::withoutWrite(const std::vector<claim_wish> &wishes,
                                                      std::vector<claim_outcome> outcomes,
                                                      const error &failure) const
{
    for (std::size_t i = 0; i < wishes.size(); ++i) {
        const auto isOfWish = [&](const change &one) { return one.name == wishes[i].ask.key; };
        if (std::any_of(changes.begin(), changes.end(), isOfWish))
            outcomes[i] = refusalOf(failure);
    }
    return outcomes;
}

void claim_writer::forgetAll()
{
    isKnown = false;
    segment = {};
    ages.clear();
}

} // namespace poplarspool::node
