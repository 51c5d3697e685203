#pragma once

#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"

#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace poplarspool {

/// Starts a thread that is known by a name, such as "store_watch_config".
std::thread startNamed(std::string name, std::function<void()> run);

/// Names the calling thread, where startNamed() has not made it.
void nameThisThread(std::string name);

/// @returns The calling thread's name; "unnamed" where it was not given one.
std::string_view threadName();

/// Where steps of long-lived threads that failed are logged and counted.
struct step_faults
{
    journal *events = nullptr; ///< Null: they are only counted.
    counter &failed;
};

/// @returns One that counts them in poplarspool_steps_failed_total.
step_faults stepFaultsOf(journal &events, metrics_registry &metrics);

/// Logs and counts the exception that is being handled: `step_failed thread=… type=… reason=…`.
void noteFailedStep(const step_faults &faults) noexcept;

/// Runs one step of a long-lived thread. An exception ends the step, and neither the thread nor the
/// process.
/// @returns False where it threw. Who tries again does so after config::failedStepPause.
template <class Step>
bool contained(const step_faults &faults, Step &&step) noexcept
{
    try {
        std::forward<Step>(step)();
        return true;
    } catch (...) {
        noteFailedStep(faults);
        return false;
    }
}

/// While it lives, an exception that nobody catches is logged with its thread before it ends the
/// process: `uncaught_exception thread=… type=… reason=…`.
/// @attention One at a time.
class uncaught_log
{
public:
    /// @param events Must outlive this.
    explicit uncaught_log(journal &events);
    uncaught_log(const uncaught_log &) = delete;
    uncaught_log &operator=(const uncaught_log &) = delete;
    ~uncaught_log();
};

} // namespace poplarspool
