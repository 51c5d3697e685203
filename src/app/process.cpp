#include "app/process.h"

#include "poplarspool/base/end_signal.h"

#include <csignal>
#include <malloc.h>

namespace poplarspool::app {

namespace {

/// Each arena keeps the memory that its threads freed; with a thread per connection there would be
/// many.
constexpr int mallocArenas = 2;

} // namespace

void prepareProcess()
{
    blockSignals();
    // A caller that goes away in the middle of a write must cost that write only, not the process.
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_ARENA_MAX, mallocArenas);
}

} // namespace poplarspool::app
