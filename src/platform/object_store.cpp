#include "poplarspool/platform/object_store.h"

#include "platform/call_limiter.h"

#include "poplarspool/base/limits.h"

#include <algorithm>
#include <atomic>
#include <string_view>
#include <thread>

namespace poplarspool::platform {

namespace {

/// Minimum interval at which an object is read back after a write whose reply was lost.
constexpr milliseconds minReadBackInterval{1};

/// Whether the error is a reply of the store itself, which shows that the store is up.
bool isStoreReply(const error &fault)
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

error unconfirmedWrite(const std::string &key)
{
    return mayHaveRun(error_code::TimedOut,
                      "write of " + key + " was not confirmed before its deadline");
}

error overwritten(const std::string &key)
{
    return mayHaveRun(
            error_code::Conflict,
            key + " was changed by another writer after the reply to this write was lost");
}

} // namespace

struct object_store::state
{
    state(object_api api, limits bounds, clock_source clockSource, metrics_registry &metrics,
          journal &events)
        : api(std::move(api)), clock(std::move(clockSource)), limiter(bounds, clock),
          events(events),
          getCalls(metrics.counterOf(R"(poplarspool_store_calls_total{kind="get"})")),
          listCalls(metrics.counterOf(R"(poplarspool_store_calls_total{kind="list"})")),
          putCalls(metrics.counterOf(R"(poplarspool_store_calls_total{kind="put"})")),
          removeCalls(metrics.counterOf(R"(poplarspool_store_calls_total{kind="remove"})")),
          watchCalls(metrics.counterOf(R"(poplarspool_store_calls_total{kind="watch"})")),
          failedCalls(metrics.counterOf("poplarspool_store_failures_total")),
          refusedCalls(metrics.counterOf("poplarspool_store_refused_total")),
          lostReplies(metrics.counterOf("poplarspool_store_lost_answers_total"))
    { }

    object_api api;
    clock_source clock;
    call_limiter limiter;
    journal &events;
    counter &getCalls;
    counter &listCalls;
    counter &putCalls;
    counter &removeCalls;
    counter &watchCalls;
    counter &failedCalls;
    counter &refusedCalls;
    counter &lostReplies;
    std::atomic<std::uint64_t> calls{0};
    std::atomic<mono_time> lastReplyAt{mono_time{}};

    void onAnswer()
    {
        lastReplyAt.store(clock.mono());
        if (limiter.onAnswer())
            events.emit("store_up");
    }

    void onFailure(const call_limiter::permit &granted, const error &fault)
    {
        failedCalls.add();
        if (limiter.onFailure(granted, fault.retryAfter))
            events.emit("store_down",
                        {{"code", std::string(nameOf(fault.code))}, {"message", fault.message}});
    }

    /// Makes the call if the limiter admitted it, and counts its outcome.
    template <class Call>
    auto callOnce(const result<call_limiter::permit> &granted, counter &kind, const Call &call)
            -> decltype(call())
    {
        if (!succeeded(granted)) {
            refusedCalls.add();
            return errorOf(granted);
        }
        kind.add();
        calls.fetch_add(1, std::memory_order_relaxed);
        auto outcome = call();
        if (succeeded(outcome) || isStoreReply(errorOf(outcome)))
            onAnswer();
        else
            onFailure(valueOf(granted), errorOf(outcome));
        return outcome;
    }

    result<object> get(const result<call_limiter::permit> &granted, const std::string &key)
    {
        return callOnce(granted, getCalls, [&] { return api.get(key); });
    }

    result<std::uint64_t> put(const result<call_limiter::permit> &granted, const std::string &key,
                              const std::string &value, std::uint64_t ifVersion)
    {
        return callOnce(granted, putCalls, [&] { return api.put(key, value, ifVersion); });
    }

    /// Waits until the limiter admits calls.
    /// @param waited Increased by the wait. Its limit `maxWait` also ends the loop when a test's
    ///               clock stands still.
    /// @returns False if the wait would not end before the deadline.
    bool waitForLimiter(mono_time deadline, milliseconds &waited, milliseconds maxWait)
    {
        const milliseconds pause = std::max(minReadBackInterval, limiter.timeUntilAllowed());
        if (clock.mono() + pause >= deadline || waited + pause >= maxWait)
            return false;
        std::this_thread::sleep_for(pause);
        waited += pause;
        return true;
    }

    result<std::uint64_t> resolveLostWrite(const std::string &key, const std::string &value,
                                           std::uint64_t ifVersion, mono_time deadline);
};

// The reply to a write was lost. The request may have taken effect, may have been dropped, or may
// still be in flight and take effect later, so reading the object once does not prove that it
// never will. The cases:
// - The object holds our value: the write took effect, since the value contains our nonce.
// - The object still has `ifVersion`: the outcome is open. The same conditional write is sent
//   again. The first request to arrive wins, and the others can no longer take effect, because the
//   object's version never returns to `ifVersion`.
// - The object has another value: none of our requests can take effect any more, but one may have
//   done so and been overwritten since. This is a conflict that may have run.
result<std::uint64_t> object_store::state::resolveLostWrite(const std::string &key,
                                                            const std::string &value,
                                                            std::uint64_t ifVersion,
                                                            mono_time deadline)
{
    lostReplies.add();
    events.emit("store_answer_lost", {{"key", key}});
    const auto maxWait = std::chrono::ceil<milliseconds>(deadline - clock.mono());
    milliseconds waited{0};
    while (waitForLimiter(deadline, waited, maxWait)) {
        const auto seen = get(limiter.tryAcquireAfterWait(), key);
        if (!succeeded(seen) && errorOf(seen).code != error_code::NotFound)
            continue;
        if (succeeded(seen) && valueOf(seen).value == value)
            return valueOf(seen).version;
        const std::uint64_t version = succeeded(seen) ? valueOf(seen).version : mustNotExist;
        if (version != ifVersion)
            return overwritten(key);
        const auto again = put(limiter.tryAcquireAfterWait(), key, value, ifVersion);
        if (succeeded(again))
            return valueOf(again);
    }
    return unconfirmedWrite(key);
}

object_store::object_store(object_api api, limits bounds, clock_source clock,
                           metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(api), bounds, std::move(clock), metrics, events))
{ }

object_store::~object_store() = default;

result<object> object_store::get(const std::string &key)
{
    return inner->get(inner->limiter.tryAcquire(), key);
}

result<object_list> object_store::list(const std::string &prefix)
{
    return inner->callOnce(inner->limiter.tryAcquire(), inner->listCalls,
                           [&] { return inner->api.list(prefix); });
}

result<object_list> object_store::watch(const std::string &prefix, std::uint64_t after,
                                        milliseconds wait)
{
    return inner->callOnce(inner->limiter.tryAcquire(), inner->watchCalls,
                           [&] { return inner->api.watch(prefix, after, wait); });
}

result<std::uint64_t> object_store::put(const std::string &key, const std::string &value,
                                        std::uint64_t ifVersion, mono_time deadline)
{
    if (value.size() > config::maxObjectBytes)
        return notRun(error_code::TooLarge,
                      "value of " + key + " exceeds the maximum object size of the store");
    auto first = inner->put(inner->limiter.tryAcquire(), key, value, ifVersion);
    if (succeeded(first) || errorOf(first).ran == verdict::NotRun)
        return first;
    return inner->resolveLostWrite(key, value, ifVersion, deadline);
}

result<unit> object_store::remove(const std::string &key, std::uint64_t ifVersion)
{
    return inner->callOnce(inner->limiter.tryAcquire(), inner->removeCalls,
                           [&] { return inner->api.remove(key, ifVersion); });
}

mono_time object_store::lastReplyAt() const
{
    return inner->lastReplyAt.load();
}

std::uint64_t object_store::callsMade() const
{
    return inner->calls.load();
}

} // namespace poplarspool::platform
