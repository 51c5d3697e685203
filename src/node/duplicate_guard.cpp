#include "node/duplicate_guard.h"

#include "poplarspool/base/hash.h"

#include <algorithm>

namespace poplarspool::node {

namespace {

/// Attempts to supersede undispatched claims before the request is given up.
constexpr int maxSupersedes = 4;

std::uint32_t millisecondsUntil(mono_time deadline, mono_time now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - now).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(left, 0, UINT32_MAX));
}

} // namespace

duplicate_guard::duplicate_guard(instance_id self, claim_book &claims, answer_book &answers,
                                 claim_peers peers, clock_source clock, journal &events)
    : self(std::move(self)), claims(claims), answers(answers), peers(std::move(peers)),
      clock(std::move(clock)), events(events)
{ }

peer::claim_ask duplicate_guard::askFor(const std::string &key, const std::string &bodyHash,
                                        mono_time deadline)
{
    return {key, bodyHash, randomHex128(), self, millisecondsUntil(deadline, clock.mono())};
}

entry_decision duplicate_guard::enter(const std::string &key, const std::string &bodyHash,
                                      mono_time deadline)
{
    peer::claim_ask wanted = askFor(key, bodyHash, deadline);
    answers.onRunning(key, wanted.nonce);
    result<peer::claim_reply> standing = claims.claim(wanted, deadline);
    for (int round = 0; round < maxSupersedes; ++round) {
        if (!succeeded(standing)) {
            // The claim may stand in the store all the same (its answer was lost). Saying that this
            // nonce never will be dispatched lets the caller's next try take the key over.
            answers.onNotDispatched(key, wanted.nonce);
            error failure = errorOf(standing);
            failure.ran = verdict::NotRun;
            return failure;
        }
        if (valueOf(standing).nonce == wanted.nonce)
            return may_dispatch{wanted.nonce};
        answers.onNotDispatched(key, wanted.nonce);
        if (valueOf(standing).bodyHash != bodyHash)
            return notRun(error_code::Conflict,
                          "this idempotency key was used with another request");
        const peer::answer_reply answer = askOwner(key, valueOf(standing), deadline);
        if (answer.state != peer::answer_state::NotDispatched)
            return followStanding(key, valueOf(standing), answer);
        wanted = askFor(key, bodyHash, deadline);
        answers.onRunning(key, wanted.nonce);
        standing = claims.supersede(wanted, valueOf(standing).nonce, deadline);
    }
    answers.onNotDispatched(key, wanted.nonce);
    return notRun(error_code::Conflict, "other tries of this request keep coming first",
                  milliseconds(1000));
}

peer::answer_reply duplicate_guard::askOwner(const std::string &key,
                                             const peer::claim_reply &standing, mono_time deadline)
{
    const peer::answer_ask question{key, standing.nonce, millisecondsUntil(deadline, clock.mono())};
    if (standing.owner == self)
        return answers.find(question);
    return peers.answer(standing.owner, question);
}

entry_decision duplicate_guard::followStanding(const std::string &key,
                                               const peer::claim_reply &standing,
                                               const peer::answer_reply &answer) const
{
    events.emit("duplicate",
                {{"key", key},
                 {"owner", standing.owner.text},
                 {"state", std::to_string(static_cast<int>(answer.state))}});
    switch (answer.state) {
    case peer::answer_state::Done:
        return earlier_answer{{answer.status, answer.headers, answer.body, answer.contentType}};
    case peer::answer_state::Running:
        return mayHaveRun(error_code::TimedOut, "the first try of this request is still running");
    default:
        return mayHaveRun(error_code::Duplicate,
                          "a first try of this request may have run; its answer is gone");
    }
}

} // namespace poplarspool::node
