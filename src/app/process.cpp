#include "app/process.h"

#include "poplarspool/base/process_memory.h"
#include "poplarspool/base/process_signal.h"

#include <csignal>

namespace poplarspool::app {

void prepareProcess()
{
    blockSignals();
    // When a caller disconnects during a write, only that write must fail; by default SIGPIPE would
    // end the process.
    std::signal(SIGPIPE, SIG_IGN);
    limitRetainedMemory();
}

} // namespace poplarspool::app
