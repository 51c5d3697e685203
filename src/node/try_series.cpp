#include "node/try_series.h"

#include "poplarspool/base/hash.h"

#include <thread>

namespace poplarspool::node {

dispatcher::dispatcher(view_hub &views, work_ledger &ledger, const clock_source &clock,
                       metrics_registry &metrics, journal &events)
    : retries(config::retryShare, config::retryBurst),
      retried(metrics.counterOf("poplarspool_retries_total")), views(views), ledger(ledger),
      clock(clock), events(events),
      // Instances that began at the same number would all break ties towards the same runners.
      spread(hashOf(randomHex128()))
{ }

result<chosen_runner> dispatcher::choose(policy::route_request wanted,
                                         const std::vector<runner_handle> &avoid)
{
    for (;;) {
        const policy::view_ptr seen = views.current();
        if (!seen->fleet)
            return notRun(error_code::Unavailable, "no configuration yet");
        // Admission has looked already; but retries come later, and a process may have been frozen
        // in between.
        if (!policy::isFresh(*seen, clock.mono()))
            return notRun(error_code::Unavailable, "this instance can't confirm its configuration");
        wanted.avoid = avoid;
        result<chosen_runner> choice = chooseFrom(seen, wanted);
        if (!succeeded(choice) || isStillOpen(valueOf(choice)))
            return choice;
        // The runner was closed between the look and the choice: its planner may be about to order
        // it, and the stream would be cut. Counted in before this check, the try either sees the
        // closed runner here or holds this instance's acknowledgement back.
    }
}

result<chosen_runner> dispatcher::chooseFrom(const policy::view_ptr &seen,
                                             const policy::route_request &wanted)
{
    thread_local std::vector<policy::sent_work> sent;
    ledger.snapshot(*seen, sent);
    policy::route_request allowed = wanted;
    const mono_time time = clock.mono();
    const auto slots = ledger.slotsOf(*seen);
    for (std::uint32_t i = 0; i < slots->size(); ++i) {
        const std::int64_t until = (*slots)[i]->avoidUntilNs.load(std::memory_order_relaxed);
        if (until > time.time_since_epoch().count())
            allowed.avoid.push_back({i});
    }
    const auto choice = policy::route(*seen, allowed, sent, time, nextSpread());
    if (!succeeded(choice))
        return errorOf(choice);
    const runner_handle runner = valueOf(choice).runner;
    auto work = std::make_shared<open_work>((*slots)[runner.index], wanted.promptTokens);
    return chosen_runner{seen, runner, std::move(work)};
}

bool dispatcher::isStillOpen(const chosen_runner &choice) const
{
    const policy::view_ptr now = views.current();
    return now->fleet == choice.seen->fleet && policy::isOpenForWork(*now, choice.runner);
}

void dispatcher::noteFailure(const chosen_runner &choice, const request_id &request,
                             const error &failure)
{
    events.emit("try_failed",
                {{"request", request.text},
                 {"runner", choice.spec().id.text},
                 {"code", std::string(nameOf(failure.code))},
                 {"verdict", std::string(nameOf(failure.ran))},
                 {"reason", failure.message}});
    if (failure.code != error_code::Unavailable)
        return;
    const mono_time until = clock.mono() + config::avoidTime;
    ledger.slotOf(*choice.seen, choice.runner)
            ->avoidUntilNs.store(until.time_since_epoch().count(), std::memory_order_relaxed);
}

try_series::try_series(dispatcher &where, const admitted &pass, request_id request)
    : where(where), pass(pass), request(std::move(request))
{
    where.retries.onRequest(pass.seen->book->retryShare);
}

milliseconds try_series::timeLeft() const
{
    return std::chrono::duration_cast<milliseconds>(pass.deadline - where.now());
}

/// Once a runner may have begun the request, no later "not run" of another one is true of the
/// whole.
error try_series::verdictOf(error failure) const
{
    if (hasBegun)
        failure.ran = verdict::MayHaveRun;
    return failure;
}

result<chosen_runner> try_series::next(policy::route_request &wanted)
{
    const auto fleet = where.current()->fleet;
    if (fleet != avoidFleet) {
        avoid.clear();
        avoidFleet = fleet;
    }
    wanted.timeLeft = timeLeft();
    if (wanted.timeLeft <= milliseconds(0))
        return verdictOf(notRun(error_code::TimedOut, "the time limit has passed"));
    auto choice = where.choose(wanted, avoid);
    if (!succeeded(choice))
        return verdictOf(errorOf(choice));
    return choice;
}

std::optional<error> try_series::onFailure(const chosen_runner &choice, const error &failure,
                                           rest owed)
{
    where.noteFailure(choice, request, failure);
    ++made;
    hasBegun = hasBegun || failure.ran == verdict::MayHaveRun;
    const error whole = verdictOf(failure);
    const bool isRepeatable = pass.ruling.repeat == policy::repeat_rule::Allowed;
    if (!policy::mayRetry(whole, isRepeatable, made, timeLeft()))
        return whole;
    if (!where.retries.tryTake()) {
        if (owed == rest::NotBegun)
            return whole;
        // When a third of the engines vanish, the budget is used up at once, and refusing the rest
        // of a stream would cut an answer that its caller has half of. The pause, and the bound on
        // tries, keep these few from becoming a storm.
        std::this_thread::sleep_for(config::resumePause * made);
    }
    where.retried.add();
    avoid.push_back(choice.runner);
    return std::nullopt;
}

} // namespace poplarspool::node
