#include "runner/stream_reader.h"

namespace poplarspool::runner {

stream_reader::stream_reader(const generate_request &request, const token_receiver &onToken)
    : request(request), onToken(onToken),
      nextIndex(static_cast<std::uint32_t>(request.emitted.size()))
{ }

bool stream_reader::feed(std::string_view piece)
{
    const bool goesOn = lines.feed(piece, [this](std::string_view line) { return take(line); });
    if (lines.isLineTooLong())
        return fail(error_code::Broken, "engine sent a line above the limit");
    return goesOn;
}

result<stream_end> stream_reader::outcome() const
{
    if (failure)
        return *failure;
    if (end)
        return *end;
    // A crashed engine's stream closes like a finished one where the transport has no length; taken
    // for an end, the caller would get half an answer that looks whole.
    return mayHaveRun(error_code::Broken, "stream stopped without its end event");
}

bool stream_reader::fail(error_code code, std::string message)
{
    if (!failure)
        failure = mayHaveRun(code, std::move(message));
    return false;
}

bool stream_reader::take(std::string_view line)
{
    const auto parsed = parseStreamLine(line);
    if (!parsed)
        return fail(error_code::Broken, "engine sent a line that can't be read");
    if (end)
        return fail(error_code::Broken, "engine went on after its end event");
    return std::visit([this](const auto &entry) { return take(entry); }, *parsed);
}

bool stream_reader::take(const stream_head &head)
{
    // Two answers crossed in an engine or on a reused connection would give one caller the text of
    // another; both names must match before the first token is taken.
    if (hasHead || head.request != request.request.text || head.attempt != request.attempt)
        return fail(error_code::Broken, "stream belongs to another attempt");
    hasHead = true;
    return true;
}

bool stream_reader::take(const stream_token &token)
{
    if (!hasHead)
        return fail(error_code::Broken, "stream does not say whose it is");
    if (token.index != nextIndex)
        return fail(error_code::Broken,
                    "token " + std::to_string(token.index) + " came instead of "
                            + std::to_string(nextIndex));
    if (token.index >= request.maxTokens)
        return fail(error_code::Broken, "engine sent more tokens than were asked for");
    ++nextIndex;
    if (!onToken(token))
        return fail(error_code::Cancelled, "given up by the receiver");
    return true;
}

bool stream_reader::take(const stream_end &last)
{
    if (!hasHead)
        return fail(error_code::Broken, "stream does not say whose it is");
    if (last.outputTokens != nextIndex)
        return fail(error_code::Broken,
                    "end event counts " + std::to_string(last.outputTokens) + " tokens, "
                            + std::to_string(nextIndex) + " came");
    end = last;
    return true;
}

bool stream_reader::take(const stream_moved &moved)
{
    if (moved.outputTokens != nextIndex)
        return fail(error_code::Broken, "stream was exported with tokens missing");
    return fail(error_code::Cancelled, "stream was exported");
}

} // namespace poplarspool::runner
