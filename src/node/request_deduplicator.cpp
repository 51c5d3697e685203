#include "node/request_deduplicator.h"

#include "poplarspool/base/hash.h"

#include <algorithm>

namespace poplarspool::node {

namespace {

/// Maximum number of claims of undispatched attempts to supersede before the request fails.
constexpr int maxSupersedes = 4;

std::uint32_t millisecondsUntil(mono_time deadline, mono_time now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - now).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(left, 0, UINT32_MAX));
}

} // namespace

request_deduplicator::request_deduplicator(instance_id self, claim_manager &claims,
                                           answer_table &answers, claim_peers peers,
                                           clock_source clock, journal &events)
    : self(std::move(self)), claims(claims), answers(answers), peers(std::move(peers)),
      clock(std::move(clock)), events(events)
{ }

peer::claim_request request_deduplicator::makeClaimRequest(const std::string &key,
                                                           const std::string &bodyHash,
                                                           mono_time deadline)
{
    return {key, bodyHash, randomHex128(), self, millisecondsUntil(deadline, clock.mono())};
}

claim_decision request_deduplicator::claimOrReplay(const std::string &key,
                                                   const std::string &bodyHash, mono_time deadline)
{
    peer::claim_request request = makeClaimRequest(key, bodyHash, deadline);
    answers.onRunning(key, request.nonce);
    result<peer::claim_reply> existing = claims.claim(request, deadline);
    for (int round = 0; round < maxSupersedes; ++round) {
        if (!succeeded(existing)) {
            // The claim may be in the store even so, if only the store's answer was lost. Recording
            // that this nonce is never dispatched lets the caller's next attempt supersede it.
            answers.onNotDispatched(key, request.nonce);
            error failure = errorOf(existing);
            failure.ran = verdict::NotRun;
            return failure;
        }
        if (valueOf(existing).nonce == request.nonce)
            return dispatch_grant{request.nonce};
        answers.onNotDispatched(key, request.nonce);
        if (valueOf(existing).bodyHash != bodyHash)
            return notRun(error_code::Conflict,
                          "this idempotency key was used with a different request");
        const peer::answer_reply answer = queryOwner(key, valueOf(existing), deadline);
        if (answer.state != peer::answer_state::NotDispatched)
            return resultFromExisting(key, valueOf(existing), answer);
        request = makeClaimRequest(key, bodyHash, deadline);
        answers.onRunning(key, request.nonce);
        existing = claims.supersede(request, valueOf(existing).nonce, deadline);
    }
    answers.onNotDispatched(key, request.nonce);
    return notRun(error_code::Conflict,
                  "concurrent attempts of this request keep claiming it first", milliseconds(1000));
}

peer::answer_reply request_deduplicator::queryOwner(const std::string &key,
                                                    const peer::claim_reply &existing,
                                                    mono_time deadline)
{
    const peer::answer_request query{key, existing.nonce,
                                     millisecondsUntil(deadline, clock.mono())};
    if (existing.owner == self)
        return answers.find(query);
    return peers.queryAnswer(existing.owner, query);
}

claim_decision request_deduplicator::resultFromExisting(const std::string &key,
                                                        const peer::claim_reply &existing,
                                                        const peer::answer_reply &answer) const
{
    events.emit("duplicate",
                {{"key", key},
                 {"owner", existing.owner.text},
                 {"state", std::to_string(static_cast<int>(answer.state))}});
    switch (answer.state) {
    case peer::answer_state::Done:
        return earlier_answer{{answer.status, answer.headers, answer.body, answer.contentType}};
    case peer::answer_state::Running:
        return mayHaveRun(error_code::TimedOut,
                          "an earlier attempt of this request is still running");
    default:
        return mayHaveRun(
                error_code::Duplicate,
                "an earlier attempt of this request may have run; its answer is not available");
    }
}

} // namespace poplarspool::node
