#include "poplarspool/runner/engine.h"

#include "poplarspool/runner/limits.h"
#include "runner/engine_json.h"
#include "runner/stream_reader.h"

namespace poplarspool::runner {

namespace {

constexpr int statusOk = 200;

http_request postJson(std::string path, std::string body)
{
    return {"POST", std::move(path), {}, std::move(body), "application/json"};
}

error malformedReply(const char *what)
{
    return mayHaveRun(error_code::Broken, std::string("malformed engine reply: ") + what);
}

/// Sends one request and receives the whole reply.
/// @returns The body of a reply with status 200; any other status is an error.
result<std::string> exchange(http_pool &pool, const endpoint &engine, const http_request &request,
                             milliseconds timeLimit)
{
    auto reply = pool.send(engine, request, timeLimit);
    if (!succeeded(reply))
        return errorOf(reply);
    if (valueOf(reply).status != statusOk)
        return parseRefusal(valueOf(reply).status, valueOf(reply).body);
    return std::move(valueOf(reply).body);
}

template <class T>
result<T> parseReply(const result<std::string> &body, std::optional<T> (*parse)(std::string_view),
                     const char *what)
{
    if (!succeeded(body))
        return errorOf(body);
    auto value = parse(valueOf(body));
    if (!value)
        return malformedReply(what);
    return std::move(*value);
}

result<unit> discardBody(const result<std::string> &body)
{
    if (!succeeded(body))
        return errorOf(body);
    return unit{};
}

/// The error of a call that failed after its stream had started: never NotRun.
error errorAfterStart(error failure)
{
    failure.ran = verdict::MayHaveRun;
    if (failure.code != error_code::TimedOut)
        failure.code = error_code::Broken;
    return failure;
}

result<stream_end> generate(http_pool &pool, const endpoint &engine,
                            const generate_request &request, const token_receiver &onToken)
{
    if (request.timeLeft <= milliseconds::zero())
        return notRun(error_code::TimedOut, "no time left to start the request");
    auto body = encodeGenerate(request);
    if (!succeeded(body))
        return errorOf(body);

    stream_reader reader(request, onToken);
    int status = 0;
    std::string refusal;
    const auto onHead = [&](const http_reply &head) {
        status = head.status;
        return true;
    };
    const auto onPiece = [&](std::string_view piece) {
        if (status == statusOk)
            return reader.feed(piece);
        refusal.append(piece.substr(0, config::maxTargetErrorBytes - refusal.size()));
        return refusal.size() < config::maxTargetErrorBytes;
    };
    const auto reply = pool.stream(engine, postJson("/generate", std::move(valueOf(body))),
                                   request.timeLeft, onHead, onPiece);
    if (reader.hasOutcome())
        return reader.outcome();
    if (status != 0 && status != statusOk)
        return parseRefusal(status, refusal);
    if (!succeeded(reply))
        return status == 0 ? errorOf(reply) : errorAfterStart(errorOf(reply));
    return reader.outcome();
}

} // namespace

engine_api httpEngineApi(const std::shared_ptr<http_pool> &pool)
{
    engine_api api;
    api.generate = [pool](const endpoint &engine, const generate_request &request,
                          const token_receiver &onToken) {
        return generate(*pool, engine, request, onToken);
    };
    api.cancel = [pool](const endpoint &engine, const request_id &request,
                        const std::string &attempt) {
        const auto call = postJson("/cancel", encodeCancel(request, attempt));
        return discardBody(exchange(*pool, engine, call, config::targetCallTimeout));
    };
    api.load = [pool](const endpoint &engine) {
        const auto body =
                exchange(*pool, engine, {"GET", "/load", {}, {}, {}}, config::targetCallTimeout);
        return parseReply(body, parseLoad, "load report");
    };
    api.order = [pool](const endpoint &engine, const engine_order &order, milliseconds timeLimit) {
        const auto call = postJson("/order", encodeOrder(order));
        return discardBody(exchange(*pool, engine, call, timeLimit));
    };
    api.exportKv = [pool](const endpoint &engine, const request_id &request) {
        const auto call = postJson("/kv/export", encodeExport(request));
        return parseReply(exchange(*pool, engine, call, config::kvTransferTimeout), parseExport,
                          "export");
    };
    api.importKv = [pool](const endpoint &engine, const std::string &handle) {
        const auto call = postJson("/kv/import", encodeImport(handle));
        return discardBody(exchange(*pool, engine, call, config::kvTransferTimeout));
    };
    api.cacheEvents = [pool](const endpoint &engine, std::uint64_t after) -> result<cache_events> {
        const std::string path = "/cache-events?after=" + std::to_string(after);
        const auto body =
                exchange(*pool, engine, {"GET", path, {}, {}, {}}, config::targetCallTimeout);
        if (!succeeded(body))
            return errorOf(body);
        auto events = parseCacheEvents(valueOf(body), after);
        if (!events)
            return malformedReply("cache events");
        return std::move(*events);
    };
    return api;
}

} // namespace poplarspool::runner
