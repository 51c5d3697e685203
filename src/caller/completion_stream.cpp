#include "caller/completion_stream.h"
#include "poplarspool/base/error_reply.h"

#include "caller/json_text.h"

namespace poplarspool::caller {

namespace {

constexpr std::string_view eventHead = "data: ";
constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view afterText = "\",\"logprobs\":null,\"finish_reason\":null}]}\n\n";
constexpr std::string_view lastEvent = "data: [DONE]\n\n";

/// @returns Start of every chunk of one answer, up to its choices.
std::string chunkHead(const completion_label &label)
{
    std::string head(eventHead);
    head += R"({"id":"cmpl-)";
    appendEscaped(head, label.request.text);
    head += R"(","object":"text_completion","created":)";
    head += std::to_string(label.createdSeconds);
    head += R"(,"model":")";
    appendEscaped(head, label.model);
    head += '"';
    return head;
}

} // namespace

streamed_completion::streamed_completion(const completion_label &label, http_sink &connection)
    : connection(connection), framePrefix(chunkHead(label)), endPrefix(framePrefix)
{
    framePrefix += R"(,"choices":[{"index":0,"text":")";
    endPrefix += R"(,"choices":[{"index":0,"text":"","logprobs":null,"finish_reason":")";
}

bool streamed_completion::beginOnce()
{
    if (isBegun)
        return !isLost;
    isBegun = true;
    const http_headers headers{{"Cache-Control", "no-store"}};
    isLost = !connection.begin(200, headers, "text/event-stream");
    return !isLost;
}

bool streamed_completion::token(std::string_view text)
{
    if (result.isEnded || !beginOnce())
        return false;
    frame = framePrefix;
    appendEscaped(frame, text);
    frame += afterText;
    isLost = !connection.write(frame);
    if (!isLost)
        ++result.tokens;
    return !isLost;
}

void streamed_completion::finish(const completion_end &end)
{
    if (result.isEnded)
        return;
    result.isEnded = true;
    if (!beginOnce())
        return;
    const std::uint64_t total = std::uint64_t(end.promptTokens) + end.outputTokens;
    frame = endPrefix;
    appendEscaped(frame, end.finishReason);
    frame += R"("}],"usage":{"prompt_tokens":)" + std::to_string(end.promptTokens);
    frame += R"(,"completion_tokens":)" + std::to_string(end.outputTokens);
    frame += R"(,"total_tokens":)" + std::to_string(total) + "}}";
    frame += eventEnd;
    frame += lastEvent;
    if (connection.write(frame))
        connection.end();
}

void streamed_completion::fail(const error &failure)
{
    if (result.isEnded)
        return;
    result.isEnded = true;
    result.failure = failure;
    if (!isBegun) {
        reply = replyOf(failure);
        return;
    }
    // An event of its own and no [DONE]: a caller that only waited for the end of the reply would
    // take the part that it has for the whole answer.
    frame = eventHead;
    frame += replyOf(failure).body;
    frame += eventEnd;
    if (connection.write(frame))
        connection.end();
}

bool streamed_completion::isGone() const
{
    return isLost || connection.isGone();
}

} // namespace poplarspool::caller
