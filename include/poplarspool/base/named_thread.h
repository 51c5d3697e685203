#pragma once

#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"

#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace poplarspool {

/// Starts a thread with a name for logs, such as "store_watch_config".
std::thread startNamedThread(std::string name, std::function<void()> run);

/// Names the calling thread, if it was not started by startNamedThread().
void setThreadName(std::string name);

/// @returns The calling thread's name; "unnamed" if it has none.
std::string_view threadName();

/// Log and counter for failed steps of long-lived threads.
struct step_failure_reporter
{
    journal *events = nullptr; ///< If null, failures are only counted.
    counter &failed;
};

/// @returns A reporter that counts failures in poplarspool_steps_failed_total.
step_failure_reporter stepFailureReporterOf(journal &events, metrics_registry &metrics);

/// Logs and counts the currently handled exception: `step_failed thread=… type=… reason=…`.
void recordFailedStep(const step_failure_reporter &faults) noexcept;

/// Runs one step of a long-lived thread. An exception is logged and ends only the step, not the
/// thread or the process.
/// @returns False if the step threw. Before a retry, wait for config::failedStepPause.
template <class Step>
bool runLoggingExceptions(const step_failure_reporter &faults, Step &&step) noexcept
{
    try {
        std::forward<Step>(step)();
        return true;
    } catch (...) {
        recordFailedStep(faults);
        return false;
    }
}

/// During its lifetime, an uncaught exception is logged with its thread before it terminates the
/// process: `uncaught_exception thread=… type=… reason=…`.
/// @attention Only one object of this class may exist at a time.
class uncaught_exception_logger
{
public:
    /// @param events Must outlive this object.
    explicit uncaught_exception_logger(journal &events);
    uncaught_exception_logger(const uncaught_exception_logger &) = delete;
    uncaught_exception_logger &operator=(const uncaught_exception_logger &) = delete;
    ~uncaught_exception_logger();
};

} // namespace poplarspool
