#include "poplarspool/base/end_signal.h"

#include <csignal>

namespace poplarspool {

namespace {

sigset_t endSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockEndSignals()
{
    const sigset_t signals = endSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForEndSignal()
{
    const sigset_t signals = endSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace poplarspool
