#pragma once

#include "poplarspool/base/clock.h"

#include <atomic>
#include <csignal>
#include <ctime>

namespace poplarspool::node {

/// Ends what the thread that made it may send, at a point in time, whatever the thread is doing.
///
/// A check of the time before a send leaves a hole: the process can be stopped after the check and
/// send when it is woken, long after its authority has lapsed. A timer on CLOCK_BOOTTIME is aimed
/// at this very thread, so that its signal is handled before the thread runs on: the handler
/// aborts the connection that was adopted. It is aborted, not shut down, because bytes that are
/// already queued still leave after a shutdown.
///
/// @attention For the thread that makes it only, one at a time. What has left the machine can still
///            arrive: TCP_USER_TIMEOUT bounds for how long TCP tries to deliver it.
class order_guard
{
public:
    /// @param end On the machine's monotonic clock, systemClock().
    explicit order_guard(mono_time end);
    ~order_guard();
    order_guard(const order_guard &) = delete;
    order_guard &operator=(const order_guard &) = delete;

    /// @returns The guard of the calling thread; nullptr where there is none.
    static order_guard *current();

    /// Puts a connection under the guard and bounds its delivery.
    /// @returns False where the time is over: nothing may be sent.
    bool adopt(int socket);
    /// Has to come before the connection is closed.
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
