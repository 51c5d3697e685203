#pragma once

/// How a process is told to end (SIGTERM or SIGINT) or to read its settings anew (SIGHUP); taken by
/// one thread.
namespace poplarspool {

enum class process_signal { End, Reload };

/// Blocks the signals that end a process in this thread and in those it starts later.
/// @attention Before any other thread starts, else the signal may end the process there.
void blockEndSignals();

/// As blockEndSignals(), and SIGHUP too: unhandled, it would end the process without a word.
void blockSignals();

/// Waits until a signal to end comes.
void waitForEndSignal();

/// Waits until any of the signals that blockSignals() has blocked comes.
process_signal waitForSignal();

} // namespace poplarspool
