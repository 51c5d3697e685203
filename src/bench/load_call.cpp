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

constexpr milliseconds firstBackoff{100};
constexpr milliseconds maxBackoff{2000};
/// What the caller waits beyond its time limit for the verdict that the limit has passed.
constexpr milliseconds verdictTime{1000};

/// Why a try was not run.
struct refusal
{
    error failure;
    bool isUnreached = false; ///< No instance was there to refuse it.
};

/// One try: how the call ended, or why it was not run.
using try_outcome = std::variant<call_outcome, refusal>;

call_outcome ended(call_end end, std::string detail = {})
{
    return call_outcome{end, {}, 0, std::move(detail)};
}

http_headers headersOf(const load_call &call, const caller_identity &who, milliseconds timeLeft)
{
    http_headers headers = headersOf(who);
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

/// @returns The service's own path of this call and of no other.
std::string ownPathOf(const load_call &call)
{
    return call.servicePath + "/" + call.prompt;
}

http_request serviceRequest(const load_call &call)
{
    const std::string path = "/v1/services/" + call.service + ownPathOf(call);
    if (call.idempotencyKey.empty())
        return http_request{"GET", path, {}, {}, {}};
    return http_request{"POST", path, {}, call.prompt, "text/plain"};
}

call_end endOf(answer_state state)
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

/// @returns What a completion's answer is worth that was not refused.
call_outcome judge(const load_call &call, const completion_answer &answer)
{
    if (answer.isMalformed)
        return ended(call_end::Wrong, "malformed answer");
    const bool mayStopEarly = answer.finishReason == "stop" && answer.tokens;
    const std::uint32_t wanted = mayStopEarly ? *answer.tokens : call.maxTokens;
    const answer_state state = checkAnswer(call.prompt, wanted, answer.text);
    if (state == answer_state::Cut || state == answer_state::Whole) {
        if (answer.failure)
            return ended(call_end::Cut, answer.failure->message);
        if (!answer.hasEnd)
            return ended(call_end::Cut, "no end");
    }
    return ended(endOf(state));
}

/// @returns Whether a stand-in service's answer is the one to this call and no other's.
call_outcome judgeService(const load_call &call, const http_reply &reply)
{
    const json answer = json::parse(reply.body, nullptr, false);
    if (!answer.is_object())
        return ended(call_end::Wrong, "malformed answer");
    const bool isOwn = answer.value("key", "") == call.idempotencyKey
            && answer.value("path", "").ends_with(ownPathOf(call));
    return isOwn ? ended(call_end::Whole) : ended(call_end::Wrong, "another call's answer");
}

/// @returns What becomes of a call that failed before any of its answer came.
try_outcome failed(const error &failure, bool isUnreached)
{
    if (failure.ran == verdict::NotRun)
        return refusal{failure, isUnreached};
    return ended(call_end::MayHaveRun, std::string(nameOf(failure.code)) + ": " + failure.message);
}

try_outcome tryStreamed(const load_call &call, const endpoint &to, const http_request &request,
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
            pool.stream(to, request, timeLeft + verdictTime, onHead, onPiece);
    if (succeeded(sent) && refused)
        return failed(failureIn(*refused), false);
    const completion_answer &answer = reader.answer();
    if (answer.text.empty() && answer.failure)
        return failed(*answer.failure, false);
    if (answer.text.empty() && !succeeded(sent))
        return failed(errorOf(sent), true);
    call_outcome outcome = judge(call, answer);
    outcome.firstByte = answer.firstTextAt - due;
    return outcome;
}

try_outcome tryPlain(const load_call &call, const endpoint &to, const http_request &request,
                     http_pool &pool, milliseconds timeLeft, mono_time due)
{
    const clock_source clock = systemClock();
    const result<http_reply> sent = pool.send(to, request, timeLeft + verdictTime);
    if (!succeeded(sent))
        return failed(errorOf(sent), true);
    const http_reply &reply = valueOf(sent);
    if (reply.status != 200)
        return failed(failureIn(reply), false);
    call_outcome outcome =
            call.model.empty() ? judgeService(call, reply) : judge(call, answerIn(reply, clock));
    outcome.firstByte = clock.mono() - due;
    return outcome;
}

try_outcome tryOnce(const load_call &call, const caller_identity &who, const endpoint &to,
                    http_pool &pool, milliseconds timeLeft, mono_time due)
{
    http_request request = call.model.empty() ? serviceRequest(call) : completionRequest(call);
    request.headers = headersOf(call, who, timeLeft);
    if (call.isStreamed)
        return tryStreamed(call, to, request, pool, timeLeft, due);
    return tryPlain(call, to, request, pool, timeLeft, due);
}

/// A refusal that another try can't mend is final.
bool isWorthAnotherTry(const error &failure)
{
    return failure.retryAfter || failure.code == error_code::Unavailable
            || failure.code == error_code::Overloaded || failure.code == error_code::Throttled;
}

/// Tries each address once, best first. Only a connection that could not be made goes on to the
/// next one.
try_outcome tryAddresses(const load_call &call, const caller_identity &who, address_book &book,
                         http_pool &pool, mono_time deadline, mono_time due)
{
    const clock_source clock = systemClock();
    try_outcome outcome = refusal{notRun(error_code::Unavailable, "no address answers"), true};
    for (const endpoint &to : book.addresses()) {
        const auto timeLeft = std::chrono::duration_cast<milliseconds>(deadline - clock.mono());
        if (timeLeft <= milliseconds(0))
            break;
        outcome = tryOnce(call, who, to, pool, timeLeft, due);
        const auto *refused = std::get_if<refusal>(&outcome);
        if (refused == nullptr || !refused->isUnreached)
            return outcome;
    }
    return outcome;
}

} // namespace

call_outcome performCall(const load_call &call, const caller_identity &who, address_book &book,
                         http_pool &pool, mono_time due)
{
    const clock_source clock = systemClock();
    const mono_time deadline = clock.mono() + call.timeLimit;
    milliseconds backoff = firstBackoff;
    std::uint32_t notRunAnswers = 0;
    for (;;) {
        try_outcome outcome = tryAddresses(call, who, book, pool, deadline, due);
        if (auto *last = std::get_if<call_outcome>(&outcome)) {
            last->notRunAnswers = notRunAnswers;
            return *last;
        }
        ++notRunAnswers;
        const error &failure = std::get<refusal>(outcome).failure;
        const milliseconds pause = failure.retryAfter.value_or(backoff);
        if (!isWorthAnotherTry(failure) || clock.mono() + pause >= deadline) {
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
