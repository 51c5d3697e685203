#include "poplarspool/duties/usage_exchange.h"

#include "duties/usage_update.h"
#include "peer/datagram_loop.h"
#include "poplarspool/duties/limits.h"
#include "poplarspool/policy/role_owner.h"

#include <algorithm>

namespace poplarspool::duties {

namespace {

constexpr std::string_view replicasKey = "usage";

} // namespace

struct usage_exchange::state
{
    state(peer::datagram_settings settings, std::uint64_t incarnation, usage_context context,
          std::function<std::vector<policy::member>()> members, clock_source time,
          metrics_registry &metrics, journal &events)
        : self(settings.self), port(settings.address.port), incarnation(incarnation),
          context(context), members(std::move(members)), clock(std::move(time)),
          clocks(metrics.gaugeOf("poplarspool_clocks_heard")),
          loop("usage_news", std::move(settings), peer::frame_kind::Usage,
               "poplarspool_usage_news_total",
               {[this] { return sendUpdates(); },
                [this](std::uint64_t sender, std::string_view payload) {
                    return receive(sender, payload);
                }},
               clock, metrics, events)
    { }

    mono_time sendUpdates();
    void sendCounts(bool sendsAll, bool isLast);
    void sendTime(const std::vector<policy::member> &all);
    bool receive(std::uint64_t sender, std::string_view payload);
    usage_update updateOf(incarnation_usage localUsage, bool isLast) const;
    std::vector<endpoint> addressesOf(const std::vector<const policy::member *> &some) const;

    const instance_id self;
    const std::uint16_t port;
    const std::uint64_t incarnation;
    const usage_context context;
    const std::function<std::vector<policy::member>()> members;
    const clock_source clock;
    gauge &clocks;
    // Used by the loop's thread only.
    std::vector<endpoint> replicas;
    bool isReplica = false;
    mono_time timeSentAt{};
    peer::datagram_loop loop;
};

std::vector<endpoint>
usage_exchange::state::addressesOf(const std::vector<const policy::member *> &some) const
{
    std::vector<endpoint> found;
    for (const policy::member *one : some) {
        if (one->id != self && one->peerAddress.isValid())
            found.push_back({one->peerAddress.host, port});
    }
    return found;
}

usage_update usage_exchange::state::updateOf(incarnation_usage localUsage, bool isLast) const
{
    return {clock.wall(), context.fleetClock.directEstimate(), isLast, std::move(localUsage)};
}

mono_time usage_exchange::state::sendUpdates()
{
    const std::vector<policy::member> all = members();
    const auto chosen = policy::ownersOf(all, replicasKey, config::usageReplicas);
    std::vector<endpoint> present = addressesOf(chosen);
    isReplica = std::ranges::any_of(chosen,
                                    [this](const policy::member *one) { return one->id == self; });
    const bool isChanged = present != replicas;
    replicas = std::move(present);
    // A new replica has none of the earlier counts.
    sendCounts(isChanged, false);
    // Sent even if nothing was counted: it marks all counts as sent and carries the time.
    loop.send(replicas, encode(updateOf({incarnation, 0, {}}, false)));
    sendTime(all);
    const window_number now = windowAt(context.fleetClock.now().at, context.windowLength);
    context.table.forgetBefore(now - std::min(now, config::usageWindowsKept));
    clocks.set(context.fleetClock.directEstimate().clocks);
    return clock.mono() + config::usageUpdateInterval;
}

void usage_exchange::state::sendCounts(bool sendsAll, bool isLast)
{
    for (incarnation_usage &part : context.table.collect(sendsAll))
        loop.send(replicas, encode(updateOf(std::move(part), isLast)));
}

void usage_exchange::state::sendTime(const std::vector<policy::member> &all)
{
    const mono_time now = clock.mono();
    if (!isReplica || now - timeSentAt < config::clockUpdateInterval)
        return;
    timeSentAt = now;
    std::vector<const policy::member *> others;
    others.reserve(all.size());
    for (const policy::member &one : all)
        others.push_back(&one);
    loop.send(addressesOf(others), encode(updateOf({incarnation, 0, {}}, false)));
}

bool usage_exchange::state::receive(std::uint64_t sender, std::string_view payload)
{
    const auto read = decodeUsageUpdate(payload);
    if (!succeeded(read))
        return false;
    const usage_update &update = valueOf(read);
    context.fleetClock.recordClock(sender, update.sentAt);
    context.fleetClock.recordEstimate(sender, update.estimate);
    const wall_time now = context.fleetClock.now().at;
    const window_number present = windowAt(now, context.windowLength);
    const bool isLate = update.usage.window + config::usageWindowsKept < present;
    const bool isEarly = update.usage.window > present + 1;
    if (!update.usage.counts.empty() && !isLate && !isEarly)
        context.table.merge(update.usage);
    // The update without counts is sent after the updates with counts.
    if (update.usage.counts.empty() || update.isLast)
        context.table.recordReceivedUpTo(update.usage.incarnation, now, update.isLast);
    return true;
}

usage_exchange::usage_exchange(peer::datagram_settings settings, std::uint64_t incarnation,
                               usage_context context,
                               std::function<std::vector<policy::member>()> members,
                               clock_source clock, metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(std::move(settings), incarnation, context, std::move(members),
                                    std::move(clock), metrics, events))
{ }

usage_exchange::~usage_exchange()
{
    stop();
}

result<unit> usage_exchange::start()
{
    return inner->loop.start();
}

void usage_exchange::stop()
{
    inner->loop.stop();
    inner->sendCounts(true, true);
}

} // namespace poplarspool::duties
