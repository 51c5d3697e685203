#include "poplarspool/node/claims.h"

#include "node/claim_batcher.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/node/limits.h"
#include "poplarspool/operators/config_store.h"

#include <algorithm>
#include <vector>

namespace poplarspool::node {

namespace {

/// Hex digits of a claim's name: 128 bits rule out collisions, accidental or deliberate.
constexpr std::size_t nameDigits = 32;

bool isToken(const std::string &text)
{
    const auto isPrintable = [](char byte) { return byte > ' ' && byte <= '~'; };
    return !text.empty() && text.size() <= config::maxNameBytes
            && std::all_of(text.begin(), text.end(), isPrintable);
}

/// Validates a claim request, which may come from another instance. A malformed claim must not get
/// into the bucket, where it would make the whole bucket unreadable for every instance.
std::optional<error> checkRequest(const peer::claim_request &request)
{
    const bool isSound = isToken(request.key) && isToken(request.bodyHash) && isToken(request.nonce)
            && isToken(request.owner.text);
    if (isSound)
        return std::nullopt;
    return notRun(error_code::BadRequest, "claim not granted: malformed claim request");
}

/// Whether the claim may be decided locally after the batcher failed in this way. Not if the
/// batcher has refused: its bucket is full, or its share of the store's call rate is used up.
bool mayBypassBatcher(const error &fault)
{
    return fault.code != error_code::Overloaded && fault.code != error_code::Throttled
            && fault.code != error_code::BadRequest;
}

std::uint32_t clampedCountOf(milliseconds time)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, UINT32_MAX));
}

} // namespace

struct claim_manager::state
{
    state(const std::string &deployment, platform::object_store &store, claim_peers peers,
          const std::function<milliseconds()> &retentionTime, const clock_source &clock,
          metrics_registry &metrics, journal &events)
        : peers(std::move(peers)), clock(clock), events(events),
          fallbacks(metrics.counterOf("poplarspool_claim_fallbacks_total")),
          decisionTime(metrics.latencyOf("poplarspool_claim_seconds"))
    {
        for (std::uint32_t bucket = 0; bucket < config::claimBuckets; ++bucket) {
            auto writer =
                    std::make_unique<claim_writer>(operators::claimKey(deployment, bucket), store,
                                                   retentionTime, clock, metrics, events);
            batchers.push_back(std::make_unique<claim_batcher>(std::move(writer), clock));
        }
    }

    claim_batcher &batcherOf(const pending_claim &claim)
    {
        return *batchers[bucketOf(claim.request.key)];
    }
    claim_outcome decideLocally(const pending_claim &claim, mono_time deadline);
    claim_outcome requestFromBatcher(const endpoint &batcher, peer::claim_request request,
                                     mono_time deadline);

    claim_peers peers;
    clock_source clock;
    journal &events;
    counter &fallbacks;
    latency_histogram &decisionTime;
    std::vector<std::unique_ptr<claim_batcher>> batchers; ///< One per bucket.
};

claim_outcome claim_manager::state::decideLocally(const pending_claim &claim, mono_time deadline)
{
    if (const auto fault = checkRequest(claim.request))
        return *fault;
    const mono_time begin = clock.mono();
    const mono_time end = std::min(deadline, begin + config::claimTryTimeout);
    claim_outcome outcome = batcherOf(claim).decide(claim, end);
    decisionTime.record(clock.mono() - begin);
    return outcome;
}

claim_outcome claim_manager::state::requestFromBatcher(const endpoint &batcher,
                                                       peer::claim_request request,
                                                       mono_time deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock.mono());
    // At most half of the remaining time, so that a dead or frozen batcher leaves time to decide
    // the claim locally.
    request.timeLeftMs = clampedCountOf(std::min(left / 2, config::claimTryTimeout));
    return peers.requestClaim(batcher, request);
}

claim_manager::claim_manager(const std::string &deployment, platform::object_store &store,
                             claim_peers peers, const std::function<milliseconds()> &retentionTime,
                             const clock_source &clock, metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(deployment, store, std::move(peers), retentionTime, clock,
                                    metrics, events))
{ }

claim_manager::~claim_manager() = default;

result<peer::claim_reply> claim_manager::claim(const peer::claim_request &request,
                                               mono_time deadline)
{
    const pending_claim claim{request, std::nullopt};
    const auto batcher = inner->peers.batcherOf(bucketOf(request.key));
    if (!batcher)
        return inner->decideLocally(claim, deadline);
    claim_outcome outcome = inner->requestFromBatcher(*batcher, request, deadline);
    if (succeeded(outcome))
        return outcome;
    error fault = errorOf(outcome);
    if (mayBypassBatcher(fault)) {
        // The batcher only improves throughput; correctness rests on the conditional write,
        // whichever instance makes it. If the batcher wrote this claim and only its answer was
        // lost, the claim is found by its nonce.
        inner->fallbacks.add();
        inner->events.emit("claim_fallback",
                           {{"peer", textOf(*batcher)}, {"code", std::string(nameOf(fault.code))}});
        outcome = inner->decideLocally(claim, deadline);
        inner->batcherOf(claim).dropCache();
        return outcome;
    }
    fault.ran = verdict::NotRun;
    return fault;
}

result<peer::claim_reply> claim_manager::decide(const peer::claim_request &request,
                                                mono_time deadline)
{
    return inner->decideLocally({request, std::nullopt}, deadline);
}

result<peer::claim_reply> claim_manager::supersede(const peer::claim_request &request,
                                                   const std::string &supersededNonce,
                                                   mono_time deadline)
{
    const pending_claim claim{request, supersededNonce};
    claim_outcome outcome = inner->decideLocally(claim, deadline);
    if (inner->peers.batcherOf(bucketOf(request.key)))
        inner->batcherOf(claim).dropCache();
    return outcome;
}

void claim_manager::stop()
{
    for (const auto &batcher : inner->batchers)
        batcher->stop();
}

std::string claimNameOf(const std::string &workspace, const std::string &operation,
                        const std::string &idempotencyKey)
{
    // Length prefixes keep the parts apart: "a" + "bc" and "ab" + "c" are different claims.
    std::string joined;
    for (const std::string *part : {&workspace, &operation, &idempotencyKey}) {
        joined += std::to_string(part->size());
        joined += ':';
        joined += *part;
    }
    return sha256Hex(joined).substr(0, nameDigits);
}

std::uint32_t bucketOf(const std::string &claimName)
{
    return static_cast<std::uint32_t>(hashOf(claimName) % config::claimBuckets);
}

} // namespace poplarspool::node
