#include "faults/caller.h"

#include "bench/answer_reader.h"
#include "poplarspool/caller/caller_server.h"

#include <thread>

#include <nlohmann/json.hpp>

namespace poplarspool::faults {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
/// Added to a call's time limit, so that the instance can still answer that the limit has passed.
constexpr milliseconds verdictMargin{2000};
constexpr milliseconds retryPause{200};

http_request buildRequest(const call_spec &call)
{
    http_request request;
    request.method = "POST";
    request.headers = {
            {std::string(caller::timeLimitHeader), std::to_string(call.timeLimit.count())}};
    if (call.key.empty()) {
        request.path = "/v1/completions";
        request.contentType = "application/json";
        request.body = json{
                {"model", "llm"},
                {"prompt", call.prompt},
                {"max_tokens", call.tokens},
                {"stream",
                 true}}.dump();
        return request;
    }
    request.path = "/v1/services/desk/orders/" + call.key;
    request.contentType = "text/plain";
    request.body = call.key;
    request.headers.emplace_back(caller::idempotencyHeader, call.key);
    return request;
}

call_record recordOfFailure(const call_spec &call, const error &failure, const std::string &request)
{
    call_record record{call.key, call_outcome::MayHaveRun, {}, false, "", ""};
    record.detail = std::string(nameOf(failure.code)) + ": " + failure.message;
    if (failure.ran != verdict::NotRun)
        return record;
    record.outcome = call_outcome::NotRun;
    // Without a request id, no instance was reached.
    if (!request.empty())
        record.notRunRequestIds.push_back(request);
    return record;
}

call_record classifyCompletion(const call_spec &call, const bench::completion_answer &answer)
{
    call_record record{call.key, call_outcome::Wrong, {}, false, "", ""};
    const auto state = bench::checkAnswer(call.prompt, call.tokens, answer.text);
    if (answer.isMalformed || state == bench::answer_state::Wrong)
        return record;
    if (state == bench::answer_state::Doubled) {
        record.outcome = call_outcome::Doubled;
    } else if (!answer.hasEnd) {
        record.outcome = call_outcome::MayHaveRun;
        record.wasInterrupted = true;
        record.detail =
                answer.failure ? answer.failure->message : "the stream ended without an end marker";
    } else {
        const bool isWhole = state == bench::answer_state::Whole && !answer.failure;
        record.outcome = isWhole ? call_outcome::Whole : call_outcome::Cut;
    }
    return record;
}

call_record sendCompletion(const call_spec &call, const endpoint &to, http_pool &pool)
{
    const clock_source clock = systemClock();
    bench::stream_answer_reader reader(clock);
    http_reply head;
    const auto sent = pool.stream(
            to, buildRequest(call), call.timeLimit + verdictMargin,
            [&](const http_reply &received) {
                head = received;
                return true;
            },
            [&](std::string_view piece) {
                if (head.status == statusOk)
                    return reader.feed(piece);
                head.body += piece;
                return true;
            });
    const std::string request(headerOf(head.headers, caller::requestIdHeader));
    if (head.status == 0)
        return recordOfFailure(call, errorOf(sent), request);
    if (head.status != statusOk)
        return recordOfFailure(call, bench::parseFailure(head), request);
    const bench::completion_answer &answer = reader.answer();
    if (answer.text.empty() && answer.failure)
        return recordOfFailure(call, *answer.failure, request);
    return classifyCompletion(call, answer);
}

call_record sendServiceCall(const call_spec &call, const endpoint &to, http_pool &pool)
{
    const auto sent = pool.send(to, buildRequest(call), call.timeLimit + verdictMargin);
    if (!succeeded(sent))
        return recordOfFailure(call, errorOf(sent), "");
    const http_reply &reply = valueOf(sent);
    const std::string request(headerOf(reply.headers, caller::requestIdHeader));
    if (reply.status != statusOk)
        return recordOfFailure(call, bench::parseFailure(reply), request);
    const json answer = json::parse(reply.body, nullptr, false);
    const bool isOwn = answer.is_object() && answer.value("key", "") == call.key;
    return {call.key, isOwn ? call_outcome::Whole : call_outcome::Wrong, {}, false, "", reply.body};
}

} // namespace

call_record sendAttempt(const call_spec &call, const endpoint &to, http_pool &pool)
{
    return call.key.empty() ? sendCompletion(call, to, pool) : sendServiceCall(call, to, pool);
}

call_record callWithRetries(const call_spec &call, const std::vector<endpoint> &addresses,
                            http_pool &pool)
{
    const clock_source clock = systemClock();
    const mono_time deadline = clock.mono() + call.timeLimit;
    std::vector<std::string> notRunRequestIds;
    for (std::size_t attempt = 0;; ++attempt) {
        call_record last = sendAttempt(call, addresses[attempt % addresses.size()], pool);
        notRunRequestIds.insert(notRunRequestIds.end(), last.notRunRequestIds.begin(),
                                last.notRunRequestIds.end());
        last.notRunRequestIds = notRunRequestIds;
        if (last.outcome != call_outcome::NotRun || clock.mono() >= deadline)
            return last;
        if (attempt % addresses.size() + 1 == addresses.size())
            std::this_thread::sleep_for(retryPause);
    }
}

} // namespace poplarspool::faults
