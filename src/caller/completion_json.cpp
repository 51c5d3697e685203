#include "caller/completion_json.h"
#include "poplarspool/base/bounded_json.h"
#include "poplarspool/base/error_reply.h"

#include "caller/json_text.h"
#include "poplarspool/config.h"

#include <array>
#include <set>

namespace poplarspool::caller {

namespace {

using nlohmann::json;

error faultIn(std::string_view member, std::string_view what)
{
    return notRun(error_code::BadRequest,
                  "member " + std::string(member) + ": " + std::string(what));
}

/// Whether a member of the usual client form may have that value.
struct usual_member
{
    std::string_view name;
    bool (*isHarmless)(const json &value);
    std::string_view expected;
};

bool isWithin(const json &value, double lowest, double highest)
{
    if (!value.is_number())
        return false;
    const auto number = value.get<double>();
    return number >= lowest && number <= highest;
}

bool isOnlyUsage(const json &options)
{
    if (!options.is_object())
        return false;
    for (const auto &[name, value] : options.items()) {
        if (name != "include_usage" || !value.is_boolean())
            return false;
    }
    return true;
}

// Sampling hints promise nothing that the answer could break, so any valid value is taken. All
// other members would change the answer's form or extent: they are taken only where they ask for
// what is done anyway, since a caller could not tell an ignored wish from a fulfilled one.
constexpr std::array usualMembers{
        usual_member{"temperature", [](const json &v) { return isWithin(v, 0, 2); },
                     "a number from 0 to 2"},
        usual_member{"top_p", [](const json &v) { return isWithin(v, 0, 1); },
                     "a number from 0 to 1"},
        usual_member{"presence_penalty", [](const json &v) { return isWithin(v, -2, 2); },
                     "a number from -2 to 2"},
        usual_member{"frequency_penalty", [](const json &v) { return isWithin(v, -2, 2); },
                     "a number from -2 to 2"},
        usual_member{"seed", [](const json &v) { return v.is_number_integer(); }, "an integer"},
        usual_member{"user", [](const json &v) { return v.is_string(); }, "a string"},
        usual_member{"n", [](const json &v) { return v == 1; }, "1, the only count supported"},
        usual_member{"best_of", [](const json &v) { return v == 1; },
                     "1, the only count supported"},
        usual_member{"echo", [](const json &v) { return v == false; },
                     "false: echoes are not supported"},
        usual_member{"logprobs", [](const json &) { return false; },
                     "null: log probabilities are not supported"},
        usual_member{"stop", [](const json &v) { return v == json::array(); },
                     "null or []: stop sequences are not supported"},
        usual_member{"suffix", [](const json &v) { return v == json(""); },
                     "null: insertion is not supported"},
        usual_member{"logit_bias", [](const json &v) { return v == json::object(); },
                     "null or {}: biases are not supported"},
        usual_member{"stream_options", isOnlyUsage,
                     "an object with no member but include_usage, a boolean"},
};

constexpr std::array ownMembers{"model", "prompt", "max_tokens", "stream"};

/// @returns The fault of a member that isn't one of ours.
std::optional<error> checkUsual(const std::string &name, const json &value)
{
    for (const usual_member &usual : usualMembers) {
        if (usual.name != name)
            continue;
        if (value.is_null() || usual.isHarmless(value))
            return std::nullopt;
        return faultIn(name, "expected " + std::string(usual.expected));
    }
    return faultIn(excerptOf(name), "unknown");
}

bool isOwn(std::string_view name)
{
    return std::find(ownMembers.begin(), ownMembers.end(), name) != ownMembers.end();
}

result<std::string> parseText(const json &body, const char *name)
{
    const auto found = body.find(name);
    if (found == body.end())
        return faultIn(name, "missing");
    if (!found->is_string())
        return faultIn(name, "expected a string");
    auto text = found->get<std::string>();
    if (text.empty())
        return faultIn(name, "expected a string that is not empty");
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
        return faultIn("max_tokens",
                       "expected an integer from 1 to " + std::to_string(config::maxOutputTokens));
    }
    return value.get<std::uint32_t>();
}

result<bool> parseStream(const json &body)
{
    const json value = body.value("stream", json());
    if (value.is_null())
        return false;
    if (!value.is_boolean())
        return faultIn("stream", "expected true or false");
    return value.get<bool>();
}

/// Parses an object, and refuses one that names a member twice: which of the two counts differs
/// between parsers, so that a caller and a check before us could see another prompt than the
/// engine.
result<json> parseObject(std::string_view text)
{
    if (isNestedTooDeep(text))
        return notRun(error_code::BadRequest, "the body is nested too deep");
    std::set<std::string> names;
    std::optional<std::string> twice;
    const auto look = [&](int depth, json::parse_event_t event, json &parsed) {
        const bool isOuterKey = depth == 1 && event == json::parse_event_t::key;
        if (isOuterKey && !names.insert(parsed.get<std::string>()).second)
            twice = parsed.get<std::string>();
        return true;
    };
    json body = json::parse(text, look, false);
    if (body.is_discarded())
        return notRun(error_code::BadRequest, "the body is not valid JSON");
    if (!body.is_object())
        return notRun(error_code::BadRequest, "the body is not a JSON object");
    if (twice)
        return faultIn(excerptOf(*twice), "given more than once");
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
        if (isOwn(name))
            continue;
        if (const auto fault = checkUsual(name, value))
            return *fault;
    }
    const auto model = parseText(body, "model");
    if (!succeeded(model))
        return errorOf(model);
    if (valueOf(model).size() > config::maxNameBytes)
        return faultIn("model", "longer than " + std::to_string(config::maxNameBytes) + " bytes");
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

gathered_completion::gathered_completion(completion_label label, http_sink &connection)
    : label(std::move(label)), connection(connection)
{ }

bool gathered_completion::token(std::string_view piece)
{
    // An engine that never stops would fill the memory of an instance that has little of it.
    isTooLong = isTooLong || text.size() + piece.size() > config::maxGatheredAnswerBytes;
    if (isTooLong)
        return false;
    text.append(piece);
    ++result.tokens;
    return result.tokens % config::goneLookTokens != 0 || !connection.isGone();
}

void gathered_completion::finish(const completion_end &end)
{
    if (result.isEnded)
        return;
    const nlohmann::json answer = {
            {"id", "cmpl-" + label.request.text},
            {"object", "text_completion"},
            {"created", label.createdSeconds},
            {"model", label.model},
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

void gathered_completion::fail(const error &failure)
{
    if (result.isEnded)
        return;
    // token() made the handler give up, which takes the caller for gone; the caller is still there
    // and must hear the true cause.
    const error told = isTooLong
            ? mayHaveRun(error_code::TooLarge, "the answer is too long to be given in one piece")
            : failure;
    reply = replyOf(told);
    result.failure = told;
    result.isEnded = true;
}

bool gathered_completion::isGone() const
{
    return isTooLong || connection.isGone();
}

} // namespace poplarspool::caller
