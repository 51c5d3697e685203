#pragma once

#include "base/connect.h"
#include "poplarspool/base/clock.h"
#include "poplarspool/base/metrics.h"

#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace poplarspool {

/// A connection taken from a pool.
struct pooled_connection
{
    descriptor connection; ///< Closed: there was none.
    milliseconds idleTimeLeft{0}; ///< Until the pool would have closed it.
};

/// Pool of idle connections to any number of servers. Thread-safe.
class connection_pool
{
public:
    /// @param idlePerTarget Maximum number of idle connections per server.
    connection_pool(std::size_t idlePerTarget, milliseconds connectTime, metrics_registry &metrics);
    ~connection_pool();

    /// @returns An idle connection of the pool, or a new one.
    result<descriptor> acquire(const endpoint &to, socket_deadline deadline, int interruptFd);
    /// @returns A new connection.
    result<descriptor> connect(const endpoint &to, socket_deadline deadline, int interruptFd);
    /// As connect(), with the way in which it failed.
    connect_result tryConnect(const endpoint &to, socket_deadline deadline, int interruptFd);
    /// @returns The most recently used idle connection; a closed descriptor if none is usable.
    descriptor acquireIdle(const endpoint &to);
    /// @param releasedBy Time by which the connection has been returned to the pool, after a reply.
    /// @param isUsable Tells whether it can be used, by its descriptor.
    /// @returns An idle connection of those.
    pooled_connection acquireOlder(const endpoint &to, socket_deadline releasedBy,
                                   const std::function<bool(int)> &isUsable);

    /// Returns a connection to the pool. Its last reply must be complete.
    /// @param idleTime Time after which the pool closes it.
    void release(const endpoint &to, descriptor connection, milliseconds idleTime);

    /// As release(), for a connection on which no reply was read since it was acquired or made.
    void releaseUnused(const endpoint &to, descriptor connection, milliseconds idleTime);

    /// Closes the idle connections. Connections returned later are closed.
    void stop();

private:
    struct idle_connection
    {
        descriptor connection;
        socket_deadline answeredBy; ///< Maximum: no reply is known.
        socket_deadline expires;
    };

    void keep(const endpoint &to, idle_connection connection);
    void dropExpired(socket_deadline now);

    const std::size_t idlePerTarget;
    const milliseconds connectTime;
    counter &connects;
    counter &reuses;
    gauge &idleCount;
    std::mutex guard;
    std::map<endpoint, std::vector<idle_connection>> idle; ///< Most recently used last.
    socket_deadline nextSweep{};
    bool isStopped = false;
};

} // namespace poplarspool
