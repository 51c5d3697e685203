#include "caller/completion_json.h"
#include "poplarspool/base/bounded_json.h"
#include "poplarspool/base/error_reply.h"

#include "caller/json_text.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/caller/limits.h"

#include <array>
#include <set>

namespace poplarspool::caller {

namespace {

using nlohmann::json;

error memberError(std::string_view member, std::string_view what)
{
    return notRun(error_code::BadRequest,
                  "member " + std::string(member) + ": " + std::string(what));
}

/// A member of the request body that has no effect here but is sent by clients of the usual
/// completions API, and the check of its value.
struct compatibility_member
{
    std::string_view name;
    bool (*isAccepted)(const json &value);
    std::string_view expected;
};

bool isWithin(const json &value, double min, double max)
{
    if (!value.is_number())
        return false;
    const auto number = value.get<double>();
    return number >= min && number <= max;
}

bool hasOnlyIncludeUsage(const json &options)
{
    if (!options.is_object())
        return false;
    for (const auto &[name, value] : options.items()) {
        if (name != "include_usage" || !value.is_boolean())
            return false;
    }
    return true;
}

// Sampling parameters guarantee nothing about the answer, so any valid value is accepted and
// ignored. The other members change the format or extent of the answer. They are accepted only with
// values that match the actual behaviour, since a caller can't tell whether an option was ignored.
constexpr std::array compatibilityMembers{
        compatibility_member{"temperature", [](const json &v) { return isWithin(v, 0, 2); },
                             "a number from 0 to 2"},
        compatibility_member{"top_p", [](const json &v) { return isWithin(v, 0, 1); },
                             "a number from 0 to 1"},
        compatibility_member{"presence_penalty", [](const json &v) { return isWithin(v, -2, 2); },
                             "a number from -2 to 2"},
        compatibility_member{"frequency_penalty", [](const json &v) { return isWithin(v, -2, 2); },
                             "a number from -2 to 2"},
        compatibility_member{"seed", [](const json &v) { return v.is_number_integer(); },
                             "an integer"},
        compatibility_member{"user", [](const json &v) { return v.is_string(); }, "a string"},
        compatibility_member{"n", [](const json &v) { return v == 1; },
                             "1: other counts are not supported"},
        compatibility_member{"best_of", [](const json &v) { return v == 1; },
                             "1: other counts are not supported"},
        compatibility_member{"echo", [](const json &v) { return v == false; },
                             "false: echoes are not supported"},
        compatibility_member{"logprobs", [](const json &) { return false; },
                             "null: log probabilities are not supported"},
        compatibility_member{"stop", [](const json &v) { return v == json::array(); },
                             "null or []: stop sequences are not supported"},
        compatibility_member{"suffix", [](const json &v) { return v == json(""); },
                             "null: insertion is not supported"},
        compatibility_member{"logit_bias", [](const json &v) { return v == json::object(); },
                             "null or {}: biases are not supported"},
        compatibility_member{"stream_options", hasOnlyIncludeUsage,
                             "an object whose only member is include_usage, a boolean"},
};

constexpr std::array supportedMembers{"model", "prompt", "max_tokens", "stream"};

/// @returns The error for a member that is unknown or has an unsupported value, if any.
std::optional<error> checkCompatibilityMember(const std::string &name, const json &value)
{
    for (const compatibility_member &member : compatibilityMembers) {
        if (member.name != name)
            continue;
        if (value.is_null() || member.isAccepted(value))
            return std::nullopt;
        return memberError(name, "expected " + std::string(member.expected));
    }
    return memberError(excerptOf(name), "unknown");
}

bool isSupported(std::string_view name)
{
    return std::find(supportedMembers.begin(), supportedMembers.end(), name)
            != supportedMembers.end();
}

result<std::string> parseText(const json &body, const char *name)
{
    const auto found = body.find(name);
    if (found == body.end())
        return memberError(name, "missing");
    if (!found->is_string())
        return memberError(name, "expected a string");
    auto text = found->get<std::string>();
    if (text.empty())
        return memberError(name, "expected a non-empty string");
    return text;
}

result<std::uint32_t> parseMaxTokens(const json &body)
{
    const json value = body.value("max_tokens", json());
    if (value.is_null())
        return config::defaultOutputTokens;
    const bool isWithinBounds = value.is_number_unsigned() && value.get<std::uint64_t>() >= 1
            && value.get<std::uint64_t>() <= config::maxOutputTokens;
    if (!isWithinBounds) {
        return memberError("max_tokens",
                           "expected an integer from 1 to "
                                   + std::to_string(config::maxOutputTokens));
    }
    return value.get<std::uint32_t>();
}

result<bool> parseStream(const json &body)
{
    const json value = body.value("stream", json());
    if (value.is_null())
        return false;
    if (!value.is_boolean())
        return memberError("stream", "expected true or false");
    return value.get<bool>();
}

/// Parses a JSON object and rejects duplicate members. Parsers differ in which duplicate they use,
/// so that a check in front of this server could see another prompt than the engine does.
result<json> parseObject(std::string_view text)
{
    if (isNestedTooDeep(text))
        return notRun(error_code::BadRequest, "the body is nested too deeply");
    std::set<std::string> names;
    std::optional<std::string> duplicateName;
    const auto onEvent = [&](int depth, json::parse_event_t event, json &parsed) {
        const bool isTopLevelKey = depth == 1 && event == json::parse_event_t::key;
        if (isTopLevelKey && !names.insert(parsed.get<std::string>()).second)
            duplicateName = parsed.get<std::string>();
        return true;
    };
    json body = json::parse(text, onEvent, false);
    if (body.is_discarded())
        return notRun(error_code::BadRequest, "the body is not valid JSON");
    if (!body.is_object())
        return notRun(error_code::BadRequest, "the body is not a JSON object");
    if (duplicateName)
        return memberError(excerptOf(*duplicateName), "given more than once");
    return body;
}

} // namespace

result<completion_body> parseCompletion(std::string_view text)
{
    const result<json> parsed = parseObject(text);
    if (!succeeded(parsed))
        return errorOf(parsed);
    const json &body = valueOf(parsed);
    for (const auto &[name, value] : body.items()) {
        if (isSupported(name))
            continue;
        if (const auto failure = checkCompatibilityMember(name, value))
            return *failure;
    }
    const auto model = parseText(body, "model");
    if (!succeeded(model))
        return errorOf(model);
    if (valueOf(model).size() > config::maxNameBytes)
        return memberError("model",
                           "longer than " + std::to_string(config::maxNameBytes) + " bytes");
    const auto prompt = parseText(body, "prompt");
    if (!succeeded(prompt))
        return errorOf(prompt);
    const auto maxTokens = parseMaxTokens(body);
    if (!succeeded(maxTokens))
        return errorOf(maxTokens);
    const auto isStreamed = parseStream(body);
    if (!succeeded(isStreamed))
        return errorOf(isStreamed);
    return completion_body{valueOf(model), valueOf(prompt), valueOf(maxTokens),
                           valueOf(isStreamed)};
}

buffered_completion::buffered_completion(completion_metadata metadata, http_sink &connection)
    : metadata(std::move(metadata)), connection(connection)
{ }

bool buffered_completion::token(std::string_view piece)
{
    // Bounds the memory that an engine which never ends its answer can use on a small instance.
    isTooLong = isTooLong || text.size() + piece.size() > config::maxCollectedAnswerBytes;
    if (isTooLong)
        return false;
    text.append(piece);
    ++result.tokens;
    return result.tokens % config::callerGoneCheckTokens != 0 || !connection.isGone();
}

void buffered_completion::finish(const completion_summary &end)
{
    if (result.isEnded)
        return;
    const nlohmann::json answer = {
            {"id", "cmpl-" + metadata.request.text},
            {"object", "text_completion"},
            {"created", metadata.createdSeconds},
            {"model", metadata.model},
            {"choices",
             {{{"index", 0},
               {"text", text},
               {"logprobs", nullptr},
               {"finish_reason", end.finishReason}}}},
            {"usage",
             {{"prompt_tokens", end.promptTokens},
              {"completion_tokens", end.outputTokens},
              {"total_tokens", std::uint64_t(end.promptTokens) + end.outputTokens}}},
    };
    reply.status = 200;
    reply.contentType = "application/json";
    reply.body = dumpText(answer);
    result.isEnded = true;
}

void buffered_completion::fail(const error &failure)
{
    if (result.isEnded)
        return;
    // When token() returns false, the handler fails the answer as if the caller had disconnected.
    // The caller is still connected, so it gets the actual cause.
    const error reported = isTooLong
            ? mayHaveRun(error_code::TooLarge,
                         "the answer is too long for a reply without streaming")
            : failure;
    reply = replyOf(reported);
    result.failure = reported;
    result.isEnded = true;
}

bool buffered_completion::isGone() const
{
    return isTooLong || connection.isGone();
}

} // namespace poplarspool::caller
