#pragma once

#include "node/work_ledger.h"
#include "poplarspool/base/clock.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/node/view_hub.h"
#include "poplarspool/policy/retry.h"
#include "poplarspool/policy/routing.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

/// The tries of one request: where each goes, and whether another follows a failure.
namespace poplarspool::node {

/// A request that was let in, with what the rules say of it.
struct admitted
{
    policy::view_ptr seen; ///< The view that let it in.
    policy::request_facts facts;
    policy::request_ruling ruling;
    mono_time deadline{};
};

/// Where one try goes.
struct chosen_runner
{
    policy::view_ptr seen; ///< The view of the choice.
    runner_handle runner;
    std::shared_ptr<open_work> work; ///< Counts the try while it is open.

    const policy::runner_spec &spec() const { return seen->fleet->runners[runner.index]; }
};

/// Chooses runners for all requests of this instance.
class dispatcher
{
public:
    dispatcher(view_hub &views, work_ledger &sentWork, const clock_source &clock,
               metrics_registry &metrics, journal &events);

    /// Chooses a runner that is open for work at the moment of the choice, and counts the try in.
    result<chosen_runner> choose(policy::route_request wanted,
                                 const std::vector<runner_handle> &avoid);
    /// Writes the failure down; a runner that can't be reached gets nothing for a while.
    void noteFailure(const chosen_runner &choice, const request_id &request, const error &failure);

    policy::view_ptr current() const { return views.current(); }
    mono_time now() const { return clock.mono(); }
    /// @returns A number that differs between requests, to spread them over equals.
    std::uint64_t nextSpread() { return tieBreaker.fetch_add(1, std::memory_order_relaxed); }

    policy::retry_budget retries;
    counter &retried;

private:
    result<chosen_runner> chooseFrom(const policy::view_ptr &seen,
                                     const policy::route_request &wanted);
    bool isStillOpen(const chosen_runner &choice) const;

    view_hub &views;
    work_ledger &sentWork;
    clock_source clock;
    journal &events;
    std::atomic<std::uint64_t> tieBreaker{0};
};

/// Whether the caller has a part of its answer already and is owed the rest.
enum class rest { NotBegun, Owed };

class try_series
{
public:
    try_series(dispatcher &dispatch, const admitted &admission, request_id request);

    /// @returns Where the next try goes, with `wanted.timeLeft` set to what is left; or how the
    ///          request ends, its verdict true of all tries so far.
    result<chosen_runner> next(policy::route_request &wanted);

    /// Takes in that a try failed.
    /// @returns How the request ends; none where another try may follow.
    /// @attention Pauses before the rest of a stream is tried again without a retry in the budget.
    std::optional<error> onFailure(const chosen_runner &choice, const error &failure,
                                   rest progress);

    bool isFirst() const { return triesMade == 0; }
    /// @returns Whether a runner may have begun this request.
    bool mayHaveBegun() const { return hasStarted; }
    /// Lets runners that failed before be chosen again.
    void forgetFailures() { avoid.clear(); }

private:
    error verdictOf(error failure) const;
    milliseconds timeLeft() const;

    dispatcher &dispatch;
    const admitted &admission;
    request_id request;
    std::uint32_t triesMade = 0;
    bool hasStarted = false;
    std::vector<runner_handle> avoid;
    std::shared_ptr<const policy::inventory> avoidFleet; ///< To which the handles belong.
};

} // namespace poplarspool::node
