#include "poplarspool/caller/caller_server.h"
#include "poplarspool/base/error_reply.h"

#include "caller/completion_json.h"
#include "caller/completion_stream.h"
#include "caller/json_text.h"
#include "caller/request_head.h"
#include "caller/request_observer.h"
#include "caller/service_path.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/base/limits.h"

#include <httplib.h>

#include <exception>

namespace poplarspool::caller {

namespace {

constexpr std::string_view servicesPrefix = "/v1/services/";

/// A route with a fixed path, and the only method that it accepts.
struct fixed_route
{
    std::string_view path;
    std::string_view method;
    route_kind kind;
};

constexpr std::array fixedRoutes{
        fixed_route{"/v1/addresses", "GET", route_kind::Addresses},
        fixed_route{"/v1/models", "GET", route_kind::Models},
        fixed_route{"/v1/completions", "POST", route_kind::Completions},
        fixed_route{"/healthz", "GET", route_kind::Health},
};

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

const fixed_route *findFixed(std::string_view target)
{
    for (const fixed_route &route : fixedRoutes) {
        if (route.path == pathOf(target))
            return &route;
    }
    return nullptr;
}

route_kind routeOf(std::string_view target)
{
    if (const fixed_route *fixed = findFixed(target))
        return fixed->kind;
    return target.starts_with(servicesPrefix) ? route_kind::Services : route_kind::Other;
}

http_reply jsonReply(const nlohmann::json &body)
{
    http_reply reply;
    reply.status = 200;
    reply.contentType = "application/json";
    reply.body = dumpText(body);
    return reply;
}

/// A reply, and the outcome of the request for log and metrics. Without a reply, the handler has
/// written it to the sink.
struct serve_result
{
    std::optional<http_reply> reply;
    request_outcome outcome;
};

serve_result successResult(http_reply reply)
{
    const int status = reply.status;
    return {std::move(reply), {status, std::nullopt, 0}};
}

serve_result failureResult(const error &failure)
{
    http_reply reply = replyOf(failure);
    const int status = reply.status;
    return {std::move(reply), {status, failure, 0}};
}

serve_result wrongMethodResult(const fixed_route &route)
{
    constexpr int methodNotAllowed = 405;
    serve_result out = failureResult(
            notRun(error_code::BadRequest,
                   std::string(route.path) + " accepts only " + std::string(route.method)));
    out.reply->status = methodNotAllowed;
    out.reply->headers.emplace_back("Allow", route.method);
    out.outcome.status = methodNotAllowed;
    return out;
}

/// @returns The zone that the query names; an empty id if it names none.
result<zone_id> parseZone(std::string_view target)
{
    httplib::Params query;
    const std::size_t queryStart = target.find('?');
    if (queryStart != std::string_view::npos)
        httplib::detail::parse_query_text(std::string(target.substr(queryStart + 1)), query);
    const auto found = query.find("zone");
    if (found == query.end())
        return zone_id();
    if (found->second.empty() || found->second.size() > config::maxNameBytes) {
        return notRun(error_code::BadRequest,
                      "parameter zone: expected a name of at most "
                              + std::to_string(config::maxNameBytes) + " bytes");
    }
    return zone_id{found->second};
}

nlohmann::json modelList(const std::vector<std::string> &models)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const std::string &model : models) {
        entries.push_back(
                {{"id", model}, {"object", "model"}, {"created", 0}, {"owned_by", "poplarspool"}});
    }
    return {{"object", "list"}, {"data", std::move(entries)}};
}

nlohmann::json addressList(const address_answer &answer)
{
    nlohmann::json addresses = nlohmann::json::array();
    for (const endpoint &address : answer.addresses)
        addresses.push_back(textOf(address));
    return {{"addresses", std::move(addresses)}, {"keep_seconds", answer.keepTime.count()}};
}

/// The verdict is MayHaveRun, because it is unknown here whether the request has run.
error internalError()
{
    return mayHaveRun(error_code::Internal,
                      "internal fault; the instance's log contains the cause");
}

} // namespace

bool service_request::operator==(const service_request &other) const
{
    return head == other.head && service == other.service && request.method == other.request.method
            && request.path == other.request.path && request.headers == other.request.headers
            && request.body == other.request.body
            && request.contentType == other.request.contentType;
}

struct caller_server::state
{
    state(const endpoint &bind, http_limits limits, memory_budget &memory, caller_handlers handlers,
          clock_source clock, metrics_registry &metrics, journal &events)
        : handlers(std::move(handlers)), clock(std::move(clock)),
          observer(this->clock, metrics, events),
          server(
                  "caller", bind, limits,
                  [this](const http_request &request, http_sink &connection) {
                      return serve(request, connection);
                  },
                  metrics, &events, &memory)
    { }

    std::optional<http_reply> serve(const http_request &request, http_sink &connection);
    serve_result routeOrFail(const http_request &request, const result<request_head> &head,
                             reply_tracker &tracker);
    serve_result route(const http_request &request, const request_head &head,
                       reply_tracker &tracker);
    serve_result serveAddresses(const http_request &request, const request_head &head);
    serve_result serveModels(const request_head &head);
    serve_result serveCompletion(const http_request &request, const request_head &head,
                                 reply_tracker &tracker);
    serve_result serveService(const http_request &request, const request_head &head,
                              reply_tracker &tracker);
    void complete(const completion_request &request, completion_sink &sink,
                  const completion_outcome &outcome);

    caller_handlers handlers;
    clock_source clock;
    request_observer observer;
    http_server server;
};

std::optional<http_reply> caller_server::state::serve(const http_request &request,
                                                      http_sink &connection)
{
    const request_id id{randomHex128()};
    const mono_time arrivedAt = clock.mono();
    const route_kind kind = routeOf(request.path);
    const result<request_head> head = parseHead(request.headers, id, arrivedAt);
    request_head knownHead;
    knownHead.request = id;
    knownHead.arrivedAt = arrivedAt;
    if (succeeded(head))
        knownHead = valueOf(head);

    observer.onRequestStarted(kind, knownHead);
    reply_tracker tracker(connection, id, clock);
    serve_result served = routeOrFail(request, head, tracker);
    observer.onRequestFinished(kind, knownHead, served.outcome, tracker.firstByteAt());
    if (served.reply)
        served.reply->headers = withRequestId(served.reply->headers, id);
    return std::move(served.reply);
}

serve_result caller_server::state::routeOrFail(const http_request &request,
                                               const result<request_head> &head,
                                               reply_tracker &tracker)
{
    if (!succeeded(head))
        return failureResult(errorOf(head));
    try {
        return route(request, valueOf(head), tracker);
    } catch (const std::exception &thrown) {
        observer.onHandlerThrew(valueOf(head), thrown.what());
    } catch (...) {
        observer.onHandlerThrew(valueOf(head), "not an exception type of the standard library");
    }
    serve_result out = failureResult(internalError());
    // A reply that has started can't be replaced. Leaving it without its end closes the connection,
    // which shows the caller that the reply is incomplete.
    if (tracker.hasStarted()) {
        out.reply.reset();
        out.outcome.status = tracker.status();
    }
    return out;
}

serve_result caller_server::state::route(const http_request &request, const request_head &head,
                                         reply_tracker &tracker)
{
    if (const fixed_route *fixed = findFixed(request.path)) {
        if (request.method != fixed->method)
            return wrongMethodResult(*fixed);
    }
    switch (routeOf(request.path)) {
    case route_kind::Addresses:
        return serveAddresses(request, head);
    case route_kind::Models:
        return serveModels(head);
    case route_kind::Completions:
        return serveCompletion(request, head, tracker);
    case route_kind::Services:
        return serveService(request, head, tracker);
    case route_kind::Health:
        return successResult(jsonReply({{"status", "ok"}}));
    case route_kind::Other:
        break;
    }
    return failureResult(
            notRun(error_code::NotFound, "no route " + excerptOf(pathOf(request.path))));
}

serve_result caller_server::state::serveAddresses(const http_request &request,
                                                  const request_head &head)
{
    const result<zone_id> zone = parseZone(request.path);
    if (!succeeded(zone))
        return failureResult(errorOf(zone));
    const result<address_answer> answer = handlers.addresses(head, valueOf(zone));
    if (!succeeded(answer))
        return failureResult(errorOf(answer));
    return successResult(jsonReply(addressList(valueOf(answer))));
}

serve_result caller_server::state::serveModels(const request_head &head)
{
    const result<std::vector<std::string>> models = handlers.models(head);
    if (!succeeded(models))
        return failureResult(errorOf(models));
    return successResult(jsonReply(modelList(valueOf(models))));
}

void caller_server::state::complete(const completion_request &request, completion_sink &sink,
                                    const completion_outcome &outcome)
{
    try {
        handlers.complete(request, sink);
    } catch (const std::exception &thrown) {
        observer.onHandlerThrew(request.head, thrown.what());
    } catch (...) {
        observer.onHandlerThrew(request.head, "not an exception type of the standard library");
    }
    // A handler that threw or did not end the answer must not leave the caller with a partial one.
    if (!outcome.isEnded)
        sink.fail(internalError());
}

serve_result caller_server::state::serveCompletion(const http_request &request,
                                                   const request_head &head, reply_tracker &tracker)
{
    const result<completion_body> body = parseCompletion(request.body);
    if (!succeeded(body))
        return failureResult(errorOf(body));
    const completion_body &parsed = valueOf(body);
    const completion_request completion{head, parsed.model, parsed.prompt, parsed.maxTokens,
                                        parsed.isStreamed};
    const auto created =
            std::chrono::duration_cast<std::chrono::seconds>(clock.wall().time_since_epoch());
    const completion_metadata metadata{head.request, parsed.model, created.count()};
    if (!completion.isStreamed) {
        buffered_completion sink(metadata, tracker);
        complete(completion, sink, sink.outcome());
        http_reply reply = sink.takeReply();
        const int status = reply.status;
        return {std::move(reply), {status, sink.outcome().failure, sink.outcome().tokens}};
    }
    streamed_completion sink(metadata, tracker);
    complete(completion, sink, sink.outcome());
    std::optional<http_reply> reply = sink.takeReply();
    const int status = reply ? reply->status : tracker.status();
    return {std::move(reply), {status, sink.outcome().failure, sink.outcome().tokens}};
}

serve_result caller_server::state::serveService(const http_request &request,
                                                const request_head &head, reply_tracker &tracker)
{
    const auto target =
            parseServiceTarget(std::string_view(request.path).substr(servicesPrefix.size()));
    if (!succeeded(target))
        return failureResult(errorOf(target));
    service_request call{head, valueOf(target).service, request};
    call.request.path = valueOf(target).path;
    call.request.headers = headersForService(request.headers, head.request);
    const std::optional<error> failure = handlers.callService(call, tracker);
    if (failure && !tracker.hasStarted())
        return failureResult(*failure);
    request_outcome outcome{tracker.status(), failure, 0};
    if (!failure && !tracker.isComplete())
        outcome.failure = mayHaveRun(error_code::Broken, "the reply was cut short");
    return {std::nullopt, std::move(outcome)};
}

caller_server::caller_server(const endpoint &bind, http_limits limits, memory_budget &memory,
                             caller_handlers handlers, clock_source clock,
                             metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(bind, limits, memory, std::move(handlers), std::move(clock),
                                    metrics, events))
{ }

caller_server::~caller_server() = default;

result<endpoint> caller_server::start()
{
    return inner->server.start();
}

void caller_server::stop()
{
    inner->server.stop();
}

std::uint32_t caller_server::openRequests() const
{
    return inner->observer.openRequests();
}

} // namespace poplarspool::caller
