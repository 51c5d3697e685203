#pragma once

namespace poplarspool::app {

/// Sets up what all serving commands share: signals, memory arenas.
/// @attention Before any thread is started.
void prepareProcess();

} // namespace poplarspool::app
