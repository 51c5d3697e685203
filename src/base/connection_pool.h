#pragma once

#include "base/socket.h"
#include "poplarspool/base/clock.h"
#include "poplarspool/base/metrics.h"

#include <map>
#include <mutex>
#include <vector>

namespace poplarspool {

/// Connections to any number of servers, kept open between calls. May be used from any thread.
class connection_pool
{
public:
    /// @param idlePerTarget Connections kept open per server between calls.
    connection_pool(std::size_t idlePerTarget, milliseconds connectTime, metrics_registry &metrics);
    ~connection_pool();

    /// @returns A kept connection, or a new one.
    result<descriptor> take(const endpoint &to, socket_deadline deadline, int interruptFd);
    /// @returns A new connection.
    result<descriptor> connect(const endpoint &to, socket_deadline deadline, int interruptFd);
    /// @returns The kept connection that was used last; none where no usable one is kept.
    descriptor takeIdle(const endpoint &to);

    /// Keeps a connection whose last reply was whole, for at most `time`.
    void keep(const endpoint &to, descriptor connection, milliseconds time);

    /// Closes what is idle, and keeps nothing more.
    void stop();

private:
    struct idle_connection
    {
        descriptor connection;
        socket_deadline expires;
    };

    void dropExpired(socket_deadline now);

    const std::size_t idlePerTarget;
    const milliseconds connectTime;
    counter &connects;
    counter &reuses;
    gauge &idleCount;
    std::mutex guard;
    std::map<endpoint, std::vector<idle_connection>> idle; ///< Latest used last.
    socket_deadline nextSweep{};
    bool isStopped = false;
};

} // namespace poplarspool
