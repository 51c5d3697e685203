#include "poplarspool/base/http.h"

#include "base/connection_pool.h"
#include "base/pooled_call.h"
#include "poplarspool/base/limits.h"

#include <algorithm>

namespace poplarspool {

namespace {

error stoppedError()
{
    return notRun(error_code::Unavailable, "stopped");
}

std::optional<error> checkRequest(const http_request &request)
{
    // A line break in a forwarded header would allow a caller to inject headers or a request.
    const bool areHeadersSafe = std::ranges::all_of(request.headers, [](const auto &header) {
        return isSafeHeader(header.first, header.second);
    });
    if (!areHeadersSafe || !isSafeHeader(request.method, request.path)
        || !isSafeHeader("content-type", request.contentType) || !request.path.starts_with('/')
        || request.path.find(' ') != std::string::npos)
        return notRun(error_code::BadRequest,
                      "request contains characters that HTTP doesn't allow");
    return std::nullopt;
}

} // namespace

struct http_pool::state
{
    state(std::size_t idlePerTarget, milliseconds connectTime, metrics_registry &metrics,
          std::chrono::seconds silence)
        : silence(silence), connections(idlePerTarget, connectTime, metrics)
    { }

    pollable_flag stopping;
    const std::chrono::seconds silence;
    connection_pool connections;
};

http_pool::http_pool(std::size_t idlePerTarget, milliseconds connectTime, metrics_registry &metrics,
                     std::chrono::seconds silence)
    : inner(std::make_unique<state>(idlePerTarget, connectTime, metrics, silence))
{ }

http_pool::~http_pool()
{
    stop();
}

result<http_reply> http_pool::send(const endpoint &to, const http_request &request,
                                   milliseconds timeLimit)
{
    std::string body;
    bool isTooLarge = false;
    const auto collect = [&](std::string_view piece) {
        isTooLarge = body.size() + piece.size() > config::maxReplyBytes;
        if (!isTooLarge)
            body.append(piece);
        return !isTooLarge;
    };
    const auto acceptHead = [](const http_reply &) { return true; };
    result<http_reply> outcome = stream(to, request, timeLimit, acceptHead, collect);
    if (isTooLarge)
        return mayHaveRun(error_code::TooLarge, "reply body exceeds the size limit");
    if (succeeded(outcome))
        valueOf(outcome).body = std::move(body);
    return outcome;
}

result<http_reply> http_pool::stream(const endpoint &to, const http_request &request,
                                     milliseconds timeLimit, const http_head_receiver &onHead,
                                     const http_receiver &onPiece)
{
    const socket_deadline deadline = socket_clock::now() + timeLimit;
    if (inner->stopping.isRaised())
        return stoppedError();
    if (auto fault = checkRequest(request))
        return *fault;
    result<descriptor> connection =
            inner->connections.acquire(to, deadline, inner->stopping.descriptorNumber());
    if (!succeeded(connection))
        return errorOf(connection);
    if (inner->silence.count() > 0)
        enableDeadPeerDetection(valueOf(connection).get(), inner->silence);
    pooled_call call(to, std::move(valueOf(connection)), deadline, inner->stopping);
    result<http_reply> outcome = call.run(request, {onHead, onPiece});
    descriptor reusable = call.takeConnection();
    if (reusable.isOpen())
        inner->connections.release(to, std::move(reusable), config::idleConnectionTimeout);
    return outcome;
}

void http_pool::stop()
{
    inner->stopping.raise();
    inner->connections.stop();
}

} // namespace poplarspool
