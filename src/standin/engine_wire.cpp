#include "standin/engine_wire.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace poplarspool::standin {

using nlohmann::json;

namespace {

constexpr int hexBase = 16;

struct fault_name
{
    fault_mode mode;
    std::string_view name;
};

constexpr std::array<fault_name, 9> faultNames = {{
        {fault_mode::None, "none"},
        {fault_mode::Crash, "crash"},
        {fault_mode::Freeze, "freeze"},
        {fault_mode::Slow, "slow"},
        {fault_mode::Refuse, "refuse"},
        {fault_mode::CutNext, "cut_next"},
        {fault_mode::EndEarly, "end_early"},
        {fault_mode::Crossed, "crossed"},
        {fault_mode::Repeat, "repeat"},
}};

std::string hexOf(std::uint64_t value)
{
    std::array<char, hexBase> digits{};
    const auto [end, fault] =
            std::to_chars(digits.data(), digits.data() + digits.size(), value, hexBase);
    return {digits.data(), end};
}

std::uint64_t fromHex(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, hexBase);
    return value;
}

/// Parses the body as JSON and converts it with `convert`.
/// @returns Nothing if it is not valid JSON, or a field is missing or has the wrong type.
template <class T, class Convert>
std::optional<T> parseWith(std::string_view body, const Convert &convert)
{
    try {
        return convert(json::parse(body));
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

json modelsJson(const std::vector<engine_model> &models)
{
    json list = json::array();
    for (const engine_model &entry : models)
        list.push_back({{"model", entry.model}, {"version", entry.version}});
    return list;
}

json recordJson(const request_record &record)
{
    return {
            {"request", record.request},
            {"attempt", record.attempt},
            {"resumed_from", record.resumedFrom},
            {"produced", record.produced},
            {"began", record.hasStarted},
            {"ended", record.hasEnded},
            {"cut", record.wasCut},
            {"cancelled", record.wasCancelled},
            {"exported", record.wasExported},
    };
}

json orderJson(const order_record &order)
{
    return {
            {"fence", order.fence},
            {"nonce", order.nonce},
            {"role", order.setup.role},
            {"models", modelsJson(order.setup.models)},
            {"stale", order.wasStale},
            {"obeyed", order.wasObeyed},
            {"streams_cut", order.streamsCut},
    };
}

} // namespace

std::optional<stream_spec> parseStreamSpec(std::string_view body)
{
    return parseWith<stream_spec>(body, [](const json &object) {
        stream_spec spec;
        spec.request = object.at("request").get<std::string>();
        spec.attempt = object.at("attempt").get<std::string>();
        spec.model = object.at("model").get<std::string>();
        spec.prompt = object.at("prompt").get<std::string>();
        spec.maxTokens = object.at("max_tokens").get<std::uint32_t>();
        spec.rank = object.value("rank", 0U);
        spec.emitted = object.value("emitted", std::vector<std::string>{});
        spec.kvHandle = object.value("kv_handle", std::string{});
        return spec;
    });
}

std::optional<order_spec> parseOrder(std::string_view body)
{
    auto order = parseWith<order_spec>(body, [](const json &object) {
        order_spec parsed;
        parsed.fence = object.at("fence").get<std::uint64_t>();
        parsed.nonce = object.at("nonce").get<std::string>();
        parsed.setup.role = object.at("role").get<std::string>();
        parsed.setup.models.clear();
        for (const json &entry : object.at("models"))
            parsed.setup.models.push_back({entry.at("model"), entry.at("version")});
        return parsed;
    });
    if (order && !isRole(order->setup.role))
        return std::nullopt;
    return order;
}

std::optional<engine_fault> parseFault(std::string_view body)
{
    const std::string modeName = parseStringField(body, "mode");
    for (const fault_name &entry : faultNames) {
        if (entry.name != modeName)
            continue;
        return parseWith<engine_fault>(body, [&](const json &object) {
            engine_fault fault;
            fault.mode = entry.mode;
            fault.count = std::max(1U, object.value("count", fault.count));
            fault.afterTokens = object.value("after_tokens", fault.afterTokens);
            fault.factor = object.value("factor", fault.factor);
            return fault;
        });
    }
    return std::nullopt;
}

std::string parseStringField(std::string_view body, const char *key)
{
    const auto text = parseWith<std::string>(
            body, [&](const json &object) { return object.at(key).get<std::string>(); });
    return text.value_or(std::string{});
}

std::optional<kv_blob> parseBlob(std::string_view body)
{
    return parseWith<kv_blob>(body, [](const json &object) {
        kv_blob blob;
        blob.tokens = object.at("tokens").get<std::uint32_t>();
        for (const json &hash : object.at("hashes"))
            blob.hashes.push_back(fromHex(hash.get<std::string>()));
        return blob;
    });
}

std::string headLine(const std::string &request, const std::string &attempt)
{
    return json{{"request", request}, {"attempt", attempt}}.dump() + '\n';
}

std::string tokenLine(std::uint32_t index, const std::string &text)
{
    // Formatted by hand because this line is most of the output under load; the tokens of a
    // stand-in need no JSON escapes.
    return "{\"index\":" + std::to_string(index) + ",\"text\":\"" + text + "\"}\n";
}

std::string endLine(std::string_view reason, std::uint32_t promptTokens, std::uint32_t outputTokens)
{
    const json line = {
            {"end", true},
            {"reason", reason},
            {"prompt_tokens", promptTokens},
            {"output_tokens", outputTokens},
    };
    return line.dump() + '\n';
}

http_reply okReply(std::string body)
{
    return {200, {}, std::move(body), "application/json"};
}

http_reply refusalReply(const engine_refusal &refusal)
{
    const json body = {{"code", refusal.code}, {"message", refusal.message}, {"began", false}};
    return {refusal.status, {}, body.dump(), "application/json"};
}

std::string reportText(const engine_report &report)
{
    const json body = {
            {"life", report.incarnation},
            {"sequence", report.sequence},
            {"role", report.setup.role},
            {"changing", report.isChanging},
            {"running", report.running},
            {"queued", report.queued},
            {"kv_pieces_used", report.kvPiecesUsed},
            {"kv_pieces_total", report.kvPiecesTotal},
            {"prefill_tokens_queued", report.prefillTokensQueued},
            {"last_fence", report.lastFence},
            {"models", modelsJson(report.setup.models)},
    };
    return body.dump();
}

std::string eventsText(const cache_event_page &page)
{
    json events = json::array();
    for (const logged_cache_event &entry : page.events) {
        events.push_back({
                {"sequence", entry.sequence},
                {"kind", entry.isStored ? "stored" : "evicted"},
                {"hash", hexOf(entry.hash)},
        });
    }
    return json{{"events", events}, {"next", page.next}, {"gap", page.hasGap}}.dump();
}

std::string blobText(const kv_blob &blob)
{
    json hashes = json::array();
    for (const std::uint64_t hash : blob.hashes)
        hashes.push_back(hexOf(hash));
    return json{{"tokens", blob.tokens}, {"hashes", hashes}}.dump();
}

std::string recordsText(const engine_records &records)
{
    json requests = json::array();
    for (const request_record &record : records.requests)
        requests.push_back(recordJson(record));
    json orders = json::array();
    for (const order_record &order : records.orders)
        orders.push_back(orderJson(order));
    const json body = {
            {"requests", requests},
            {"orders", orders},
            {"started", records.started},
            {"finished", records.finished},
            {"cancelled", records.cancelled},
            {"cut", records.cut},
            {"exported", records.exported},
            {"refused", records.refused},
            {"preempted", records.preempted},
            {"stale_orders_refused", records.staleOrdersRefused},
            {"stale_orders_obeyed", records.staleOrdersObeyed},
            {"orders_during_change", records.ordersDuringChange},
            {"changes", records.changes},
    };
    return body.dump();
}

} // namespace poplarspool::standin
