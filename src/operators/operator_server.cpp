#include "poplarspool/operators/operator_server.h"
#include "poplarspool/base/error_reply.h"

#include "operators/wire_json.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/operators/config_files.h"
#include "poplarspool/operators/limits.h"

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

/// The target of an HTTP request: its path and query.
struct request_target
{
    std::string path;
    httplib::Params query;

    std::string valueOf(const std::string &name) const
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }
};

request_target parseTarget(const std::string &pathWithQuery)
{
    const std::size_t queryStart = std::min(pathWithQuery.find('?'), pathWithQuery.size());
    request_target parsed;
    parsed.path = pathWithQuery.substr(0, queryStart);
    if (queryStart < pathWithQuery.size())
        httplib::detail::parse_query_text(pathWithQuery.substr(queryStart + 1), parsed.query);
    return parsed;
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

std::vector<diagnostic> validate(const apply_request &request)
{
    std::vector<diagnostic> diagnostics;
    const auto collect = [&diagnostics](const auto &outcome) {
        if (const auto *found = std::get_if<std::vector<diagnostic>>(&outcome))
            diagnostics.insert(diagnostics.end(), found->begin(), found->end());
    };
    collect(parseInventory("inventory", request.inventoryText));
    collect(parseRules("rules", request.rulesText));
    if (diagnostics.empty())
        diagnostics = crossCheck("inventory", request.inventoryText, "rules", request.rulesText);
    return diagnostics;
}

/// Checks the nonce and the author of a change.
/// @returns An error message; empty if both are valid.
std::string checkMetadata(const apply_request &request)
{
    const auto isBounded = [](const std::string &text) {
        return !text.empty() && text.size() <= config::maxNameBytes;
    };
    if (!isBounded(request.nonce))
        return "nonce: expected 1 to " + std::to_string(config::maxNameBytes) + " bytes";
    if (!isBounded(request.author))
        return "author: expected 1 to " + std::to_string(config::maxNameBytes) + " bytes";
    return "";
}

bool isTooLarge(const apply_request &request)
{
    return request.inventoryText.size() > config::maxObjectBytes
            || request.rulesText.size() > config::maxObjectBytes;
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

    bool isAuthorized(const http_request &request) const;
    http_reply serve(const http_request &request) const;
    http_reply handleGet(const request_target &target) const;
    http_reply timeline(const request_target &target) const;
    http_reply config() const;
    http_reply apply(const std::string &body) const;

    const std::string keySha256;
    const operator_handlers handlers;
    metrics_registry &metrics;
    http_server server;
};

bool operator_server::state::isAuthorized(const http_request &request) const
{
    if (keySha256.empty())
        return true;
    const std::string_view value = headerOf(request.headers, "Authorization");
    if (value.substr(0, bearerPrefix.size()) != bearerPrefix)
        return false;
    const std::string hash = sha256Hex(value.substr(bearerPrefix.size()));
    // Constant time: a comparison that stops at the first difference would leak through its
    // duration how many leading bytes match.
    return hash.size() == keySha256.size()
            && CRYPTO_memcmp(hash.data(), keySha256.data(), hash.size()) == 0;
}

http_reply operator_server::state::serve(const http_request &request) const
{
    if (!isAuthorized(request)) {
        http_reply reply =
                replyOf(notRun(error_code::Unauthorized, "the operators' key is missing or wrong"));
        reply.headers.emplace_back("WWW-Authenticate", "Bearer");
        return reply;
    }
    const request_target target = parseTarget(request.path);
    if (request.method == "GET" || request.method == "HEAD")
        return handleGet(target);
    if (request.method == "POST" && target.path == "/config")
        return apply(request.body);
    return replyOf(notRun(error_code::NotFound,
                          "no such endpoint: " + request.method + ' ' + target.path));
}

http_reply operator_server::state::handleGet(const request_target &target) const
{
    if (target.path == "/status")
        return jsonReply(operators::jsonOf(handlers.status()));
    if (target.path == "/timeline")
        return timeline(target);
    if (target.path == "/metrics")
        return replyWith(200, "text/plain; version=0.0.4", metrics.text());
    if (target.path == "/config")
        return config();
    return replyOf(notRun(error_code::NotFound, "no such endpoint: " + target.path));
}

http_reply operator_server::state::timeline(const request_target &target) const
{
    const event_filter filter{target.valueOf("kind"), target.valueOf("request"),
                              target.valueOf("runner")};
    const bool isJson = target.valueOf("format") == "json";
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
    const apply_request &request = poplarspool::valueOf(parsed);
    if (const std::string violation = checkMetadata(request); !violation.empty())
        return replyOf(notRun(error_code::BadRequest, violation));
    if (isTooLarge(request))
        return replyOf(notRun(error_code::TooLarge,
                              "a file is larger than " + std::to_string(config::maxObjectBytes)
                                      + " bytes, the store's limit for one object"));
    if (const auto diagnostics = validate(request); !diagnostics.empty())
        return replyWith(422, "application/json", dumpJson(operators::jsonOf(diagnostics)));
    const result<apply_reply> applied = handlers.apply(request);
    if (!succeeded(applied))
        return replyOf(errorOf(applied));
    return jsonReply(operators::textOf(poplarspool::valueOf(applied)));
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
