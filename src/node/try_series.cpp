#include "node/try_series.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/node/limits.h"
#include "poplarspool/policy/limits.h"

#include <thread>

namespace poplarspool::node {

dispatcher::dispatcher(view_publisher &views, sent_work_table &sentWork, const clock_source &clock,
                       metrics_registry &metrics, journal &events)
    : retries(config::retryShare, config::retryBurst),
      retried(metrics.counterOf("poplarspool_retries_total")), views(views), sentWork(sentWork),
      clock(clock), events(events),
      // Seeded randomly: instances that started from the same number would all break ties in favour
      // of the same runners.
      tieBreaker(hashOf(randomHex128()))
{ }

result<chosen_runner> dispatcher::choose(policy::route_request wanted,
                                         const std::vector<runner_handle> &avoid)
{
    for (;;) {
        const policy::view_ptr now = views.current();
        if (!now->fleet)
            return notRun(error_code::Unavailable, "this instance has no configuration yet");
        // Admission has checked this, but retries come later, and the process may have been frozen
        // in between.
        if (!policy::isFresh(*now, clock.mono()))
            return notRun(error_code::Unavailable,
                          "this instance can't confirm that its configuration is current");
        wanted.avoid = avoid;
        result<chosen_runner> choice = chooseFrom(now, wanted);
        if (!succeeded(choice) || isStillOpen(valueOf(choice)))
            return choice;
        // The runner was closed between reading the view and counting the try: its planner may be
        // about to send it an order, which would cut the stream. Because the try is counted before
        // this check, either the check sees the closed runner, or the open try delays this
        // instance's acknowledgement.
    }
}

result<chosen_runner> dispatcher::chooseFrom(const policy::view_ptr &now,
                                             const policy::route_request &wanted)
{
    thread_local std::vector<policy::sent_work> sent;
    sentWork.snapshot(*now, sent);
    policy::route_request allowed = wanted;
    const mono_time time = clock.mono();
    const auto slots = sentWork.slotsOf(*now);
    for (std::uint32_t i = 0; i < slots->size(); ++i) {
        const std::int64_t until = (*slots)[i]->ejectedUntilNs.load(std::memory_order_relaxed);
        if (until > time.time_since_epoch().count())
            allowed.avoid.push_back({i});
    }
    const auto choice = policy::route(*now, allowed, sent, time, nextTieBreaker());
    if (!succeeded(choice))
        return errorOf(choice);
    const runner_handle runner = valueOf(choice).runner;
    auto work = std::make_shared<open_work>((*slots)[runner.index], wanted.promptTokens);
    return chosen_runner{now, runner, std::move(work)};
}

bool dispatcher::isStillOpen(const chosen_runner &choice) const
{
    const policy::view_ptr now = views.current();
    return now->fleet == choice.view->fleet && policy::isOpenForWork(*now, choice.runner);
}

void dispatcher::recordFailure(const chosen_runner &choice, const request_id &request,
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
    const mono_time until = clock.mono() + config::connectFailureEjectionTime;
    sentWork.slotOf(*choice.view, choice.runner)
            ->ejectedUntilNs.store(until.time_since_epoch().count(), std::memory_order_relaxed);
}

try_series::try_series(dispatcher &dispatch, const admitted_request &admission, request_id request)
    : dispatch(dispatch), admission(admission), request(std::move(request))
{
    dispatch.retries.onRequest(admission.view->ruleSet->retryShare);
}

milliseconds try_series::timeLeft() const
{
    return std::chrono::duration_cast<milliseconds>(admission.deadline - dispatch.now());
}

/// Once a runner may have started the request, a later "not run" of another runner is not true of
/// the request as a whole.
error try_series::verdictOf(error failure) const
{
    if (hasStarted)
        failure.ran = verdict::MayHaveRun;
    return failure;
}

result<chosen_runner> try_series::next(policy::route_request &wanted)
{
    const auto fleet = dispatch.current()->fleet;
    if (fleet != avoidFleet) {
        avoid.clear();
        avoidFleet = fleet;
    }
    wanted.timeLeft = timeLeft();
    if (wanted.timeLeft <= milliseconds(0))
        return verdictOf(notRun(error_code::TimedOut, "the request's time limit has passed"));
    auto choice = dispatch.choose(wanted, avoid);
    if (!succeeded(choice))
        return verdictOf(errorOf(choice));
    return choice;
}

std::optional<error> try_series::onFailure(const chosen_runner &choice, const error &failure,
                                           response_progress progress)
{
    dispatch.recordFailure(choice, request, failure);
    ++triesMade;
    hasStarted = hasStarted || failure.ran == verdict::MayHaveRun;
    const error whole = verdictOf(failure);
    const bool isRepeatable = admission.ruling.repeat == policy::retry_policy::Allowed;
    if (!policy::mayRetry(whole, isRepeatable, triesMade, timeLeft()))
        return whole;
    if (!dispatch.retries.tryTake()) {
        if (progress == response_progress::NotStarted)
            return whole;
        // When a third of the engines fail at once, the retry budget is used up immediately, and
        // refusing the try would cut an answer that its caller has received in part. The pause and
        // the limit on tries keep these retries from overloading the remaining engines.
        std::this_thread::sleep_for(config::resumeRetryPause * triesMade);
    }
    dispatch.retried.add();
    avoid.push_back(choice.runner);
    return std::nullopt;
}

} // namespace poplarspool::node
