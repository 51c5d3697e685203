#include "poplarspool/base/http.h"

#include "base/pooled_call.h"
#include "poplarspool/config.h"

#include <algorithm>
#include <map>
#include <mutex>

namespace poplarspool {

namespace {

struct idle_connection
{
    descriptor connection;
    socket_deadline expires;
};

error stopped()
{
    return notRun(error_code::Unavailable, "stopped");
}

std::optional<error> checkRequest(const http_request &request)
{
    // A line break in a header that is passed on would let a caller add headers, or a request.
    const bool isSafe = std::ranges::all_of(request.headers, [](const auto &header) {
        return isSafeHeader(header.first, header.second);
    });
    if (!isSafe || !isSafeHeader(request.method, request.path)
        || !isSafeHeader("content-type", request.contentType) || !request.path.starts_with('/')
        || request.path.find(' ') != std::string::npos)
        return notRun(error_code::BadRequest, "the request can't be written as HTTP");
    return std::nullopt;
}

} // namespace

struct http_pool::state
{
    state(std::size_t idlePerTarget, milliseconds connectTime, metrics_registry &metrics)
        : idlePerTarget(idlePerTarget), connectTime(connectTime),
          connects(metrics.counterOf("poplarspool_pool_connects_total")),
          reuses(metrics.counterOf("poplarspool_pool_reuses_total")),
          idleCount(metrics.gaugeOf("poplarspool_pool_idle"))
    { }

    result<descriptor> connectionTo(const endpoint &to, socket_deadline deadline);
    descriptor takeIdle(const endpoint &to);
    void keep(const endpoint &to, descriptor connection);
    void dropExpired(socket_deadline now);

    const std::size_t idlePerTarget;
    const milliseconds connectTime;
    counter &connects;
    counter &reuses;
    gauge &idleCount;
    raised_flag stopping;
    std::mutex guard;
    std::map<endpoint, std::vector<idle_connection>> idle; ///< Latest used last.
    socket_deadline nextSweep{};
};

result<descriptor> http_pool::state::connectionTo(const endpoint &to, socket_deadline deadline)
{
    descriptor kept = takeIdle(to);
    if (kept.isOpen()) {
        reuses.add();
        return kept;
    }
    connects.add();
    const socket_deadline connectEnd = socket_clock::now() + connectTime;
    return connectTo(to, std::min(deadline, connectEnd), stopping.descriptorNumber());
}

/// Takes the one used last: the others age, so that a peak's connections are given up after it.
descriptor http_pool::state::takeIdle(const endpoint &to)
{
    const std::lock_guard lock(guard);
    const socket_deadline now = socket_clock::now();
    dropExpired(now);
    const auto found = idle.find(to);
    if (found == idle.end())
        return descriptor();
    std::vector<idle_connection> &kept = found->second;
    while (!kept.empty()) {
        idle_connection last = std::move(kept.back());
        kept.pop_back();
        idleCount.add(-1);
        // One that the server has closed meanwhile would lose the request.
        if (last.expires > now && isIdleAndOpen(last.connection.get()))
            return std::move(last.connection);
    }
    return descriptor();
}

void http_pool::state::keep(const endpoint &to, descriptor connection)
{
    const std::lock_guard lock(guard);
    const socket_deadline now = socket_clock::now();
    dropExpired(now);
    std::vector<idle_connection> &kept = idle[to];
    if (stopping.isRaised() || kept.size() >= idlePerTarget)
        return;
    kept.push_back({std::move(connection), now + config::idleConnectionTime});
    idleCount.add(1);
}

/// Also closes the connections of targets that no one calls any more.
void http_pool::state::dropExpired(socket_deadline now)
{
    if (now < nextSweep)
        return;
    nextSweep = now + config::poolSweepTime;
    for (auto target = idle.begin(); target != idle.end();) {
        const auto isExpired = [now](const idle_connection &one) { return one.expires <= now; };
        const std::size_t dropped = std::erase_if(target->second, isExpired);
        idleCount.add(-static_cast<std::int64_t>(dropped));
        target = target->second.empty() ? idle.erase(target) : std::next(target);
    }
}

http_pool::http_pool(std::size_t idlePerTarget, milliseconds connectTime, metrics_registry &metrics)
    : inner(std::make_unique<state>(idlePerTarget, connectTime, metrics))
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
    const auto gather = [&](std::string_view piece) {
        isTooLarge = body.size() + piece.size() > config::maxReplyBytes;
        if (!isTooLarge)
            body.append(piece);
        return !isTooLarge;
    };
    const auto acceptHead = [](const http_reply &) { return true; };
    result<http_reply> outcome = stream(to, request, timeLimit, acceptHead, gather);
    if (isTooLarge)
        return mayHaveRun(error_code::TooLarge, "the reply is too large");
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
        return stopped();
    if (auto fault = checkRequest(request))
        return *fault;
    result<descriptor> connection = inner->connectionTo(to, deadline);
    if (!succeeded(connection))
        return errorOf(connection);
    pooled_call call(to, std::move(valueOf(connection)), deadline, inner->stopping);
    result<http_reply> outcome = call.run(request, {onHead, onPiece});
    descriptor reusable = call.takeConnection();
    if (reusable.isOpen())
        inner->keep(to, std::move(reusable));
    return outcome;
}

void http_pool::stop()
{
    inner->stopping.raise();
    const std::lock_guard lock(inner->guard);
    inner->idle.clear();
    inner->idleCount.set(0);
}

} // namespace poplarspool
