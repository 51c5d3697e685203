#include "runner/engine_json.h"

#include "poplarspool/base/bounded_json.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>

namespace poplarspool::runner {

using nlohmann::json;

namespace {

constexpr int hexBase = 16;

/// @returns The object; none if the text is not a JSON object.
std::optional<json> parseObject(std::string_view text)
{
    json value = parseJson(text);
    if (!value.is_object())
        return std::nullopt;
    return value;
}

template <class Number>
std::optional<Number> numberIn(const json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned())
        return std::nullopt;
    const auto value = found->get<std::uint64_t>();
    if (value > std::numeric_limits<Number>::max())
        return std::nullopt;
    return static_cast<Number>(value);
}

std::optional<std::string> textIn(const json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

bool flagIn(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

std::optional<finish_reason> reasonOf(std::string_view name)
{
    for (const finish_reason reason : {finish_reason::Stop, finish_reason::Length}) {
        if (nameOf(reason) == name)
            return reason;
    }
    return std::nullopt;
}

json modelsJson(const std::vector<policy::model_version> &models)
{
    json list = json::array();
    for (const auto &entry : models)
        list.push_back({{"model", entry.model}, {"version", entry.version}});
    return list;
}

std::optional<std::vector<policy::model_version>> modelsIn(const json &object)
{
    std::vector<policy::model_version> models;
    const auto found = object.find("models");
    if (found == object.end())
        return models;
    if (!found->is_array())
        return std::nullopt;
    for (const json &entry : *found) {
        auto model = textIn(entry, "model");
        auto version = textIn(entry, "version");
        if (!model || !version)
            return std::nullopt;
        models.push_back({std::move(*model), std::move(*version)});
    }
    return models;
}

std::optional<stream_line> parseEnd(const json &object)
{
    const auto reason = textIn(object, "reason");
    const auto outputTokens = numberIn<std::uint32_t>(object, "output_tokens");
    if (!reason || !outputTokens)
        return std::nullopt;
    if (*reason == "exported")
        return stream_exported{*outputTokens};
    const auto finish = reasonOf(*reason);
    const auto promptTokens = numberIn<std::uint32_t>(object, "prompt_tokens");
    if (!finish || !promptTokens)
        return std::nullopt;
    return stream_end{*finish, *promptTokens, *outputTokens};
}

/// Hashes are sent as hex text: many JSON parsers round numbers above 2^53.
std::optional<std::uint64_t> hashIn(const json &object, const char *key)
{
    const auto text = textIn(object, key);
    if (!text)
        return std::nullopt;
    std::uint64_t value = 0;
    const char *end = text->data() + text->size();
    const auto [stop, fault] = std::from_chars(text->data(), end, value, hexBase);
    if (fault != std::errc{} || stop != end)
        return std::nullopt;
    return value;
}

std::optional<cache_event> parseCacheEvent(const json &object)
{
    const auto sequence = numberIn<std::uint64_t>(object, "sequence");
    const auto kind = textIn(object, "kind");
    const auto hash = hashIn(object, "hash");
    if (!sequence || !kind || !hash || (*kind != "stored" && *kind != "evicted"))
        return std::nullopt;
    return cache_event{*sequence, *kind == "stored", *hash};
}

error_code codeOfStatus(int status)
{
    switch (status) {
    case 400:
        return error_code::BadRequest;
    case 404:
        return error_code::NotFound;
    case 409:
    case 503:
        return error_code::Unavailable;
    case 413:
        return error_code::TooLarge;
    case 429:
        return error_code::Overloaded;
    default:
        return error_code::Broken;
    }
}

} // namespace

std::string_view nameOf(finish_reason reason)
{
    return reason == finish_reason::Stop ? "stop" : "length";
}

result<std::string> encodeGenerate(const generate_request &request)
{
    const json body = {
            {"request", request.request.text},
            {"attempt", request.attempt},
            {"workspace", request.workspace.text},
            {"model", request.model},
            {"prompt", request.prompt},
            {"max_tokens", request.maxTokens},
            {"rank", request.rank},
            {"time_left_ms", request.timeLeft.count()},
            {"emitted", request.emitted},
            {"kv_handle", request.kvHandle},
    };
    try {
        return body.dump();
    } catch (const json::type_error &) {
        return notRun(error_code::BadRequest, "prompt or names are not valid UTF-8");
    }
}

std::string encodeCancel(const request_id &request, const std::string &attempt)
{
    return json{{"request", request.text}, {"attempt", attempt}}.dump();
}

std::string encodeOrder(const engine_order &order)
{
    const json body = {
            {"fence", order.fence},
            {"nonce", order.nonce},
            {"role", policy::nameOf(order.wanted.role)},
            {"models", modelsJson(order.wanted.models)},
    };
    return body.dump();
}

std::string encodeExport(const request_id &request)
{
    return json{{"request", request.text}}.dump();
}

std::string encodeImport(const std::string &handle)
{
    return json{{"handle", handle}}.dump();
}

std::optional<stream_line> parseStreamLine(std::string_view line)
{
    const auto object = parseObject(line);
    if (!object)
        return std::nullopt;
    if (object->contains("end"))
        return flagIn(*object, "end") ? parseEnd(*object) : std::nullopt;
    if (object->contains("index")) {
        const auto index = numberIn<std::uint32_t>(*object, "index");
        auto text = textIn(*object, "text");
        if (!index || !text)
            return std::nullopt;
        return stream_token{*index, std::move(*text)};
    }
    auto request = textIn(*object, "request");
    auto attempt = textIn(*object, "attempt");
    if (!request || !attempt)
        return std::nullopt;
    return stream_head{std::move(*request), std::move(*attempt)};
}

std::optional<policy::load_report> parseLoad(std::string_view body)
{
    const auto object = parseObject(body);
    if (!object)
        return std::nullopt;
    const auto incarnation = numberIn<std::uint64_t>(*object, "life");
    const auto sequence = numberIn<std::uint64_t>(*object, "sequence");
    auto models = modelsIn(*object);
    if (!incarnation || !sequence || !models)
        return std::nullopt;
    policy::load_report report;
    report.incarnation = *incarnation;
    report.sequence = *sequence;
    if (const auto name = textIn(*object, "role")) {
        const auto role = policy::engineRoleOf(*name);
        if (!role)
            return std::nullopt;
        report.role = *role;
    }
    report.isChanging = flagIn(*object, "changing");
    report.running = numberIn<std::uint32_t>(*object, "running").value_or(0);
    report.queued = numberIn<std::uint32_t>(*object, "queued").value_or(0);
    report.kvPiecesUsed = numberIn<std::uint32_t>(*object, "kv_pieces_used").value_or(0);
    report.kvPiecesTotal = numberIn<std::uint32_t>(*object, "kv_pieces_total").value_or(0);
    report.prefillTokensQueued =
            numberIn<std::uint64_t>(*object, "prefill_tokens_queued").value_or(0);
    report.lastFence = numberIn<std::uint64_t>(*object, "last_fence").value_or(0);
    report.models = std::move(*models);
    return report;
}

std::optional<kv_export> parseExport(std::string_view body)
{
    const auto object = parseObject(body);
    if (!object)
        return std::nullopt;
    auto handle = textIn(*object, "handle");
    const auto tokens = numberIn<std::uint32_t>(*object, "tokens");
    if (!handle || handle->empty() || !tokens)
        return std::nullopt;
    return kv_export{std::move(*handle), *tokens};
}

std::optional<cache_events> parseCacheEvents(std::string_view body, std::uint64_t after)
{
    const auto object = parseObject(body);
    if (!object)
        return std::nullopt;
    const auto next = numberIn<std::uint64_t>(*object, "next");
    const auto list = object->find("events");
    if (!next || list == object->end() || !list->is_array())
        return std::nullopt;
    cache_events parsed;
    parsed.next = *next;
    parsed.hasGap = flagIn(*object, "gap");
    // An engine that reports a gap may have restarted and count from a lower number.
    std::uint64_t last = parsed.hasGap ? 0 : after;
    for (const json &entry : *list) {
        const auto event = parseCacheEvent(entry);
        if (!event)
            return std::nullopt;
        if (event->sequence <= last)
            continue;
        // After a lost "evicted" event, a prefix that the engine no longer holds would stay on
        // record and attract requests in vain. The jump reveals the loss if the engine does not
        // report it.
        if (event->sequence != last + 1)
            parsed.hasGap = true;
        last = event->sequence;
        parsed.events.push_back(*event);
    }
    return parsed;
}

error parseRefusal(int status, std::string_view body)
{
    error refusal = mayHaveRun(codeOfStatus(status), "engine answered " + std::to_string(status));
    const auto object = parseObject(body);
    if (!object)
        return refusal;
    if (const auto message = textIn(*object, "message"))
        refusal.message += ": " + *message;
    if (textIn(*object, "code") == nameOf(error_code::Stale))
        refusal.code = error_code::Stale;
    if (const auto delay = numberIn<std::uint32_t>(*object, "retry_after_ms"))
        refusal.retryAfter = milliseconds(*delay);
    // Without "began" the request may have run: a proxy or a crashing engine may send a bare 503
    // after the request has started.
    const auto began = object->find("began");
    if (began != object->end() && began->is_boolean() && !began->get<bool>())
        refusal.ran = verdict::NotRun;
    return refusal;
}

} // namespace poplarspool::runner
