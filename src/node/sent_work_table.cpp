#include "node/sent_work_table.h"

#include <algorithm>

namespace poplarspool::node {

open_work::open_work(slot_ptr slot, std::uint32_t promptTokens) : slot(std::move(slot))
{
    // Sequentially consistent: see sent_work_table::hasUnansweredWorkAtClosedRunner().
    this->slot->unanswered.fetch_add(1);
    this->slot->open.fetch_add(1, std::memory_order_relaxed);
    this->slot->sent.fetch_add(1, std::memory_order_relaxed);
    this->slot->sentTokens.fetch_add(promptTokens, std::memory_order_relaxed);
}

open_work::~open_work()
{
    onAnswer();
    slot->open.fetch_sub(1, std::memory_order_relaxed);
}

void open_work::onAnswer()
{
    if (!isAnswered.exchange(true))
        slot->unanswered.fetch_sub(1);
}

std::shared_ptr<const sent_work_table::slot_table> sent_work_table::tableOf(const policy::view &now)
{
    std::shared_ptr<const slot_table> present = table.load();
    if (present && present->fleet == now.fleet)
        return present;
    const std::lock_guard lock(buildLock);
    present = table.load();
    if (present && present->fleet == now.fleet)
        return present;
    auto slots = std::make_shared<std::vector<slot_ptr>>();
    for (const policy::runner_spec &spec : now.fleet->runners) {
        const runner_handle old =
                present ? policy::findRunner(*present->fleet, spec.id) : runner_handle{};
        slots->push_back(old.isValid() ? (*present->slots)[old.index]
                                       : std::make_shared<sent_work_slot>());
    }
    auto built = std::make_shared<const slot_table>(slot_table{now.fleet, std::move(slots)});
    table.store(built);
    return built;
}

std::shared_ptr<const std::vector<slot_ptr>> sent_work_table::slotsOf(const policy::view &now)
{
    return tableOf(now)->slots;
}

slot_ptr sent_work_table::slotOf(const policy::view &now, runner_handle runner)
{
    return (*tableOf(now)->slots)[runner.index];
}

void sent_work_table::snapshot(const policy::view &now, std::vector<policy::sent_work> &into)
{
    const auto slots = slotsOf(now);
    into.resize(slots->size());
    for (std::size_t i = 0; i < slots->size(); ++i) {
        const sent_work_slot &slot = *(*slots)[i];
        policy::sent_work &entry = into[i];
        entry.open = slot.open.load(std::memory_order_relaxed);
        const std::uint64_t since = slot.sent.load(std::memory_order_relaxed)
                - slot.sentAtReport.load(std::memory_order_relaxed);
        entry.openSinceReport =
                static_cast<std::uint32_t>(std::min<std::uint64_t>(entry.open, since));
        entry.prefillTokensSinceReport = entry.openSinceReport == 0
                ? 0
                : slot.sentTokens.load(std::memory_order_relaxed)
                        - slot.tokensAtReport.load(std::memory_order_relaxed);
    }
}

void sent_work_table::onReport(const policy::view &now, runner_handle runner)
{
    const slot_ptr slot = slotOf(now, runner);
    slot->sentAtReport.store(slot->sent.load(std::memory_order_relaxed), std::memory_order_relaxed);
    slot->tokensAtReport.store(slot->sentTokens.load(std::memory_order_relaxed),
                               std::memory_order_relaxed);
}

/// A request first increments the count and then checks whether its runner is still open; here the
/// view is published first and the counts are read afterwards. So at least one of the two sees the
/// other, and no request routed under an older view reaches a runner after this instance has
/// acknowledged the newer one.
bool sent_work_table::hasUnansweredWorkAtClosedRunner(const policy::view &now)
{
    if (!now.fleet)
        return false;
    const auto slots = slotsOf(now);
    for (std::uint32_t i = 0; i < slots->size(); ++i) {
        if (!policy::isOpenForWork(now, {i}) && (*slots)[i]->unanswered.load() > 0)
            return true;
    }
    return false;
}

} // namespace poplarspool::node
