#pragma once

#include "poplarspool/policy/routing.h"
#include "poplarspool/policy/view.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

/// Counts the work that this instance has sent to each runner, because load reports lag behind it.
/// Without this correction all requests of a burst would be sent to the runner that was least
/// loaded at its last report.
namespace poplarspool::node {

/// Work sent to one runner. Shared by the tables of successive fleets, so that a request which ends
/// after a change of the inventory is counted at the slot where it started.
struct sent_work_slot
{
    std::atomic<std::uint32_t> open{0};
    /// Requests for which this runner was chosen and that it has not answered yet: they may still
    /// be in transit.
    std::atomic<std::uint32_t> unanswered{0};
    std::atomic<std::uint64_t> sent{0}; ///< Requests, since the slot was created.
    std::atomic<std::uint64_t> sentTokens{0}; ///< Prompt tokens, since the slot was created.
    std::atomic<std::uint64_t> sentAtReport{0}; ///< `sent` at the time of the last report.
    std::atomic<std::uint64_t> tokensAtReport{0};
    /// Monotonic time until which the runner is ejected after a refused connection.
    std::atomic<std::int64_t> ejectedUntilNs{0};
};

using slot_ptr = std::shared_ptr<sent_work_slot>;

/// One open request at one runner; counted until destruction.
class open_work
{
public:
    open_work(slot_ptr slot, std::uint32_t promptTokens);
    ~open_work();
    open_work(const open_work &) = delete;
    open_work &operator=(const open_work &) = delete;

    /// Called when the runner has sent part of its answer: nothing of this request is in transit
    /// any more.
    void onAnswer();

private:
    slot_ptr slot;
    std::atomic<bool> isAnswered{false};
};

class sent_work_table
{
public:
    /// @returns Slots in the order of the view's fleet; rebuilt if the fleet has changed.
    std::shared_ptr<const std::vector<slot_ptr>> slotsOf(const policy::view &now);

    /// Fills in one entry per runner of the view.
    void snapshot(const policy::view &now, std::vector<policy::sent_work> &into);

    /// Called when a report of that runner arrives: requests sent later are not included in it.
    void onReport(const policy::view &now, runner_handle runner);

    slot_ptr slotOf(const policy::view &now, runner_handle runner);

    /// @returns Whether a request may still be in transit to a runner that the view has closed for
    ///          new work.
    bool hasUnansweredWorkAtClosedRunner(const policy::view &now);

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
