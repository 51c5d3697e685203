#include "bench/answer_reader.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace poplarspool::bench {

namespace {

using nlohmann::json;

constexpr std::string_view dataField = "data: ";

std::string stringField(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

error parseError(const json &answer)
{
    const json failure = answer.value("error", json::object());
    if (!failure.is_object())
        return mayHaveRun(error_code::Broken, answer.dump());
    error read =
            mayHaveRun(errorCodeOf(stringField(failure, "code")), stringField(failure, "message"));
    if (stringField(failure, "verdict") == nameOf(verdict::NotRun))
        read.ran = verdict::NotRun;
    return read;
}

std::optional<milliseconds> retryAfterOf(const http_reply &reply)
{
    const std::string_view text = headerOf(reply.headers, "Retry-After");
    std::uint32_t seconds = 0;
    const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (fault != std::errc() || text.empty())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

void addUsage(const json &object, completion_answer &into)
{
    const json usage = object.value("usage", json());
    if (usage.is_object() && usage.contains("completion_tokens"))
        into.tokens = usage.value("completion_tokens", 0U);
}

/// Adds the text, finish reason and usage of a stream chunk or of an answer that is not streamed.
void addChoice(const json &object, completion_answer &into, const clock_source &clock)
{
    const json choices = object.value("choices", json());
    if (!choices.is_array() || choices.empty() || !choices.front().is_object()) {
        into.isMalformed = true;
        return;
    }
    const std::string text = stringField(choices.front(), "text");
    if (!text.empty() && into.text.empty())
        into.firstTextAt = clock.mono();
    into.text += text;
    const std::string reason = stringField(choices.front(), "finish_reason");
    if (!reason.empty())
        into.finishReason = reason;
    addUsage(object, into);
}

} // namespace

error parseFailure(const http_reply &reply)
{
    const json answer = json::parse(reply.body, nullptr, false);
    if (!answer.is_object())
        return mayHaveRun(error_code::Broken, "status " + std::to_string(reply.status));
    error failure = parseError(answer);
    failure.retryAfter = retryAfterOf(reply);
    return failure;
}

bool stream_answer_reader::feed(std::string_view piece)
{
    return lines.feed(piece, [this](std::string_view line) { return parseLine(line); });
}

bool stream_answer_reader::parseLine(std::string_view line)
{
    if (!line.starts_with(dataField))
        return true;
    line.remove_prefix(dataField.size());
    // Data after [DONE] is a protocol error, just as a missing [DONE] is.
    if (parsed.hasEnd) {
        parsed.isMalformed = true;
        return false;
    }
    if (line == "[DONE]") {
        parsed.hasEnd = true;
        return true;
    }
    const json chunk = json::parse(line, nullptr, false);
    if (!chunk.is_object()) {
        parsed.isMalformed = true;
        return false;
    }
    if (chunk.contains("error"))
        parsed.failure = parseError(chunk);
    else
        addChoice(chunk, parsed, clock);
    return !parsed.isMalformed;
}

completion_answer parseAnswer(const http_reply &reply, const clock_source &clock)
{
    completion_answer answer;
    const json body = json::parse(reply.body, nullptr, false);
    if (!body.is_object()) {
        answer.isMalformed = true;
        return answer;
    }
    addChoice(body, answer, clock);
    answer.hasEnd = true;
    return answer;
}

} // namespace poplarspool::bench
