#pragma once

#include "poplarspool/policy/routing.h"
#include "poplarspool/policy/view.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

/// Counts what this instance has sent to each runner, because a load report lags behind it: without
/// the correction a burst would all go to the runner that was emptiest when it last reported.
namespace poplarspool::node {

/// Work sent to one runner. Shared by ledgers of successive fleets, so that a request which ends
/// after a change of the inventory is counted where it began.
struct ledger_slot
{
    std::atomic<std::uint32_t> open{0};
    /// Requests that were chosen for this runner and have not heard from it yet: they may still be
    /// on their way to it.
    std::atomic<std::uint32_t> unanswered{0};
    std::atomic<std::uint64_t> sent{0}; ///< Requests, since ever.
    std::atomic<std::uint64_t> sentTokens{0}; ///< Prompt tokens, since ever.
    std::atomic<std::uint64_t> sentAtReport{0}; ///< `sent` when the last report came.
    std::atomic<std::uint64_t> tokensAtReport{0};
    std::atomic<std::int64_t> avoidUntilNs{0}; ///< Monotonic; after a refused connection.
};

using slot_ptr = std::shared_ptr<ledger_slot>;

/// One open request at one runner; closes its entry when it goes out of scope.
class open_work
{
public:
    open_work(slot_ptr slot, std::uint32_t promptTokens);
    ~open_work();
    open_work(const open_work &) = delete;
    open_work &operator=(const open_work &) = delete;

    /// The runner has answered something: nothing of this request is on its way to it any more.
    void onAnswer();

private:
    slot_ptr slot;
    std::atomic<bool> isAnswered{false};
};

class work_ledger
{
public:
    /// @returns Slots in the order of the view's fleet; made anew where the fleet has changed.
    std::shared_ptr<const std::vector<slot_ptr>> slotsOf(const policy::view &now);

    /// Fills one entry per runner of the view.
    void snapshot(const policy::view &now, std::vector<policy::sent_work> &into);

    /// A report of that runner has come: later sends count as not yet seen by it.
    void onReport(const policy::view &now, runner_handle runner);

    slot_ptr slotOf(const policy::view &now, runner_handle runner);

    /// @returns Whether a request may still be on its way to a runner that the view has closed for
    ///          new work.
    bool hasWorkOnItsWayToClosed(const policy::view &now);

private:
    struct slot_table
    {
        std::shared_ptr<const policy::inventory> fleet;
        std::shared_ptr<const std::vector<slot_ptr>> slots;
    };

    std::shared_ptr<const slot_table> tableOf(const policy::view &now);

    std::atomic<std::shared_ptr<const slot_table>> table;
    std::mutex buildLock;
};

} // namespace poplarspool::node
