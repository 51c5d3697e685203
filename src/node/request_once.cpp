// Handling of requests that must run at most once: they are claimed before they are dispatched, and
// their answers are kept for duplicates.

#include "node/request_handler.h"

#include "poplarspool/base/bounded_json.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/caller/caller_server.h"

#include <nlohmann/json.hpp>

namespace poplarspool::node {

namespace {

using json = nlohmann::json;

/// Content type of a kept completion; never sent to callers.
constexpr std::string_view keptCompletionType = "application/x-poplarspool-completion";

/// Hex digits of a body's hash in a claim: 128 bits, half the size of the full hash.
constexpr std::size_t hashDigits = 32;

std::string hashOfParts(std::initializer_list<std::string_view> parts)
{
    std::string joined;
    for (const std::string_view part : parts) {
        joined += std::to_string(part.size());
        joined += ':';
        joined += part;
    }
    return sha256Hex(joined).substr(0, hashDigits);
}

http_reply keptCompletion(const std::string &text, const runner::stream_end &end)
{
    const json body = {{"text", text},
                       {"finish_reason", std::string(runner::nameOf(end.reason))},
                       {"prompt_tokens", end.promptTokens},
                       {"output_tokens", end.outputTokens}};
    return {200, {}, body.dump(), std::string(keptCompletionType)};
}

void replay(const http_reply &kept, caller::completion_sink &sink)
{
    const json body = parseJson(kept.body);
    if (body.is_discarded())
        return sink.fail(mayHaveRun(error_code::Duplicate, "the stored answer is unreadable"));
    if (!sink.token(body.at("text").get<std::string>()))
        return;
    sink.finish({body.at("finish_reason").get<std::string>(),
                 body.at("prompt_tokens").get<std::uint32_t>(),
                 body.at("output_tokens").get<std::uint32_t>()});
}

/// Records in the answer_table how a claimed attempt ended. An attempt destroyed without an outcome
/// is recorded as lost: if it stayed "running", its duplicates would wait for an answer that never
/// comes.
class claimed_attempt
{
public:
    claimed_attempt(answer_table &answers, std::string key, std::string nonce)
        : answers(answers), key(std::move(key)), nonce(std::move(nonce))
    { }
    ~claimed_attempt()
    {
        if (!hasEnded)
            answers.onLost(key, nonce);
    }
    claimed_attempt(const claimed_attempt &) = delete;
    claimed_attempt &operator=(const claimed_attempt &) = delete;

    void fail(const error &failure)
    {
        hasEnded = true;
        if (failure.ran == verdict::NotRun)
            answers.onNotDispatched(key, nonce);
        else
            answers.onLost(key, nonce);
    }

    void succeed(const http_reply &reply)
    {
        hasEnded = true;
        answers.onDone(key, nonce, reply);
    }

private:
    answer_table &answers;
    std::string key;
    std::string nonce;
    bool hasEnded = false;
};

} // namespace

void request_handler::completeAtMostOnce(const caller::completion_request &request,
                                         const admitted_request &admission,
                                         caller::completion_sink &sink)
{
    const std::string key =
            claimNameOf(admission.facts.workspace.text, "completion", request.head.idempotencyKey);
    const std::string bodyHash =
            hashOfParts({request.model, request.prompt, std::to_string(request.maxTokens)});
    const claim_decision decision = duplicates.claimOrReplay(key, bodyHash, admission.deadline);
    if (const auto *refusal = std::get_if<error>(&decision))
        return sink.fail(*refusal);
    if (const auto *earlier = std::get_if<earlier_answer>(&decision))
        return replay(earlier->reply, sink);
    claimed_attempt attempt(answers, key, std::get<dispatch_grant>(decision).nonce);
    std::string whole;
    const auto outcome = runCompletion(request, admission, [&](const std::string &text) {
        whole += text;
        // The run continues after its caller has disconnected: the caller's next attempt gets this
        // answer.
        sink.token(text);
        return true;
    });
    if (!succeeded(outcome)) {
        attempt.fail(errorOf(outcome));
        return sink.fail(errorOf(outcome));
    }
    const runner::stream_end &end = valueOf(outcome);
    attempt.succeed(keptCompletion(whole, end));
    sink.finish({std::string(runner::nameOf(end.reason)), end.promptTokens, end.outputTokens});
}

std::optional<error> request_handler::callServiceAtMostOnce(const caller::service_request &call,
                                                            const admitted_request &admission,
                                                            http_sink &sink)
{
    const std::string operation =
            call.service + " " + call.request.method + " " + call.request.path;
    const std::string key =
            claimNameOf(admission.facts.workspace.text, operation, call.head.idempotencyKey);
    const std::string bodyHash = hashOfParts({call.request.contentType, call.request.body});
    const claim_decision decision = duplicates.claimOrReplay(key, bodyHash, admission.deadline);
    if (const auto *refusal = std::get_if<error>(&decision))
        return *refusal;
    if (const auto *earlier = std::get_if<earlier_answer>(&decision)) {
        const http_reply &reply = earlier->reply;
        if (sink.begin(reply.status, reply.headers, reply.contentType) && sink.write(reply.body))
            sink.end();
        return std::nullopt;
    }
    claimed_attempt attempt(answers, key, std::get<dispatch_grant>(decision).nonce);
    http_reply kept;
    std::optional<error> failure = runService(call, admission, sink, &kept);
    if (failure)
        attempt.fail(*failure);
    else
        attempt.succeed(kept);
    return failure;
}

} // namespace poplarspool::node
