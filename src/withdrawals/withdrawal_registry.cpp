#include "poplarspool/withdrawals/withdrawal_registry.h"

#include "peer/forward_groups.h"
#include "peer/frame.h"
#include "peer/port_offset.h"
#include "poplarspool/withdrawals/limits.h"
#include "withdrawals/life_map.h"
#include "withdrawals/withdrawal_message.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <utility>

namespace poplarspool::withdrawals {

namespace {

constexpr std::uint16_t withdrawalPortOffset = 6;

} // namespace

struct withdrawal_registry::state
{
    explicit state(withdrawal_dependencies given);

    /// A runner that other instances are told of again.
    struct pending_notice
    {
        withdrawal_notice notice;
        int sendsLeft = 0;
    };

    /// @returns Whether that was not known.
    bool markLeaving(const runner_life &runner, mono_time now);
    void recordLeaving(const answer_head &head, mono_time now);
    void applyNotice(const withdrawal_notice &notice, mono_time now);
    void tellAll(const std::vector<withdrawal_notice> &notices);
    std::pair<rest_state, rest_state> markRest(const runner_life &runner, milliseconds rest,
                                               mono_time now);
    void recordRest(const answer_head &head, milliseconds rest, mono_time now);
    void tellSharers(const runner_life &runner, std::chrono::nanoseconds left,
                     const endpoint &carrier);
    void applyRest(const withdrawal_notice &notice, mono_time now);
    void recordAnswered(const answer_head &head, mono_time now);
    void countUnwanted(const answer_head &head);
    withdrawal findLocked(const runner_life &runner, mono_time now) const;
    void expire(mono_time now);
    void updateSizes();
    void log(std::string_view kind, const answer_head &head, std::vector<event_field> more);

    const withdrawal_dependencies dependencies;
    const std::uint64_t selfNumber;
    counter &rests;
    counter &leavesHeard;
    counter &sendsWhileResting;
    counter &sendsAfterLeaving;
    gauge &restingRunners;
    gauge &leavingRunners;

    mutable std::mutex guard;
    life_map<mono_time> leaves; ///< When each runner has said so first.
    life_map<rest_state> restStates;
    std::deque<pending_notice> pending;
    std::atomic<std::size_t> size{0}; ///< Of both maps.
};

withdrawal_registry::state::state(withdrawal_dependencies given)
    : dependencies(std::move(given)), selfNumber(peer::senderNumber(dependencies.self)),
      rests(dependencies.metrics.counterOf("poplarspool_runner_rests_total")),
      leavesHeard(dependencies.metrics.counterOf("poplarspool_runner_leaves_total")),
      sendsWhileResting(
              dependencies.metrics.counterOf("poplarspool_unwanted_sends_total{runner=\"rests\"}")),
      sendsAfterLeaving(dependencies.metrics.counterOf(
              "poplarspool_unwanted_sends_total{runner=\"leaves\"}")),
      restingRunners(dependencies.metrics.gaugeOf("poplarspool_resting_runners")),
      leavingRunners(dependencies.metrics.gaugeOf("poplarspool_leaving_runners"))
{ }

/// @attention The caller must hold `guard`.
void withdrawal_registry::state::expire(mono_time now)
{
    leaves.eraseIf([now](mono_time heardAt) { return now - heardAt > config::leaveRetention; });
    restStates.eraseIf(
            [now](const rest_state &one) { return now - one.endsAt > config::leaveRetention; });
}

/// @attention The caller must hold `guard`.
withdrawal withdrawal_registry::state::findLocked(const runner_life &runner, mono_time now) const
{
    if (const mono_time *heardAt = leaves.find(runner))
        return {withdrawal_kind::Leaves, std::chrono::floor<milliseconds>(now - *heardAt), {}};
    const rest_state *rest = restStates.find(runner);
    return rest == nullptr ? withdrawal{} : withdrawalIn(*rest, now);
}

/// @attention The caller must hold `guard`.
void withdrawal_registry::state::updateSizes()
{
    restingRunners.set(static_cast<std::int64_t>(restStates.size()));
    leavingRunners.set(static_cast<std::int64_t>(leaves.size()));
    size.store(restStates.size() + leaves.size(), std::memory_order_release);
}

void withdrawal_registry::state::log(std::string_view kind, const answer_head &head,
                                     std::vector<event_field> more)
{
    std::vector<event_field> fields{{"runner", head.from.id.text},
                                    {"born", std::to_string(head.from.startedAtMs)},
                                    {"status", std::to_string(head.status)},
                                    {"request", head.request}};
    fields.insert(fields.end(), more.begin(), more.end());
    dependencies.events.emit(kind, std::move(fields));
}

bool withdrawal_registry::state::markLeaving(const runner_life &runner, mono_time now)
{
    const std::lock_guard lock(guard);
    if (leaves.find(runner) != nullptr)
        return false;
    expire(now);
    leaves.set(runner, now, now);
    updateSizes();
    return true;
}

/// The others are told at once: until the store knows, they learn it only by answers of their own.
void withdrawal_registry::state::recordLeaving(const answer_head &head, mono_time now)
{
    if (!markLeaving(head.from, now))
        return;
    leavesHeard.add();
    log("runner_leaving", head, {{"from", "runner"}});
    dependencies.hooks.onLeaving(head.from);
    const withdrawal_notice notice{head.from, 0};
    tellAll({notice});
    const std::lock_guard lock(guard);
    if (pending.size() < config::maxPendingWithdrawals)
        pending.push_back({notice, config::withdrawalNoticeSends - 1});
}

void withdrawal_registry::state::applyNotice(const withdrawal_notice &notice, mono_time now)
{
    if (notice.restMs > 0)
        return applyRest(notice, now);
    if (!markLeaving(notice.runner, now))
        return;
    dependencies.events.emit("runner_leaving",
                             {{"runner", notice.runner.id.text},
                              {"born", std::to_string(notice.runner.startedAtMs)},
                              {"from", "instance"}});
    dependencies.hooks.onLeaving(notice.runner);
}

/// By an instance that carries this one's connections, or whose connections this one carries.
void withdrawal_registry::state::applyRest(const withdrawal_notice &notice, mono_time now)
{
    const milliseconds rest = std::min(milliseconds(notice.restMs), config::maxRest);
    const auto [before, after] = markRest(notice.runner, rest, now);
    const auto longer = after.endsAt - before.endsAt;
    if (longer > config::loggedRestStep)
        dependencies.events.emit("runner_rest",
                                 {{"runner", notice.runner.id.text},
                                  {"born", std::to_string(notice.runner.startedAtMs)},
                                  {"from", "instance"},
                                  {"left_ms", millisecondsText(after.endsAt - now)}});
    if (longer > std::chrono::nanoseconds::zero())
        tellSharers(notice.runner, after.endsAt - now, {});
}

void withdrawal_registry::state::tellAll(const std::vector<withdrawal_notice> &notices)
{
    std::vector<endpoint> others;
    for (const endpoint &each : peer::livingPeersOf(*dependencies.fleet.current(), selfNumber))
        others.push_back(withdrawalAddressOf(each));
    for (const peer::forward_batch &batch : peer::forwardBatchesOf(std::move(others), selfNumber))
        dependencies.send(batch.to, encode(withdrawal_update{notices, batch.forwardTo}));
}

/// @returns What is known of the rest before and after.
std::pair<rest_state, rest_state>
withdrawal_registry::state::markRest(const runner_life &runner, milliseconds rest, mono_time now)
{
    const std::lock_guard lock(guard);
    const rest_state *known = restStates.find(runner);
    const rest_state before = known != nullptr ? *known : rest_state{};
    if (known == nullptr)
        expire(now);
    const rest_state after = afterRest(before, rest, now);
    restStates.set(runner, after, now);
    updateSizes();
    return {before, after};
}

void withdrawal_registry::state::recordRest(const answer_head &head, milliseconds rest,
                                            mono_time now)
{
    const auto [before, after] = markRest(head.from, rest, now);
    rests.add();
    const auto longer = after.endsAt - before.endsAt;
    if (longer > config::loggedRestStep)
        log("runner_rest", head,
            {{"from", "runner"},
             {"asked_ms", std::to_string(rest.count())},
             {"left_ms", millisecondsText(after.endsAt - now)}});
    if (longer > std::chrono::nanoseconds::zero())
        tellSharers(head.from, after.endsAt - now, head.carrier);
}

/// The runner takes the requests of all instances that share a machine's connections for that
/// machine's.
void withdrawal_registry::state::tellSharers(const runner_life &runner,
                                             std::chrono::nanoseconds left, const endpoint &carrier)
{
    std::vector<endpoint> to;
    if (carrier.isValid())
        to.push_back(withdrawalAddressOf(carrier));
    if (dependencies.hooks.usersOf) {
        for (const endpoint &each : dependencies.hooks.usersOf(runner.id))
            to.push_back(withdrawalAddressOf(each));
    }
    if (to.empty())
        return;
    const auto leftMs = std::chrono::ceil<milliseconds>(left).count();
    dependencies.send(
            to, encode(withdrawal_update{{{runner, static_cast<std::uint32_t>(leftMs)}}, {}}));
}

void withdrawal_registry::state::recordAnswered(const answer_head &head, mono_time now)
{
    const std::lock_guard lock(guard);
    const rest_state *known = restStates.find(head.from);
    if (known == nullptr)
        return;
    const rest_state next = afterAnswer(*known, head.kind == answer_kind::Accepted, head.askedAt);
    if (hasReturned(next))
        restStates.erase(head.from.id);
    else
        restStates.set(head.from, next, now);
    updateSizes();
}

/// Counts a request that was sent although the runner had said that it wants none.
void withdrawal_registry::state::countUnwanted(const answer_head &head)
{
    const std::lock_guard lock(guard);
    const mono_time *leftAt = leaves.find(head.from);
    if (leftAt != nullptr && head.askedAt > *leftAt)
        sendsAfterLeaving.add();
    const rest_state *rest = restStates.find(head.from);
    if (rest != nullptr && head.askedAt > rest->askedAt && head.askedAt < rest->endsAt)
        sendsWhileResting.add();
}

withdrawal_registry::withdrawal_registry(withdrawal_dependencies given)
    : inner(std::make_unique<state>(std::move(given)))
{ }

withdrawal_registry::~withdrawal_registry() = default;

withdrawal_reading withdrawal_registry::recordAnswer(const answer_head &head)
{
    const withdrawal_reading reading =
            readWithdrawal(head.status, head.headers, inner->dependencies.leavingHeader);
    const mono_time now = inner->dependencies.clock.mono();
    if (!isEmpty())
        inner->countUnwanted(head);
    if (reading.isLeaving)
        inner->recordLeaving(head, now);
    if (reading.rest)
        inner->recordRest(head, *reading.rest, now);
    else if (!isEmpty() && head.kind != answer_kind::Control)
        inner->recordAnswered(head, now);
    return reading;
}

bool withdrawal_registry::isEmpty() const
{
    return inner->size.load(std::memory_order_acquire) == 0;
}

withdrawal withdrawal_registry::find(const runner_life &runner) const
{
    if (isEmpty())
        return {};
    const mono_time now = inner->dependencies.clock.mono();
    const std::lock_guard lock(inner->guard);
    return inner->findLocked(runner, now);
}

bool withdrawal_registry::receive(std::string_view payload)
{
    auto decoded = decodeWithdrawalUpdate(payload);
    if (!succeeded(decoded))
        return false;
    withdrawal_update &update = valueOf(decoded);
    const mono_time now = inner->dependencies.clock.mono();
    for (const withdrawal_notice &one : update.notices)
        inner->applyNotice(one, now);
    const auto to = std::exchange(update.forwardTo, {});
    if (!to.empty())
        inner->dependencies.send(to, encode(update));
    return true;
}

mono_time withdrawal_registry::sendDue()
{
    std::vector<withdrawal_notice> due;
    {
        const std::lock_guard lock(inner->guard);
        for (state::pending_notice &one : inner->pending) {
            due.push_back(one.notice);
            --one.sendsLeft;
        }
        std::erase_if(inner->pending,
                      [](const state::pending_notice &one) { return one.sendsLeft == 0; });
    }
    while (!due.empty()) {
        const auto count = std::min(due.size(), config::maxWithdrawalNotices);
        const auto end = due.begin() + static_cast<std::ptrdiff_t>(count);
        inner->tellAll({due.begin(), end});
        due.erase(due.begin(), end);
    }
    return inner->dependencies.clock.mono() + config::withdrawalNoticeInterval;
}

withdrawal withdrawal_registry::admit(const runner_life &runner)
{
    if (isEmpty())
        return {};
    const mono_time now = inner->dependencies.clock.mono();
    const std::lock_guard lock(inner->guard);
    const withdrawal known = inner->findLocked(runner, now);
    const rest_state *rest = inner->restStates.find(runner);
    if (!forbidsSends(known) && rest != nullptr)
        inner->restStates.set(runner, afterTry(*rest, now), now);
    return known;
}

endpoint withdrawalAddressOf(const endpoint &peerAddress)
{
    return peer::atPortOffset(peerAddress, withdrawalPortOffset);
}

} // namespace poplarspool::withdrawals
