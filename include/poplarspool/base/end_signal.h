#pragma once

/// How a process is told to end: SIGTERM or SIGINT, taken by one thread.
namespace poplarspool {

/// Blocks both signals in this thread and in those it starts later.
/// @attention Before any other thread starts, else the signal may end the process there.
void blockEndSignals();

/// Waits until one of them comes.
void waitForEndSignal();

} // namespace poplarspool
