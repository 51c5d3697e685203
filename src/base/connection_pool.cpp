#include "base/connection_pool.h"

#include "poplarspool/base/limits.h"

#include <algorithm>

namespace poplarspool {

connection_pool::connection_pool(std::size_t idlePerTarget, milliseconds connectTime,
                                 metrics_registry &metrics)
    : idlePerTarget(idlePerTarget), connectTime(connectTime),
      connects(metrics.counterOf("poplarspool_pool_connects_total")),
      reuses(metrics.counterOf("poplarspool_pool_reuses_total")),
      idleCount(metrics.gaugeOf("poplarspool_pool_idle"))
{ }

connection_pool::~connection_pool()
{
    stop();
}

result<descriptor> connection_pool::acquire(const endpoint &to, socket_deadline deadline,
                                            int interruptFd)
{
    descriptor pooled = acquireIdle(to);
    if (pooled.isOpen())
        return pooled;
    return connect(to, deadline, interruptFd);
}

result<descriptor> connection_pool::connect(const endpoint &to, socket_deadline deadline,
                                            int interruptFd)
{
    connect_result made = tryConnect(to, deadline, interruptFd);
    if (made.end == connect_end::Connected)
        return std::move(made.connection);
    return connectErrorOf(to, made);
}

connect_result connection_pool::tryConnect(const endpoint &to, socket_deadline deadline,
                                           int interruptFd)
{
    connects.add();
    const socket_deadline connectEnd = socket_clock::now() + connectTime;
    return poplarspool::tryConnect(to, std::min(deadline, connectEnd), interruptFd);
}

/// Takes the most recently used connection, so that the surplus connections of a load peak expire
/// once it is over.
descriptor connection_pool::acquireIdle(const endpoint &to)
{
    const std::lock_guard lock(guard);
    const socket_deadline now = socket_clock::now();
    dropExpired(now);
    const auto found = idle.find(to);
    if (found == idle.end())
        return descriptor();
    std::vector<idle_connection> &pooled = found->second;
    while (!pooled.empty()) {
        idle_connection last = std::move(pooled.back());
        pooled.pop_back();
        idleCount.add(-1);
        // If the server has closed the connection meanwhile, the request would be lost.
        if (last.expires > now && isIdleAndOpen(last.connection.get())) {
            reuses.add();
            return std::move(last.connection);
        }
    }
    return descriptor();
}

pooled_connection connection_pool::acquireOlder(const endpoint &to, socket_deadline releasedBy,
                                                const std::function<bool(int)> &isUsable)
{
    const std::lock_guard lock(guard);
    const socket_deadline now = socket_clock::now();
    dropExpired(now);
    const auto pooled = idle.find(to);
    if (pooled == idle.end())
        return {};
    const auto found = std::ranges::find_if(pooled->second, [&](const idle_connection &one) {
        return one.answeredBy <= releasedBy && one.expires > now
                && isIdleAndOpen(one.connection.get()) && isUsable(one.connection.get());
    });
    if (found == pooled->second.end())
        return {};
    pooled_connection older{std::move(found->connection),
                            std::chrono::duration_cast<milliseconds>(found->expires - now)};
    pooled->second.erase(found);
    idleCount.add(-1);
    reuses.add();
    return older;
}

void connection_pool::release(const endpoint &to, descriptor connection, milliseconds idleTime)
{
    const socket_deadline now = socket_clock::now();
    keep(to, {std::move(connection), now, now + idleTime});
}

void connection_pool::releaseUnused(const endpoint &to, descriptor connection,
                                    milliseconds idleTime)
{
    keep(to, {std::move(connection), socket_deadline::max(), socket_clock::now() + idleTime});
}

void connection_pool::keep(const endpoint &to, idle_connection connection)
{
    const std::lock_guard lock(guard);
    dropExpired(socket_clock::now());
    std::vector<idle_connection> &pooled = idle[to];
    if (isStopped || pooled.size() >= idlePerTarget)
        return;
    pooled.push_back(std::move(connection));
    idleCount.add(1);
}

/// Also closes expired connections to targets that are no longer called.
void connection_pool::dropExpired(socket_deadline now)
{
    if (now < nextSweep)
        return;
    nextSweep = now + config::poolSweepInterval;
    for (auto target = idle.begin(); target != idle.end();) {
        const auto isExpired = [now](const idle_connection &one) { return one.expires <= now; };
        const std::size_t dropped = std::erase_if(target->second, isExpired);
        idleCount.add(-static_cast<std::int64_t>(dropped));
        target = target->second.empty() ? idle.erase(target) : std::next(target);
    }
}

void connection_pool::stop()
{
    const std::lock_guard lock(guard);
    isStopped = true;
    idle.clear();
    idleCount.set(0);
}

} // namespace poplarspool
