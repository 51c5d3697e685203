#pragma once

#include "poplarspool/base/clock.h"

#include <atomic>
#include <csignal>
#include <ctime>

namespace poplarspool::node {

/// Aborts the calling thread's connection at a given time, whatever the thread is doing.
///
/// Checking the time before a send is not enough: the process can be stopped after the check and
/// send when it is resumed, long after its authority to send has expired. Therefore a
/// CLOCK_BOOTTIME timer signals the thread itself, so that the signal handler runs before the
/// thread continues; the handler aborts the adopted connection. The connection is aborted rather
/// than shut down, because bytes already queued are still sent after a shutdown.
///
/// @attention Only for the thread that creates it; one per thread at a time. Bytes that have left
///            the machine can still arrive; TCP_USER_TIMEOUT limits for how long TCP tries to
///            deliver them.
class order_guard
{
public:
    /// @param end Time on systemClock(), the machine's monotonic clock.
    explicit order_guard(mono_time end);
    ~order_guard();
    order_guard(const order_guard &) = delete;
    order_guard &operator=(const order_guard &) = delete;

    /// @returns The guard of the calling thread; nullptr if there is none.
    static order_guard *current();

    /// Guards a connection and limits the time for its delivery.
    /// @returns False if the end has passed: nothing may be sent.
    bool adopt(int socket);
    /// Must be called before the connection is closed.
    void release();
    bool hasEnded() const { return ended.load(); }

private:
    static void onSignal(int signal, siginfo_t *info, void *context);
    bool startTimer(mono_time end);
    void abortConnection();

    std::atomic<bool> ended{false};
    std::atomic<int> connection{-1};
    timer_t timer{};
    bool hasTimer = false;
};

} // namespace poplarspool::node
