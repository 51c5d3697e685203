#include "poplarspool/runner/engine.h"

#include "runner/engine_json.h"
#include "runner/stream_reader.h"

namespace poplarspool::runner {

namespace {

constexpr int statusOk = 200;

http_request postJson(std::string path, std::string body)
{
    return {"POST", std::move(path), {}, std::move(body), "application/json"};
}

error brokenReply(const char *what)
{
    return mayHaveRun(error_code::Broken, std::string("engine's reply can't be read: ") + what);
}

/// One call with a short reply.
/// @returns The body of a 200; every other status is a failure.
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
result<T> parsedOr(const result<std::string> &body, std::optional<T> (*parse)(std::string_view),
                   const char *what)
{
    if (!succeeded(body))
        return errorOf(body);
    auto value = parse(valueOf(body));
    if (!value)
        return brokenReply(what);
    return std::move(*value);
}

result<unit> unitOr(const result<std::string> &body)
{
    if (!succeeded(body))
        return errorOf(body);
    return unit{};
}

/// What is left of a failed call once the stream had begun: never NotRun.
error brokenOff(error failure)
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
        return notRun(error_code::TimedOut, "no time left to begin");
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
        return status == 0 ? errorOf(reply) : brokenOff(errorOf(reply));
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
        return unitOr(exchange(*pool, engine, call, config::targetCallTime));
    };
    api.load = [pool](const endpoint &engine) {
        const auto body =
                exchange(*pool, engine, {"GET", "/load", {}, {}, {}}, config::targetCallTime);
        return parsedOr(body, parseLoad, "load report");
    };
    api.order = [pool](const endpoint &engine, const engine_order &order, milliseconds timeLimit) {
        const auto call = postJson("/order", encodeOrder(order));
        return unitOr(exchange(*pool, engine, call, timeLimit));
    };
    api.exportKv = [pool](const endpoint &engine, const request_id &request) {
        const auto call = postJson("/kv/export", encodeExport(request));
        return parsedOr(exchange(*pool, engine, call, config::kvMoveTime), parseExport, "export");
    };
    api.importKv = [pool](const endpoint &engine, const std::string &handle) {
        const auto call = postJson("/kv/import", encodeImport(handle));
        return unitOr(exchange(*pool, engine, call, config::kvMoveTime));
    };
    api.cacheEvents = [pool](const endpoint &engine, std::uint64_t after) -> result<cache_events> {
        const std::string path = "/cache-events?after=" + std::to_string(after);
        const auto body =
                exchange(*pool, engine, {"GET", path, {}, {}, {}}, config::targetCallTime);
        if (!succeeded(body))
            return errorOf(body);
        auto events = parseCacheEvents(valueOf(body), after);
        if (!events)
            return brokenReply("cache events");
        return std::move(*events);
    };
    return api;
}

} // namespace poplarspool::runner
