#include "app/process.h"

#include "poplarspool/base/process_signal.h"

#include <csignal>
#include <malloc.h>

namespace poplarspool::app {

namespace {

/// Limits the number of malloc arenas. Each arena retains the memory that its threads freed, and
/// with one thread per connection glibc would create many arenas.
constexpr int mallocArenas = 2;

} // namespace

void prepareProcess()
{
    blockSignals();
    // When a caller disconnects during a write, only that write must fail; by default SIGPIPE would
    // end the process.
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_ARENA_MAX, mallocArenas);
}

} // namespace poplarspool::app
