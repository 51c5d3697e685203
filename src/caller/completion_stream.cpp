#include "caller/completion_stream.h"
#include "poplarspool/base/error_reply.h"

#include "caller/json_text.h"

namespace poplarspool::caller {

namespace {

constexpr std::string_view eventPrefix = "data: ";
constexpr std::string_view eventSuffix = "\n\n";
constexpr std::string_view tokenSuffix = "\",\"logprobs\":null,\"finish_reason\":null}]}\n\n";
constexpr std::string_view doneEvent = "data: [DONE]\n\n";

/// @returns The start of every chunk of one answer, up to its choices.
std::string chunkPrefix(const completion_metadata &metadata)
{
    std::string prefix(eventPrefix);
    prefix += R"({"id":"cmpl-)";
    appendEscaped(prefix, metadata.request.text);
    prefix += R"(","object":"text_completion","created":)";
    prefix += std::to_string(metadata.createdSeconds);
    prefix += R"(,"model":")";
    appendEscaped(prefix, metadata.model);
    prefix += '"';
    return prefix;
}

} // namespace

streamed_completion::streamed_completion(const completion_metadata &metadata, http_sink &connection)
    : connection(connection), tokenPrefix(chunkPrefix(metadata)), endPrefix(tokenPrefix)
{
    tokenPrefix += R"(,"choices":[{"index":0,"text":")";
    endPrefix += R"(,"choices":[{"index":0,"text":"","logprobs":null,"finish_reason":")";
}

bool streamed_completion::ensureStarted()
{
    if (hasStarted)
        return !hasWriteFailed;
    hasStarted = true;
    const http_headers headers{{"Cache-Control", "no-store"}};
    hasWriteFailed = !connection.begin(200, headers, "text/event-stream");
    return !hasWriteFailed;
}

bool streamed_completion::token(std::string_view text)
{
    if (result.isEnded || !ensureStarted())
        return false;
    eventText = tokenPrefix;
    appendEscaped(eventText, text);
    eventText += tokenSuffix;
    hasWriteFailed = !connection.write(eventText);
    if (!hasWriteFailed)
        ++result.tokens;
    return !hasWriteFailed;
}

void streamed_completion::finish(const completion_summary &end)
{
    if (result.isEnded)
        return;
    result.isEnded = true;
    if (!ensureStarted())
        return;
    const std::uint64_t total = std::uint64_t(end.promptTokens) + end.outputTokens;
    eventText = endPrefix;
    appendEscaped(eventText, end.finishReason);
    eventText += R"("}],"usage":{"prompt_tokens":)" + std::to_string(end.promptTokens);
    eventText += R"(,"completion_tokens":)" + std::to_string(end.outputTokens);
    eventText += R"(,"total_tokens":)" + std::to_string(total) + "}}";
    eventText += eventSuffix;
    eventText += doneEvent;
    if (connection.write(eventText))
        connection.end();
}

void streamed_completion::fail(const error &failure)
{
    if (result.isEnded)
        return;
    result.isEnded = true;
    result.failure = failure;
    if (!hasStarted) {
        reply = replyOf(failure);
        return;
    }
    // Sends an error event and no [DONE]. Without the event, a caller that only waits for the end
    // of the reply would take the partial answer for a complete one.
    eventText = eventPrefix;
    eventText += replyOf(failure).body;
    eventText += eventSuffix;
    if (connection.write(eventText))
        connection.end();
}

bool streamed_completion::isGone() const
{
    return hasWriteFailed || connection.isGone();
}

} // namespace poplarspool::caller
