#pragma once

#include "poplarspool/base/endpoint.h"

#include <string>

namespace poplarspool::soak {

struct runner_options
{
    std::string id;
    endpoint at; ///< Waited for if it is in use.
    /// A process for each connection, and one that listens.
    bool hasProcesses = false;
    /// Whether the process that listens goes on to serve after SIGUSR1; otherwise it only listens.
    bool servesOn = false;
};

/// Runs this process as a runner that answers as requests say, until a signal ends it: SIGTERM in
/// the middle of its answers; SIGUSR1 kills the processes of its connections, and the one that
/// listens outlives them; SIGHUP kills every second one of them; after SIGUSR2 it says that it
/// leaves. Prints a line as each answer begins and ends.
[[noreturn]] void runAsRunner(const runner_options &options);

} // namespace poplarspool::soak
