#include "poplarspool/base/named_thread.h"

#include <atomic>
#include <cstdlib>
#include <cxxabi.h>
#include <exception>
#include <memory>
#include <typeinfo>
#include <utility>

namespace poplarspool {

namespace {

constexpr std::string_view unnamed = "unnamed";

thread_local std::string ownName;

std::atomic<journal *> uncaughtTo{nullptr};
std::terminate_handler handlerBefore = nullptr;

std::string readable(const char *mangled)
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
    } catch (const std::exception &known) {
        return known.what();
    } catch (...) {
        return "not a standard exception";
    }
}

/// Logs the exception that is being handled.
void logException(journal &events, std::string_view kind)
{
    const std::type_info *type = abi::__cxa_current_exception_type();
    events.emit(kind,
                {{"thread", std::string(threadName())},
                 {"type", type == nullptr ? "" : readable(type->name())},
                 {"reason", reasonOf(std::current_exception())}});
}

void logAndEnd()
{
    journal *events = uncaughtTo.exchange(nullptr);
    if (events != nullptr && std::current_exception())
        logException(*events, "uncaught_exception");
    handlerBefore();
}

} // namespace

std::thread startNamed(std::string name, std::function<void()> run)
{
    return std::thread([name = std::move(name), run = std::move(run)] {
        nameThisThread(name);
        run();
    });
}

void nameThisThread(std::string name)
{
    ownName = std::move(name);
}

std::string_view threadName()
{
    return ownName.empty() ? unnamed : std::string_view(ownName);
}

step_faults stepFaultsOf(journal &events, metrics_registry &metrics)
{
    return {&events, metrics.counterOf("poplarspool_steps_failed_total")};
}

void noteFailedStep(const step_faults &faults) noexcept
{
    faults.failed.add();
    try {
        if (faults.events != nullptr)
            logException(*faults.events, "step_failed");
    } catch (...) { // NOLINT(bugprone-empty-catch): out of memory; the step is counted.
    }
}

uncaught_log::uncaught_log(journal &events)
{
    uncaughtTo = &events;
    handlerBefore = std::set_terminate(logAndEnd);
}

uncaught_log::~uncaught_log()
{
    std::set_terminate(handlerBefore);
    uncaughtTo = nullptr;
}

} // namespace poplarspool
