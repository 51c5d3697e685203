#pragma once

namespace poplarspool::app {

/// Sets up signal handling and memory arenas for the commands that run a server.
/// @attention Call before any thread is started.
void prepareProcess();

} // namespace poplarspool::app
