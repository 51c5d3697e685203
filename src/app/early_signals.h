#pragma once

/// SIGHUP before the program handles it. Its default action ends the process, and the platform
/// sends it to processes that have just been started. It is blocked before the libraries are
/// initialized and stays pending.
namespace poplarspool::app {

/// To be called by commands that run no server: SIGHUP ends them, as usual.
void unblockReloadSignal();

} // namespace poplarspool::app
