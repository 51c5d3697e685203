#include "app/early_signals.h"

#include <csignal>
#include <sys/syscall.h>
#include <unistd.h>

namespace poplarspool::app {

namespace {

/// The kernel's signal mask has one bit a signal.
constexpr unsigned long reloadMask = 1UL << (SIGHUP - 1);

/// No library is initialized yet, so the system call is made directly.
void changeMask(int how)
{
    syscall(SYS_rt_sigprocmask, how, &reloadMask, nullptr, sizeof reloadMask);
}

void blockReloadSignal()
{
    changeMask(SIG_BLOCK);
}

/// Run by the dynamic loader before the initializers of all libraries.
[[gnu::section(".preinit_array"), gnu::used]] void (*const blockAtLoad)() = blockReloadSignal;

} // namespace

void unblockReloadSignal()
{
    changeMask(SIG_UNBLOCK);
}

} // namespace poplarspool::app
