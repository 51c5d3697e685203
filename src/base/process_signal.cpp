#include "poplarspool/base/process_signal.h"

#include <csignal>

namespace poplarspool {

namespace {

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

sigset_t allSignals()
{
    sigset_t signals = terminationSignals();
    sigaddset(&signals, SIGHUP);
    return signals;
}

int waitForAny(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
    return signal;
}

} // namespace

void blockTerminationSignals()
{
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void blockSignals()
{
    const sigset_t signals = allSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForTerminationSignal()
{
    waitForAny(terminationSignals());
}

process_signal waitForSignal()
{
    return waitForAny(allSignals()) == SIGHUP ? process_signal::Reload : process_signal::Terminate;
}

} // namespace poplarspool
