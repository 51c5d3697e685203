#include "bench/load_call.h"

#include "bench/answer_reader.h"
#include "poplarspool/caller/caller_server.h"

#include <algorithm>
#include <optional>
#include <thread>
#include <variant>

#include <nlohmann/json.hpp>

namespace poplarspool::bench {

namespace {

using nlohmann::json;

constexpr milliseconds initialBackoff{100};
constexpr milliseconds maxBackoff{2000};
/// Added to a call's time limit, so that the instance can still answer that the limit has passed.
constexpr milliseconds verdictGraceTime{1000};

/// Why an attempt was not run.
struct refusal
{
    error failure;
    bool isUnreached = false; ///< No instance could be reached.
};

/// Result of one attempt: the final outcome, or why it was not run.
using attempt_outcome = std::variant<call_outcome, refusal>;

call_outcome ended(call_end end, std::string detail = {})
{
    return call_outcome{end, {}, 0, std::move(detail)};
}

http_headers headersOf(const load_call &call, const caller_identity &identity,
                       milliseconds timeLeft)
{
    http_headers headers = headersOf(identity);
    headers.emplace_back(caller::timeLimitHeader, std::to_string(timeLeft.count()));
    if (!call.workspace.empty())
        headers.emplace_back(caller::workspaceHeader, call.workspace);
    if (!call.idempotencyKey.empty())
        headers.emplace_back(caller::idempotencyHeader, call.idempotencyKey);
    return headers;
}

http_request completionRequest(const load_call &call)
{
    const json body = {{"model", call.model},
                       {"prompt", call.prompt},
                       {"max_tokens", call.maxTokens},
                       {"stream", call.isStreamed}};
    return http_request{"POST", "/v1/completions", {}, body.dump(), "application/json"};
}

/// @returns The path within the service; unique for each call.
std::string uniquePathOf(const load_call &call)
{
    return call.servicePath + "/" + call.prompt;
}

http_request serviceRequest(const load_call &call)
{
    const std::string path = "/v1/services/" + call.service + uniquePathOf(call);
    if (call.idempotencyKey.empty())
        return http_request{"GET", path, {}, {}, {}};
    return http_request{"POST", path, {}, call.prompt, "text/plain"};
}

call_end callEndOf(answer_state state)
{
    switch (state) {
    case answer_state::Whole:
        return call_end::Whole;
    case answer_state::Cut:
        return call_end::Cut;
    case answer_state::Doubled:
        return call_end::Doubled;
    case answer_state::Wrong:
        break;
    }
    return call_end::Wrong;
}

/// Checks the answer of a completion that was not refused.
call_outcome checkCompletion(const load_call &call, const completion_answer &answer)
{
    if (answer.isMalformed)
        return ended(call_end::Wrong, "malformed answer");
    const bool mayStopEarly = answer.finishReason == "stop" && answer.tokens;
    const std::uint32_t tokenCount = mayStopEarly ? *answer.tokens : call.maxTokens;
    const answer_state state = checkAnswer(call.prompt, tokenCount, answer.text);
    if (state == answer_state::Cut || state == answer_state::Whole) {
        if (answer.failure)
            return ended(call_end::Cut, answer.failure->message);
        if (!answer.hasEnd)
            return ended(call_end::Cut, "stream ended without [DONE]");
    }
    return ended(callEndOf(state));
}

/// Checks that the answer of a stand-in service belongs to this call.
call_outcome checkServiceReply(const load_call &call, const http_reply &reply)
{
    const json answer = json::parse(reply.body, nullptr, false);
    if (!answer.is_object())
        return ended(call_end::Wrong, "malformed answer");
    const bool isOwn = answer.value("key", "") == call.idempotencyKey
            && answer.value("path", "").ends_with(uniquePathOf(call));
    return isOwn ? ended(call_end::Whole)
                 : ended(call_end::Wrong, "answer belongs to another call");
}

/// @returns The outcome of an attempt that failed before any part of the answer was received.
attempt_outcome failedAttempt(const error &failure, bool isUnreached)
{
    if (failure.ran == verdict::NotRun)
        return refusal{failure, isUnreached};
    return ended(call_end::MayHaveRun, std::string(nameOf(failure.code)) + ": " + failure.message);
}

attempt_outcome sendStreamed(const load_call &call, const endpoint &to, const http_request &request,
                             http_pool &pool, milliseconds timeLeft, mono_time due)
{
    const clock_source clock = systemClock();
    stream_answer_reader reader(clock);
    std::optional<http_reply> refused;
    const auto onHead = [&](const http_reply &head) {
        if (head.status != 200)
            refused = head;
        return true;
    };
    const auto onPiece = [&](std::string_view piece) {
        if (!refused)
            return reader.feed(piece);
        refused->body += piece;
        return true;
    };
    const result<http_reply> sent =
            pool.stream(to, request, timeLeft + verdictGraceTime, onHead, onPiece);
    if (succeeded(sent) && refused)
        return failedAttempt(parseFailure(*refused), false);
    const completion_answer &answer = reader.answer();
    if (answer.text.empty() && answer.failure)
        return failedAttempt(*answer.failure, false);
    if (answer.text.empty() && !succeeded(sent))
        return failedAttempt(errorOf(sent), true);
    call_outcome outcome = checkCompletion(call, answer);
    outcome.firstByte = answer.firstTextAt - due;
    return outcome;
}

attempt_outcome sendPlain(const load_call &call, const endpoint &to, const http_request &request,
                          http_pool &pool, milliseconds timeLeft, mono_time due)
{
    const clock_source clock = systemClock();
    const result<http_reply> sent = pool.send(to, request, timeLeft + verdictGraceTime);
    if (!succeeded(sent))
        return failedAttempt(errorOf(sent), true);
    const http_reply &reply = valueOf(sent);
    if (reply.status != 200)
        return failedAttempt(parseFailure(reply), false);
    call_outcome outcome = call.model.empty() ? checkServiceReply(call, reply)
                                              : checkCompletion(call, parseAnswer(reply, clock));
    outcome.firstByte = clock.mono() - due;
    return outcome;
}

attempt_outcome sendAttempt(const load_call &call, const caller_identity &identity,
                            const endpoint &to, http_pool &pool, milliseconds timeLeft,
                            mono_time due)
{
    http_request request = call.model.empty() ? serviceRequest(call) : completionRequest(call);
    request.headers = headersOf(call, identity, timeLeft);
    if (call.isStreamed)
        return sendStreamed(call, to, request, pool, timeLeft, due);
    return sendPlain(call, to, request, pool, timeLeft, due);
}

/// @returns Whether another attempt may succeed; other refusals are final.
bool isRetryable(const error &failure)
{
    return failure.retryAfter || failure.code == error_code::Unavailable
            || failure.code == error_code::Overloaded || failure.code == error_code::Throttled;
}

/// Tries each address once, best first. Moves on to the next one only if the connection could not
/// be made.
attempt_outcome tryAddresses(const load_call &call, const caller_identity &identity,
                             address_cache &addressCache, http_pool &pool, mono_time deadline,
                             mono_time due)
{
    const clock_source clock = systemClock();
    attempt_outcome outcome =
            refusal{notRun(error_code::Unavailable, "no address could be reached"), true};
    for (const endpoint &to : addressCache.addresses()) {
        const auto timeLeft = std::chrono::duration_cast<milliseconds>(deadline - clock.mono());
        if (timeLeft <= milliseconds(0))
            break;
        outcome = sendAttempt(call, identity, to, pool, timeLeft, due);
        const auto *refused = std::get_if<refusal>(&outcome);
        if (refused == nullptr || !refused->isUnreached)
            return outcome;
    }
    return outcome;
}

} // namespace

call_outcome performCall(const load_call &call, const caller_identity &identity,
                         address_cache &addressCache, http_pool &pool, mono_time due)
{
    const clock_source clock = systemClock();
    const mono_time deadline = clock.mono() + call.timeLimit;
    milliseconds backoff = initialBackoff;
    std::uint32_t notRunAnswers = 0;
    for (;;) {
        attempt_outcome outcome = tryAddresses(call, identity, addressCache, pool, deadline, due);
        if (auto *finalOutcome = std::get_if<call_outcome>(&outcome)) {
            finalOutcome->notRunAnswers = notRunAnswers;
            return *finalOutcome;
        }
        ++notRunAnswers;
        const error &failure = std::get<refusal>(outcome).failure;
        const milliseconds pause = failure.retryAfter.value_or(backoff);
        if (!isRetryable(failure) || clock.mono() + pause >= deadline) {
            return call_outcome{call_end::Refused,
                                {},
                                notRunAnswers,
                                std::string(nameOf(failure.code)) + ": " + failure.message};
        }
        std::this_thread::sleep_for(pause);
        backoff = std::min(backoff * 2, maxBackoff);
    }
}

} // namespace poplarspool::bench
