#include "poplarspool/base/named_thread.h"

#include "poplarspool/base/limits.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <cxxabi.h>
#include <exception>
#include <memory>
#include <typeinfo>
#include <utility>

namespace poplarspool {

namespace {

constexpr std::string_view unnamed = "unnamed";
constexpr std::chrono::milliseconds linePollInterval{5};

thread_local std::string currentThreadName;

std::atomic<const journal *> uncaughtLog{nullptr};
std::atomic<bool> isLineWritten{false};
thread_local bool isWritingLine = false; ///< Stays true if writing the line throws.
std::atomic<std::terminate_handler> previousHandler{std::abort};

std::string demangle(const char *mangled)
{
    int status = 0;
    const std::unique_ptr<char, void (*)(void *)> name(
            abi::__cxa_demangle(mangled, nullptr, nullptr, &status), std::free);
    return status == 0 ? name.get() : mangled;
}

std::string reasonOf(const std::exception_ptr &thrown)
{
    try {
        std::rethrow_exception(thrown);
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "not a standard exception";
    }
}

/// @returns The log fields of the currently handled exception.
std::vector<event_field> currentExceptionFields()
{
    const std::type_info *type = abi::__cxa_current_exception_type();
    return {{"thread", std::string(threadName())},
            {"type", type == nullptr ? "" : demangle(type->name())},
            {"reason", reasonOf(std::current_exception())}};
}

void logUncaught(const journal &events)
{
    if (std::current_exception())
        events.emitLast("uncaught_exception", currentExceptionFields());
}

/// Waits while another thread writes the final log line. Terminating the process now would lose it.
void waitForFinalLine()
{
    const auto end = std::chrono::steady_clock::now() + config::finalLogLineTimeout;
    while (!isLineWritten && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(linePollInterval);
}

void logAndTerminate()
{
    const journal *events = uncaughtLog.exchange(nullptr);
    if (events != nullptr) {
        isWritingLine = true;
        try {
            logUncaught(*events);
        } catch (...) {
            // The process terminates anyway.
        }
        isLineWritten = true;
    } else if (!isWritingLine) {
        waitForFinalLine();
    }
    previousHandler.load()();
}

} // namespace

std::thread startNamedThread(std::string name, std::function<void()> run)
{
    return std::thread([name = std::move(name), run = std::move(run)] {
        setThreadName(name);
        run();
    });
}

void setThreadName(std::string name)
{
    currentThreadName = std::move(name);
}

std::string_view threadName()
{
    return currentThreadName.empty() ? unnamed : std::string_view(currentThreadName);
}

step_failure_reporter stepFailureReporterOf(journal &events, metrics_registry &metrics)
{
    return {&events, metrics.counterOf("poplarspool_steps_failed_total")};
}

void recordFailedStep(const step_failure_reporter &faults) noexcept
{
    faults.failed.add();
    try {
        if (faults.events != nullptr)
            faults.events->emit("step_failed", currentExceptionFields());
    } catch (...) { // NOLINT(bugprone-empty-catch): out of memory; the step is counted.
    }
}

uncaught_exception_logger::uncaught_exception_logger(journal &events)
{
    uncaughtLog = &events;
    // With two objects, the handler would otherwise call itself without end.
    const std::terminate_handler current = std::set_terminate(logAndTerminate);
    if (current != logAndTerminate)
        previousHandler = current;
}

uncaught_exception_logger::~uncaught_exception_logger()
{
    std::set_terminate(previousHandler);
    uncaughtLog = nullptr;
}

} // namespace poplarspool
