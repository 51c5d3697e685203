#include "gateway/rate_limiter.h"
#include "peer/forward_groups.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

namespace {

std::uint32_t ageMsOf(mono_time at, mono_time now)
{
    const auto age = std::chrono::floor<milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

} // namespace

limit_notice rate_limiter::noticeOf(std::uint32_t runner,
                                    const rate_limit_observation &observed) const
{
    const mono_time now = dependencies.clock.mono();
    return {runner,
            observed.startedAtMs,
            observed.perSecond,
            observed.isInferred,
            observed.stage,
            ageMsOf(observed.askedAt, now),
            ageMsOf(observed.heardAt, now)};
}

rate_limit_observation rate_limiter::observationOf(const limit_notice &notice) const
{
    const mono_time now = dependencies.clock.mono();
    return {notice.startedAtMs,
            notice.perSecond,
            notice.isInferred,
            notice.stage,
            now - milliseconds(notice.askedAgoMs),
            now - milliseconds(notice.heardAgoMs)};
}

/// @attention The caller must hold `guard`.
void rate_limiter::queueNotice(std::uint32_t runner, const rate_limit_observation &observed)
{
    if (notices.size() < config::maxPendingNotices)
        notices.push_back(
                {noticeOf(runner, observed), dependencies.clock.mono(), config::limitNoticeSends});
    noticesSentAt = {};
}

/// Requests follow each other more closely than the steps of the exchange's thread.
bool rate_limiter::areNoticesDue()
{
    if (table.isEmpty())
        return false;
    const std::lock_guard lock(guard);
    return !notices.empty()
            && dependencies.clock.mono() - noticesSentAt >= config::limitNoticeInterval;
}

void rate_limiter::receiveUpdate(limit_update update)
{
    for (const limit_notice &one : update.notices)
        recordChange(one.runner, observationOf(one), false);
    const auto to = std::exchange(update.forwardTo, {});
    if (!to.empty())
        dependencies.send(to, encode(limit_message(update)));
}

mono_time rate_limiter::sendDue()
{
    const mono_time now = dependencies.clock.mono();
    std::vector<limit_notice> due;
    mono_time next = now + config::idleLimitInterval;
    {
        const std::lock_guard lock(guard);
        noticesSentAt = now;
        const std::size_t count = std::min(notices.size(), config::maxLimitNotices);
        for (std::size_t i = 0; i < count; ++i) {
            pending_notice one = notices.front();
            notices.pop_front();
            limit_notice aged = one.notice;
            aged.askedAgoMs += ageMsOf(one.writtenAt, now);
            aged.heardAgoMs += ageMsOf(one.writtenAt, now);
            due.push_back(aged);
            if (--one.sendsLeft > 0)
                notices.push_back(one);
        }
        if (!notices.empty())
            next = now + config::limitNoticeInterval;
    }
    if (!due.empty())
        sendNotices(due);
    return next;
}

void rate_limiter::sendNotices(const std::vector<limit_notice> &due)
{
    std::vector<endpoint> others;
    for (const endpoint &each : peer::livingPeersOf(*dependencies.fleet.current(), selfNumber))
        others.push_back(limitAddressOf(each));
    for (const peer::forward_batch &batch : peer::forwardBatchesOf(std::move(others), selfNumber))
        dependencies.send(batch.to, encode(limit_message(limit_update{due, batch.forwardTo})));
}

} // namespace poplarspool::gateway
