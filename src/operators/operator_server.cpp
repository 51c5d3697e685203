#include "poplarspool/operators/operator_server.h"
#include "poplarspool/base/error_reply.h"

#include "operators/wire_json.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/config.h"
#include "poplarspool/operators/config_files.h"

#include <httplib.h>
#include <openssl/crypto.h>

namespace poplarspool::operators {

namespace {

using nlohmann::ordered_json;

constexpr std::string_view bearerPrefix = "Bearer ";

http_limits operatorLimits()
{
    http_limits limits = defaultHttpLimits();
    limits.bodyBytes = config::maxOperatorBodyBytes;
    limits.connections = config::maxOperatorConnections;
    return limits;
}

http_reply replyWith(int status, std::string_view contentType, std::string body)
{
    http_reply reply;
    reply.status = status;
    reply.contentType = contentType;
    reply.body = std::move(body);
    return reply;
}

http_reply jsonReply(std::string body)
{
    return replyWith(200, "application/json", std::move(body));
}

/// A path and its query.
struct target
{
    std::string path;
    httplib::Params query;

    std::string valueOf(const std::string &name) const
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }
};

target targetOf(const std::string &pathWithQuery)
{
    const std::size_t mark = std::min(pathWithQuery.find('?'), pathWithQuery.size());
    target split;
    split.path = pathWithQuery.substr(0, mark);
    if (mark < pathWithQuery.size())
        httplib::detail::parse_query_text(pathWithQuery.substr(mark + 1), split.query);
    return split;
}

ordered_json eventJson(const event &entry)
{
    ordered_json fields = ordered_json::object();
    for (const event_field &field : entry.fields)
        fields[field.key] = field.value;
    return {{"wall_ms", entry.at.wallMs},
            {"count", entry.at.count},
            {"instance", entry.instance.text},
            {"event", entry.kind},
            {"fields", std::move(fields)}};
}

std::vector<fault> faultsOf(const apply_request &wanted)
{
    std::vector<fault> faults;
    const auto collect = [&faults](const auto &outcome) {
        if (const auto *found = std::get_if<std::vector<fault>>(&outcome))
            faults.insert(faults.end(), found->begin(), found->end());
    };
    collect(parseInventory("inventory", wanted.inventoryText));
    collect(parseRules("rules", wanted.rulesText));
    if (faults.empty())
        faults = checkTogether("inventory", wanted.inventoryText, "rules", wanted.rulesText);
    return faults;
}

/// @returns What is wrong with a change beside its texts' content; empty where nothing is.
std::string refusalOf(const apply_request &wanted)
{
    const auto isBounded = [](const std::string &text) {
        return !text.empty() && text.size() <= config::maxNameBytes;
    };
    if (!isBounded(wanted.nonce))
        return "nonce: expected 1 to " + std::to_string(config::maxNameBytes) + " bytes";
    if (!isBounded(wanted.author))
        return "author: expected 1 to " + std::to_string(config::maxNameBytes) + " bytes";
    return "";
}

bool isTooLarge(const apply_request &wanted)
{
    return wanted.inventoryText.size() > config::maxObjectBytes
            || wanted.rulesText.size() > config::maxObjectBytes;
}

} // namespace

struct operator_server::state
{
    state(const endpoint &bind, std::string keySha256, operator_handlers handlers,
          metrics_registry &metrics, journal &events)
        : keySha256(std::move(keySha256)), handlers(std::move(handlers)), metrics(metrics),
          server(
                  "operators", bind, operatorLimits(),
                  [this](const http_request &request, http_sink &) { return serve(request); },
                  metrics, &events)
    { }

    bool mayEnter(const http_request &request) const;
    http_reply serve(const http_request &request) const;
    http_reply read(const target &asked) const;
    http_reply timeline(const target &asked) const;
    http_reply config() const;
    http_reply apply(const std::string &body) const;

    const std::string keySha256;
    const operator_handlers handlers;
    metrics_registry &metrics;
    http_server server;
};

bool operator_server::state::mayEnter(const http_request &request) const
{
    if (keySha256.empty())
        return true;
    const std::string_view value = headerOf(request.headers, "Authorization");
    if (value.substr(0, bearerPrefix.size()) != bearerPrefix)
        return false;
    const std::string given = sha256Hex(value.substr(bearerPrefix.size()));
    // A comparison that stops at the first difference would let its duration tell how much fits.
    return given.size() == keySha256.size()
            && CRYPTO_memcmp(given.data(), keySha256.data(), given.size()) == 0;
}

http_reply operator_server::state::serve(const http_request &request) const
{
    if (!mayEnter(request)) {
        http_reply reply =
                replyOf(notRun(error_code::Unauthorized, "the operators' key is missing or wrong"));
        reply.headers.emplace_back("WWW-Authenticate", "Bearer");
        return reply;
    }
    const target asked = targetOf(request.path);
    if (request.method == "GET" || request.method == "HEAD")
        return read(asked);
    if (request.method == "POST" && asked.path == "/config")
        return apply(request.body);
    return replyOf(
            notRun(error_code::NotFound, "no such call: " + request.method + ' ' + asked.path));
}

http_reply operator_server::state::read(const target &asked) const
{
    if (asked.path == "/status")
        return jsonReply(operators::jsonOf(handlers.status()));
    if (asked.path == "/timeline")
        return timeline(asked);
    if (asked.path == "/metrics")
        return replyWith(200, "text/plain; version=0.0.4", metrics.text());
    if (asked.path == "/config")
        return config();
    return replyOf(notRun(error_code::NotFound, "no such page: " + asked.path));
}

http_reply operator_server::state::timeline(const target &asked) const
{
    const event_filter filter{asked.valueOf("kind"), asked.valueOf("request"),
                              asked.valueOf("runner")};
    const bool isJson = asked.valueOf("format") == "json";
    std::string lines;
    for (const event &entry : handlers.timeline(filter))
        lines += (isJson ? dumpJson(eventJson(entry)) : lineOf(entry)) + '\n';
    return replyWith(200, isJson ? "application/x-ndjson" : "text/plain", std::move(lines));
}

http_reply operator_server::state::config() const
{
    const result<stored_config> found = handlers.config();
    if (!succeeded(found))
        return replyOf(errorOf(found));
    return jsonReply(operators::textOf(poplarspool::valueOf(found)));
}

http_reply operator_server::state::apply(const std::string &body) const
{
    const result<apply_request> parsed = parseApplyRequest(body);
    if (!succeeded(parsed))
        return replyOf(errorOf(parsed));
    const apply_request &wanted = poplarspool::valueOf(parsed);
    if (const std::string refusal = refusalOf(wanted); !refusal.empty())
        return replyOf(notRun(error_code::BadRequest, refusal));
    if (isTooLarge(wanted))
        return replyOf(notRun(error_code::TooLarge,
                              "a file has more than " + std::to_string(config::maxObjectBytes)
                                      + " bytes, the store's bound for one object"));
    if (const auto faults = faultsOf(wanted); !faults.empty())
        return replyWith(422, "application/json", dumpJson(operators::jsonOf(faults)));
    const result<apply_reply> done = handlers.apply(wanted);
    if (!succeeded(done))
        return replyOf(errorOf(done));
    return jsonReply(operators::textOf(poplarspool::valueOf(done)));
}

operator_server::operator_server(const endpoint &bind, std::string keySha256,
                                 operator_handlers handlers, metrics_registry &metrics,
                                 journal &events)
    : inner(std::make_unique<state>(bind, std::move(keySha256), std::move(handlers), metrics,
                                    events))
{ }

operator_server::~operator_server() = default;

result<endpoint> operator_server::start()
{
    return inner->server.start();
}

void operator_server::stop()
{
    inner->server.stop();
}

} // namespace poplarspool::operators
