#include "faults/caller.h"

#include "bench/answer_reader.h"
#include "poplarspool/caller/caller_server.h"

#include <thread>

#include <nlohmann/json.hpp>

namespace poplarspool::faults {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
/// Beyond the time limit, for the verdict that it has passed.
constexpr milliseconds verdictTime{2000};
constexpr milliseconds pauseAfterRefusal{200};

http_request requestOf(const wanted_call &call)
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

call_record failedWith(const wanted_call &call, const error &failure, const std::string &request)
{
    call_record record{call.key, call_end::MayHaveRun, {}, false, "", ""};
    record.detail = std::string(nameOf(failure.code)) + ": " + failure.message;
    if (failure.ran != verdict::NotRun)
        return record;
    record.end = call_end::NotRun;
    // Without an id no instance was reached.
    if (!request.empty())
        record.notRunRequests.push_back(request);
    return record;
}

call_record judge(const wanted_call &call, const bench::completion_answer &answer)
{
    call_record record{call.key, call_end::Wrong, {}, false, "", ""};
    const auto state = bench::checkAnswer(call.prompt, call.tokens, answer.text);
    if (answer.isMalformed || state == bench::answer_state::Wrong)
        return record;
    if (state == bench::answer_state::Doubled) {
        record.end = call_end::Doubled;
    } else if (!answer.hasEnd) {
        record.end = call_end::MayHaveRun;
        record.hasBrokenOff = true;
        record.detail = answer.failure ? answer.failure->message : "broken off";
    } else {
        const bool isWhole = state == bench::answer_state::Whole && !answer.failure;
        record.end = isWhole ? call_end::Whole : call_end::Cut;
    }
    return record;
}

call_record tryCompletion(const wanted_call &call, const endpoint &to, http_pool &pool)
{
    const clock_source clock = systemClock();
    bench::stream_answer_reader reader(clock);
    http_reply head;
    const auto sent = pool.stream(
            to, requestOf(call), call.timeLimit + verdictTime,
            [&](const http_reply &begun) {
                head = begun;
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
        return failedWith(call, errorOf(sent), request);
    if (head.status != statusOk)
        return failedWith(call, bench::failureIn(head), request);
    const bench::completion_answer &answer = reader.answer();
    if (answer.text.empty() && answer.failure)
        return failedWith(call, *answer.failure, request);
    return judge(call, answer);
}

call_record tryService(const wanted_call &call, const endpoint &to, http_pool &pool)
{
    const auto sent = pool.send(to, requestOf(call), call.timeLimit + verdictTime);
    if (!succeeded(sent))
        return failedWith(call, errorOf(sent), "");
    const http_reply &reply = valueOf(sent);
    const std::string request(headerOf(reply.headers, caller::requestIdHeader));
    if (reply.status != statusOk)
        return failedWith(call, bench::failureIn(reply), request);
    const json answer = json::parse(reply.body, nullptr, false);
    const bool isOwn = answer.is_object() && answer.value("key", "") == call.key;
    return {call.key, isOwn ? call_end::Whole : call_end::Wrong, {}, false, "", reply.body};
}

} // namespace

call_record tryCall(const wanted_call &call, const endpoint &to, http_pool &pool)
{
    return call.key.empty() ? tryCompletion(call, to, pool) : tryService(call, to, pool);
}

call_record performCall(const wanted_call &call, const std::vector<endpoint> &addresses,
                        http_pool &pool)
{
    const clock_source clock = systemClock();
    const mono_time deadline = clock.mono() + call.timeLimit;
    std::vector<std::string> notRunRequests;
    for (std::size_t turn = 0;; ++turn) {
        call_record last = tryCall(call, addresses[turn % addresses.size()], pool);
        notRunRequests.insert(notRunRequests.end(), last.notRunRequests.begin(),
                              last.notRunRequests.end());
        last.notRunRequests = notRunRequests;
        if (last.end != call_end::NotRun || clock.mono() >= deadline)
            return last;
        if (turn % addresses.size() + 1 == addresses.size())
            std::this_thread::sleep_for(pauseAfterRefusal);
    }
}

} // namespace poplarspool::faults
