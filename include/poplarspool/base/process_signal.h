#pragma once

/// Signals that request termination (SIGTERM, SIGINT) or a reload of the settings (SIGHUP). They
/// are blocked in all threads and received synchronously by one.
namespace poplarspool {

enum class process_signal { Terminate, Reload };

/// Blocks SIGTERM and SIGINT in the calling thread and in threads it starts later.
/// @attention Call it before any other thread starts. A thread that doesn't block the signals may
///            receive them, which terminates the process.
void blockTerminationSignals();

/// Like blockTerminationSignals(), and also blocks SIGHUP, whose default action terminates the
/// process without a log line.
void blockSignals();

/// Waits for SIGTERM or SIGINT.
void waitForTerminationSignal();

/// Waits for any of the signals that blockSignals() blocks.
process_signal waitForSignal();

} // namespace poplarspool
