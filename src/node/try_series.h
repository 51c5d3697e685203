#pragma once

#include "node/sent_work_table.h"
#include "poplarspool/base/clock.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/node/view_publisher.h"
#include "poplarspool/policy/retry.h"
#include "poplarspool/policy/routing.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

/// The tries of one request: which runner each is sent to, and whether a failed one is followed by
/// another.
namespace poplarspool::node {

/// An admitted request with the ruling of the rules on it.
struct admitted_request
{
    policy::view_ptr view; ///< The view under which it was admitted.
    policy::request_facts facts;
    policy::effective_rules ruling;
    mono_time deadline{};
};

/// The runner chosen for one try.
struct chosen_runner
{
    policy::view_ptr view; ///< The view under which the runner was chosen.
    runner_handle runner;
    std::shared_ptr<open_work> work; ///< Counts the try while it is open.

    const policy::runner_spec &spec() const { return view->fleet->runners[runner.index]; }
};

/// Chooses runners for all requests of this instance.
class dispatcher
{
public:
    dispatcher(view_publisher &views, sent_work_table &sentWork, const clock_source &clock,
               metrics_registry &metrics, journal &events);

    /// Chooses a runner that is open for work at the time of the choice, and counts the try as sent
    /// to it.
    result<chosen_runner> choose(policy::route_request wanted,
                                 const std::vector<runner_handle> &avoid);
    /// Logs the failure, and ejects a runner that can't be reached: it is not chosen for a while.
    void recordFailure(const chosen_runner &choice, const request_id &request,
                       const error &failure);

    policy::view_ptr current() const { return views.current(); }
    mono_time now() const { return clock.mono(); }
    /// @returns A number that differs between requests, to distribute them among equally ranked
    ///          runners.
    std::uint64_t nextTieBreaker() { return tieBreaker.fetch_add(1, std::memory_order_relaxed); }

    policy::retry_budget retries;
    counter &retried;

private:
    result<chosen_runner> chooseFrom(const policy::view_ptr &now,
                                     const policy::route_request &wanted);
    bool isStillOpen(const chosen_runner &choice) const;

    view_publisher &views;
    sent_work_table &sentWork;
    clock_source clock;
    journal &events;
    std::atomic<std::uint64_t> tieBreaker{0};
};

/// Whether the caller has received part of its answer and must be sent the remainder.
enum class response_progress { NotStarted, PartlySent };

class try_series
{
public:
    try_series(dispatcher &dispatch, const admitted_request &admission, request_id request);

    /// @returns The runner of the next try, with `wanted.timeLeft` set to the remaining time; or
    ///          the request's final error, whose verdict covers all tries so far.
    result<chosen_runner> next(policy::route_request &wanted);

    /// Records a failed try.
    /// @returns The request's final error; none if another try may follow.
    /// @attention Sleeps before a try that completes a partly sent stream although the retry budget
    ///            is used up.
    std::optional<error> onFailure(const chosen_runner &choice, const error &failure,
                                   response_progress progress);

    bool isFirst() const { return triesMade == 0; }
    /// @returns Whether a runner may have started to execute this request.
    bool mayHaveStarted() const { return hasStarted; }
    /// Allows runners that failed before to be chosen again.
    void clearAvoided() { avoid.clear(); }

private:
    error verdictOf(error failure) const;
    milliseconds timeLeft() const;

    dispatcher &dispatch;
    const admitted_request &admission;
    request_id request;
    std::uint32_t triesMade = 0;
    bool hasStarted = false;
    std::vector<runner_handle> avoid;
    /// The fleet to which the handles in `avoid` belong.
    std::shared_ptr<const policy::inventory> avoidFleet;
};

} // namespace poplarspool::node
