#include "poplarspool/base/named_thread.h"

#include "poplarspool/config.h"

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
constexpr std::chrono::milliseconds lineLookTime{5};

thread_local std::string ownName;

std::atomic<const journal *> uncaughtTo{nullptr};
std::atomic<bool> isLineWritten{false};
thread_local bool isWritingLine = false; ///< Also where that ends by an exception itself.
std::atomic<std::terminate_handler> handlerBefore{std::abort};

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

/// Of the exception that is being handled.
std::vector<event_field> fieldsOfException()
{
    const std::type_info *type = abi::__cxa_current_exception_type();
    return {{"thread", std::string(threadName())},
            {"type", type == nullptr ? "" : readable(type->name())},
            {"reason", reasonOf(std::current_exception())}};
}

void logUncaught(const journal &events)
{
    if (std::current_exception())
        events.emitLast("uncaught_exception", fieldsOfException());
}

/// Another thread is about to end the process: ended by this one, its line would be lost.
void awaitLine()
{
    const auto end = std::chrono::steady_clock::now() + config::lastLineTime;
    while (!isLineWritten && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(lineLookTime);
}

void logAndEnd()
{
    const journal *events = uncaughtTo.exchange(nullptr);
    if (events != nullptr) {
        isWritingLine = true;
        try {
            logUncaught(*events);
        } catch (...) {
            // The process ends all the same.
        }
        isLineWritten = true;
    } else if (!isWritingLine) {
        awaitLine();
    }
    handlerBefore.load()();
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
            faults.events->emit("step_failed", fieldsOfException());
    } catch (...) { // NOLINT(bugprone-empty-catch): out of memory; the step is counted.
    }
}

uncaught_log::uncaught_log(journal &events)
{
    uncaughtTo = &events;
    // With two of these, the handler would else call itself for ever.
    const std::terminate_handler before = std::set_terminate(logAndEnd);
    if (before != logAndEnd)
        handlerBefore = before;
}

uncaught_log::~uncaught_log()
{
    std::set_terminate(handlerBefore);
    uncaughtTo = nullptr;
}

} // namespace poplarspool
