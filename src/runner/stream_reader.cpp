#include "runner/stream_reader.h"

namespace poplarspool::runner {

stream_reader::stream_reader(const generate_request &request, const token_receiver &onToken)
    : request(request), onToken(onToken),
      nextIndex(static_cast<std::uint32_t>(request.emitted.size()))
{ }

bool stream_reader::feed(std::string_view piece)
{
    const bool wantsMore =
            lines.feed(piece, [this](std::string_view line) { return handle(line); });
    if (lines.isLineTooLong())
        return fail(error_code::Broken, "engine sent a line longer than the limit");
    return wantsMore;
}

result<stream_end> stream_reader::outcome() const
{
    if (failure)
        return *failure;
    if (end)
        return *end;
    // Without a content length, the stream of a crashed engine closes like a finished one. If that
    // counted as the end, the caller would get a partial answer that looks complete.
    return mayHaveRun(error_code::Broken, "stream closed without an end event");
}

bool stream_reader::fail(error_code code, std::string message)
{
    if (!failure)
        failure = mayHaveRun(code, std::move(message));
    return false;
}

bool stream_reader::handle(std::string_view line)
{
    const auto parsed = parseStreamLine(line);
    if (!parsed)
        return fail(error_code::Broken, "engine sent a malformed line");
    if (end)
        return fail(error_code::Broken, "engine sent data after its end event");
    return std::visit([this](const auto &entry) { return handle(entry); }, *parsed);
}

bool stream_reader::handle(const stream_head &head)
{
    // If an engine or a reused connection mixed up two answers, one caller would get the text of
    // another. So request and attempt must match before the first token is accepted.
    if (hasHead || head.request != request.request.text || head.attempt != request.attempt)
        return fail(error_code::Broken,
                    "stream header is repeated or names another request or attempt");
    hasHead = true;
    return true;
}

bool stream_reader::handle(const stream_token &token)
{
    if (!hasHead)
        return fail(error_code::Broken, "stream has no header line");
    if (token.index != nextIndex)
        return fail(error_code::Broken,
                    "received token " + std::to_string(token.index) + " instead of "
                            + std::to_string(nextIndex));
    if (token.index >= request.maxTokens)
        return fail(error_code::Broken, "engine sent more tokens than requested");
    ++nextIndex;
    if (!onToken(token))
        return fail(error_code::Cancelled, "cancelled by the receiver");
    return true;
}

bool stream_reader::handle(const stream_end &endEvent)
{
    if (!hasHead)
        return fail(error_code::Broken, "stream has no header line");
    if (endEvent.outputTokens != nextIndex)
        return fail(error_code::Broken,
                    "end event counts " + std::to_string(endEvent.outputTokens) + " tokens, "
                            + std::to_string(nextIndex) + " received");
    end = endEvent;
    return true;
}

bool stream_reader::handle(const stream_exported &exported)
{
    if (exported.outputTokens != nextIndex)
        return fail(error_code::Broken,
                    "stream was exported, but not all its tokens were received");
    return fail(error_code::Cancelled, "stream was exported");
}

} // namespace poplarspool::runner
