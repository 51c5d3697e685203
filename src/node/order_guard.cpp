#include "node/order_guard.h"

#include "poplarspool/node/limits.h"

#include <cerrno>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>

// glibc names this member only from 2.38 on.
#ifndef sigev_notify_thread_id
#define sigev_notify_thread_id _sigev_un._tid
#endif

namespace poplarspool::node {

namespace {

// Read in a signal handler: constant initialization keeps the handler from allocating.
constinit thread_local order_guard *guardOfThread = nullptr;

int guardSignal()
{
    return SIGRTMIN + 4;
}

void unblockSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, guardSignal());
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

itimerspec timeOf(mono_time end)
{
    const auto sinceBoot = end.time_since_epoch();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(sinceBoot);
    itimerspec time{};
    time.it_value.tv_sec = seconds.count();
    time.it_value.tv_nsec = (sinceBoot - seconds).count();
    return time;
}

void abortOnClose(int socket)
{
    const linger abortive{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
}

void boundDelivery(int socket)
{
    const unsigned int time = config::orderDeliveryTimeout.count();
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &time, sizeof time);
}

} // namespace

order_guard::order_guard(mono_time end)
{
    static std::once_flag isHandled;
    std::call_once(isHandled, [] {
        struct sigaction action = {};
        action.sa_sigaction = onSignal;
        action.sa_flags = SA_SIGINFO;
        sigemptyset(&action.sa_mask);
        sigaction(guardSignal(), &action, nullptr);
    });
    guardOfThread = this;
    unblockSignal();
    // Without a timer the send can't be bounded, so nothing may be sent.
    hasTimer = startTimer(end);
    if (!hasTimer)
        ended = true;
}

order_guard::~order_guard()
{
    guardOfThread = nullptr;
    if (hasTimer)
        timer_delete(timer);
}

order_guard *order_guard::current()
{
    return guardOfThread;
}

bool order_guard::startTimer(mono_time end)
{
    sigevent event{};
    event.sigev_notify = SIGEV_THREAD_ID;
    event.sigev_signo = guardSignal();
    event.sigev_value.sival_ptr = this;
    event.sigev_notify_thread_id = gettid();
    if (timer_create(CLOCK_BOOTTIME, &event, &timer) != 0)
        return false;
    const itimerspec time = timeOf(end);
    if (timer_settime(timer, TIMER_ABSTIME, &time, nullptr) == 0)
        return true;
    timer_delete(timer);
    return false;
}

/// @attention Runs in a signal handler, which may interrupt its thread at any point.
void order_guard::onSignal(int /*signal*/, siginfo_t *info, void * /*context*/)
{
    const int savedErrno = errno;
    // A signal still pending when its guard was destroyed must not end the next guard.
    if (guardOfThread != nullptr && info->si_value.sival_ptr == guardOfThread) {
        guardOfThread->ended = true;
        guardOfThread->abortConnection();
    }
    errno = savedErrno;
}

// Connecting with AF_UNSPEC aborts a TCP connection at once: queued data is dropped, a reset is
// sent and later sends fail. The descriptor stays open, because the interrupted thread continues to
// use its number and must not hit another connection that was given the same number.
void order_guard::abortConnection()
{
    const int socket = connection.load();
    if (socket < 0)
        return;
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    std::ignore = connect(socket, &none, sizeof none);
}

bool order_guard::adopt(int socket)
{
    abortOnClose(socket);
    boundDelivery(socket);
    connection = socket;
    // Checked after the store above: a signal between the two aborts the connection itself.
    if (!ended)
        return true;
    abortConnection();
    return false;
}

void order_guard::release()
{
    connection = -1;
}

} // namespace poplarspool::node
