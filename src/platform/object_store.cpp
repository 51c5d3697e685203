#include "poplarspool/platform/object_store.h"

#include "platform/call_gate.h"

#include "poplarspool/config.h"

#include <algorithm>
#include <atomic>
#include <string_view>
#include <thread>

namespace poplarspool::platform {

namespace {

/// Shortest pause between two looks after a write whose answer was lost.
constexpr milliseconds settlePause{1};

/// Whether the store itself spoke, so that it is up.
bool isAnswer(const error &fault)
{
    switch (fault.code) {
    case error_code::NotFound:
    case error_code::Conflict:
    case error_code::TooLarge:
    case error_code::BadRequest:
        return true;
    default:
        return false;
    }
}

error undecided(const std::string &key)
{
    return mayHaveRun(error_code::TimedOut, "no answer to the write of " + key + " in time");
}

error overtaken(const std::string &key)
{
    return mayHaveRun(error_code::Conflict,
                      key + " was changed while the answer to its write was lost");
}

} // namespace

struct object_store::state
{
    state(object_api api, limits bounds, clock_source clockSource, metrics_registry &metrics,
          journal &events)
        : api(std::move(api)), clock(std::move(clockSource)), gate(bounds, clock), events(events),
          getCalls(metrics.counterOf(R"(poplarspool_store_calls_total{kind="get"})")),
          listCalls(metrics.counterOf(R"(poplarspool_store_calls_total{kind="list"})")),
          putCalls(metrics.counterOf(R"(poplarspool_store_calls_total{kind="put"})")),
          removeCalls(metrics.counterOf(R"(poplarspool_store_calls_total{kind="remove"})")),
          watchCalls(metrics.counterOf(R"(poplarspool_store_calls_total{kind="watch"})")),
          failedCalls(metrics.counterOf("poplarspool_store_failures_total")),
          refusedCalls(metrics.counterOf("poplarspool_store_refused_total")),
          lostAnswers(metrics.counterOf("poplarspool_store_lost_answers_total"))
    { }

    object_api api;
    clock_source clock;
    call_gate gate;
    journal &events;
    counter &getCalls;
    counter &listCalls;
    counter &putCalls;
    counter &removeCalls;
    counter &watchCalls;
    counter &failedCalls;
    counter &refusedCalls;
    counter &lostAnswers;
    std::atomic<std::uint64_t> calls{0};
    std::atomic<mono_time> answeredAt{mono_time{}};

    void onAnswer()
    {
        answeredAt.store(clock.mono());
        if (gate.onAnswer())
            events.emit("store_up");
    }

    void onFailure(const call_gate::pass &entered, const error &fault)
    {
        failedCalls.add();
        if (gate.onFailure(entered, fault.retryAfter))
            events.emit("store_down",
                        {{"code", std::string(nameOf(fault.code))}, {"message", fault.message}});
    }

    /// One call that the gate has let through, or not.
    template <class Call>
    auto callOnce(const result<call_gate::pass> &entered, counter &kind, const Call &call)
            -> decltype(call())
    {
        if (!succeeded(entered)) {
            refusedCalls.add();
            return errorOf(entered);
        }
        kind.add();
        calls.fetch_add(1, std::memory_order_relaxed);
        auto outcome = call();
        if (succeeded(outcome) || isAnswer(errorOf(outcome)))
            onAnswer();
        else
            onFailure(valueOf(entered), errorOf(outcome));
        return outcome;
    }

    result<object> get(const result<call_gate::pass> &entered, const std::string &key)
    {
        return callOnce(entered, getCalls, [&] { return api.get(key); });
    }

    result<std::uint64_t> put(const result<call_gate::pass> &entered, const std::string &key,
                              const std::string &value, std::uint64_t ifVersion)
    {
        return callOnce(entered, putCalls, [&] { return api.put(key, value, ifVersion); });
    }

    /// Waits until the gate lets calls through.
    /// @param waited Grows by the wait; `bound` holds for it also where a test's clock stands.
    /// @returns False where that is not before the deadline.
    bool waitForGate(mono_time deadline, milliseconds &waited, milliseconds bound)
    {
        const milliseconds pause = std::max(settlePause, gate.timeLeft());
        if (clock.mono() + pause >= deadline || waited + pause >= bound)
            return false;
        std::this_thread::sleep_for(pause);
        waited += pause;
        return true;
    }

    result<std::uint64_t> settleLostWrite(const std::string &key, const std::string &value,
                                          std::uint64_t ifVersion, mono_time deadline);
};

// The answer to a write was lost. The request may have taken effect, may have been dropped, or may
// still be on its way and take effect later, so that no single look at the object proves that it
// never will. What does:
// - The object holds our value: it took effect (the value carries our nonce).
// - The object still has `ifVersion`: nothing is decided. The same conditional write is sent again;
//   whichever of the copies comes first wins, and the others can't take effect any more, because
//   the object's version never returns to `ifVersion`.
// - The object has moved on to another value: no copy of ours can take effect any more, but one may
//   have done so and been overwritten since. That is a conflict, and it may have run.
result<std::uint64_t> object_store::state::settleLostWrite(const std::string &key,
                                                           const std::string &value,
                                                           std::uint64_t ifVersion,
                                                           mono_time deadline)
{
    lostAnswers.add();
    events.emit("store_answer_lost", {{"key", key}});
    const auto bound = std::chrono::ceil<milliseconds>(deadline - clock.mono());
    milliseconds waited{0};
    while (waitForGate(deadline, waited, bound)) {
        const auto seen = get(gate.enterAfterWait(), key);
        if (!succeeded(seen) && errorOf(seen).code != error_code::NotFound)
            continue;
        if (succeeded(seen) && valueOf(seen).value == value)
            return valueOf(seen).version;
        const std::uint64_t version = succeeded(seen) ? valueOf(seen).version : mustNotExist;
        if (version != ifVersion)
            return overtaken(key);
        const auto again = put(gate.enterAfterWait(), key, value, ifVersion);
        if (succeeded(again))
            return valueOf(again);
    }
    return undecided(key);
}

object_store::object_store(object_api api, limits bounds, clock_source clock,
                           metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(api), bounds, std::move(clock), metrics, events))
{ }

object_store::~object_store() = default;

result<object> object_store::get(const std::string &key)
{
    return inner->get(inner->gate.enter(), key);
}

result<object_list> object_store::list(const std::string &prefix)
{
    return inner->callOnce(inner->gate.enter(), inner->listCalls,
                           [&] { return inner->api.list(prefix); });
}

result<object_list> object_store::watch(const std::string &prefix, std::uint64_t after,
                                        milliseconds wait)
{
    return inner->callOnce(inner->gate.enter(), inner->watchCalls,
                           [&] { return inner->api.watch(prefix, after, wait); });
}

result<std::uint64_t> object_store::put(const std::string &key, const std::string &value,
                                        std::uint64_t ifVersion, mono_time deadline)
{
    if (value.size() > config::maxObjectBytes)
        return notRun(error_code::TooLarge, "value of " + key + " is above the store's limit");
    auto first = inner->put(inner->gate.enter(), key, value, ifVersion);
    if (succeeded(first) || errorOf(first).ran == verdict::NotRun)
        return first;
    return inner->settleLostWrite(key, value, ifVersion, deadline);
}

result<unit> object_store::remove(const std::string &key, std::uint64_t ifVersion)
{
    return inner->callOnce(inner->gate.enter(), inner->removeCalls,
                           [&] { return inner->api.remove(key, ifVersion); });
}

mono_time object_store::lastAnswer() const
{
    return inner->answeredAt.load();
}

std::uint64_t object_store::callsMade() const
{
    return inner->calls.load();
}

} // namespace poplarspool::platform
