#include "gateway/rate_limiter.h"

#include "gateway/refusal_limit.h"
#include "peer/frame.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/limits.h"
#include "poplarspool/peer/load_exchange.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace poplarspool::gateway {

std::string textOfLimit(const std::optional<double> &perSecond)
{
    if (!perSecond)
        return "none";
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", *perSecond);
    return text.data();
}

rate_limiter::rate_limiter(rate_limiter_dependencies given, const instance_id &self)
    : dependencies(std::move(given)), selfNumber(peer::senderNumber(self)),
      limitedRunners(dependencies.metrics.gaugeOf("poplarspool_gateway_limited_runners")),
      granted(dependencies.metrics.counterOf("poplarspool_gateway_permits_total{end=\"granted\"}")),
      denied(dependencies.metrics.counterOf("poplarspool_gateway_permits_total{end=\"denied\"}")),
      unanswered(dependencies.metrics.counterOf(
              "poplarspool_gateway_permits_total{end=\"unanswered\"}")),
      issued(dependencies.metrics.counterOf("poplarspool_gateway_permits_issued_total"))
{ }

void rate_limiter::recordReply(const runner &target, const http_headers &headers, reply_kind kind,
                               mono_time askedAt)
{
    const rate_limit_reading reading = readRateLimit(headers, dependencies.headerName);
    if (const auto observed = observationOf(target, kind, reading, askedAt))
        recordChange(peer::runnerKey(target.id), *observed, true);
    if (areNoticesDue())
        sendDue();
}

/// A refusal without a limit doesn't end a limit that was named: a runner that is full may answer
/// before it looks at its limit.
/// @returns What the reply says about the runner's limit; none if it says nothing.
std::optional<rate_limit_observation> rate_limiter::observationOf(const runner &target,
                                                                  reply_kind kind,
                                                                  const rate_limit_reading &reading,
                                                                  mono_time askedAt)
{
    const std::uint32_t runner = peer::runnerKey(target.id);
    rate_limit_observation observed;
    observed.startedAtMs = target.startedAtMs;
    observed.stage = target.stage;
    observed.askedAt = askedAt;
    observed.heardAt = dependencies.clock.mono();
    if (reading.kind == rate_limit_kind::Limited)
        observed.perSecond = reading.perSecond;
    if (reading.kind != rate_limit_kind::None)
        return observed.perSecond ? std::optional(observed) : std::nullopt;
    if (kind == reply_kind::Withdrawn)
        return std::nullopt;
    const auto known = table.limitOf(target);
    const bool isNamed = known && !known->isInferred;
    if (kind == reply_kind::Refused) {
        if (isNamed)
            return std::nullopt;
        observed.isInferred = true;
        observed.perSecond =
                known ? limitAfterRefusal(*known->perSecond) : inferLimit(runner, askedAt);
        return observed.perSecond ? std::optional(observed) : std::nullopt;
    }
    if (known && known->isInferred) {
        observed.isInferred = true;
        observed.perSecond = limitAfterAcceptance(*known->perSecond);
        return observed;
    }
    const std::lock_guard lock(guard);
    refusals.erase(runner);
    return observed;
}

/// @returns The limit of a runner that has just refused a request; none if that may be chance.
std::optional<double> rate_limiter::inferLimit(std::uint32_t runner, mono_time askedAt)
{
    const mono_time now = dependencies.clock.mono();
    {
        const std::lock_guard lock(guard);
        refusal_streak &streak = refusals[runner];
        if (now - streak.lastAt > config::refusalRetention)
            streak = {};
        if (askedAt < streak.lastAt)
            return std::nullopt;
        streak.lastAt = now;
        if (++streak.count < config::minRefusalsInRow)
            return std::nullopt;
        refusals.erase(runner);
    }
    const auto last = table.find(runner);
    const bool hadLimit =
            last && last->isInferred && now - last->heardAt < config::refusalRetention;
    const auto instances = static_cast<double>(dependencies.fleet.current()->instances.size());
    return limitAfterRefusals(dependencies.recentStarts(runner) * instances, hadLimit);
}

/// @param isOwn Heard from the runner itself, so that the other instances have to be told.
void rate_limiter::recordChange(std::uint32_t runner, const rate_limit_observation &observed,
                                bool isOwn)
{
    const auto change = table.record(runner, observed);
    if (!change)
        return;
    // The steps of an inferred limit are told with the requests for permits.
    const bool isStep = observed.isInferred && change->before && change->after;
    if (isStep)
        return;
    logChange(runner, *change, observed, isOwn);
    const bool isNew = !change->before && !observed.isInferred;
    const std::uint32_t sentBefore = isNew ? dependencies.recentSends(runner) : 0;
    if (!change->after)
        issuer.forget(runner);
    const std::lock_guard lock(guard);
    if (!change->after)
        permits.erase(runner);
    else if (!change->before)
        permits[runner].sentBefore = sentBefore;
    if (isOwn)
        queueNotice(runner, observed);
}

void rate_limiter::logChange(std::uint32_t runner, const rate_limit_change &change,
                             const rate_limit_observation &observed, bool isOwn)
{
    limitedRunners.set(static_cast<std::int64_t>(table.limitedCount()));
    const mono_time now = dependencies.clock.mono();
    dependencies.events.emit("runner_limit",
                             {{"runner", dependencies.nameOf(runner)},
                              {"born", std::to_string(observed.startedAtMs)},
                              {"before", textOfLimit(change.before)},
                              {"per_second", textOfLimit(change.after)},
                              {"from", isOwn ? "runner" : "instance"},
                              {"inferred", observed.isInferred ? "yes" : "no"},
                              {"asked_ms_ago", millisecondsText(now - observed.askedAt)},
                              {"heard_ms_ago", millisecondsText(now - observed.heardAt)}});
}

std::optional<double> rate_limiter::limitOf(const runner &target) const
{
    const auto known = table.limitOf(target);
    return known ? known->perSecond : std::nullopt;
}

/// @attention The caller must hold `guard`.
issuer_pair rate_limiter::issuersFor(std::uint32_t runner, const peer::fleet &current)
{
    runner_permits &entry = permits[runner];
    if (entry.issuersVersion != current.version) {
        entry.issuers = issuersOf(current, runner);
        entry.issuersVersion = current.version;
    }
    return entry.issuers;
}

/// The issuers that are worth asking, in their order.
/// @attention The caller must hold `guard`.
std::vector<std::size_t> rate_limiter::issuersToAsk(std::uint32_t runner,
                                                    const peer::fleet &current, mono_time now)
{
    std::vector<std::size_t> found;
    const issuer_pair pair = issuersFor(runner, current);
    for (const std::size_t index : {pair.first, pair.second}) {
        if (index == issuer_pair::none)
            continue;
        const auto silent = silentUntil.find(current.instances[index].number);
        if (silent == silentUntil.end() || silent->second <= now)
            found.push_back(index);
    }
    return found;
}

/// @returns A denial without a time if there is neither a permit nor a denial that still holds.
/// @attention The caller must hold `guard`.
std::variant<rate_permit, permit_denied> rate_limiter::takeFromStock(std::uint32_t runner,
                                                                     mono_time now)
{
    runner_permits &entry = permits[runner];
    while (!entry.stock.empty()) {
        const mono_time expiresAt = entry.stock.front();
        entry.stock.pop_front();
        if (expiresAt > now)
            return rate_permit{runner, expiresAt, true};
    }
    if (entry.deniedUntil <= now)
        return permit_denied{};
    return permit_denied{std::chrono::ceil<milliseconds>(entry.deniedUntil - now)};
}

std::variant<rate_permit, permit_denied> rate_limiter::acquire(const runner &target,
                                                               send_class urgency)
{
    const std::uint32_t runner = peer::runnerKey(target.id);
    const auto limit = table.limitOf(target);
    if (!limit)
        return rate_permit{runner};
    const auto current = dependencies.fleet.current();
    const mono_time now = dependencies.clock.mono();
    const std::uint32_t recent = dependencies.recentSends(runner);
    permit_request request;
    request.known = noticeOf(runner, *limit);
    request.isUrgent = urgency == send_class::Urgent;
    request.count = std::max(1U, static_cast<std::uint32_t>(recent * config::permitBatchSeconds));
    std::vector<std::size_t> issuers;
    {
        const std::lock_guard lock(guard);
        const auto known = takeFromStock(runner, now);
        if (known != std::variant<rate_permit, permit_denied>(permit_denied{}))
            return known;
        request.sentBefore = permits[runner].sentBefore;
        issuers = issuersToAsk(runner, *current, now);
    }
    for (const std::size_t index : issuers) {
        const peer::fleet_instance &instance = current->instances[index];
        if (instance.number == selfNumber)
            return applyReply(target, issueHere(request, *current), now);
        if (const auto reply = ask(instance, request))
            return applyReply(target, *reply, now);
    }
    const std::lock_guard lock(guard);
    permits[runner].deniedUntil = now + config::silentIssuerTime;
    denied.add();
    return permit_denied{config::silentIssuerTime};
}

std::optional<permit_reply> rate_limiter::ask(const peer::fleet_instance &instance,
                                              permit_request request)
{
    {
        const std::lock_guard lock(guard);
        request.number = ++lastNumber;
        waiting.emplace(request.number, std::nullopt);
    }
    dependencies.send({limitAddressOf(instance.peerAddress)}, encode(limit_message(request)));
    std::unique_lock lock(guard);
    std::optional<permit_reply> &reply = waiting.at(request.number);
    replied.wait_for(lock, config::permitReplyTimeout, [&reply] { return reply.has_value(); });
    const std::optional<permit_reply> found = reply;
    waiting.erase(request.number);
    if (!found) {
        unanswered.add();
        silentUntil[instance.number] = dependencies.clock.mono() + config::silentIssuerTime;
    }
    return found;
}

std::variant<rate_permit, permit_denied>
rate_limiter::applyReply(const runner &target, const permit_reply &reply, mono_time askedAt)
{
    const std::uint32_t runner = peer::runnerKey(target.id);
    recordChange(runner, observationOf(reply.known), false);
    // The issuer may know that the limit has ended.
    if (!table.limitOf(target))
        return rate_permit{runner};
    const std::lock_guard lock(guard);
    runner_permits &entry = permits[runner];
    entry.sentBefore = 0;
    if (reply.granted == 0) {
        denied.add();
        if (reply.retryInMs > 0)
            entry.deniedUntil = askedAt + milliseconds(reply.retryInMs);
        return permit_denied{milliseconds(reply.retryInMs)};
    }
    granted.add(reply.granted);
    // Counted from when the permits were asked for: they were issued later.
    const mono_time expiresAt = askedAt + config::permitLifetime;
    entry.stock.insert(entry.stock.end(), reply.granted - 1, expiresAt);
    return rate_permit{runner, expiresAt, true};
}

void rate_limiter::release(const rate_permit &permit)
{
    if (!permit.isLimited)
        return;
    const std::lock_guard lock(guard);
    permits[permit.runner].stock.push_back(permit.expiresAt);
}

void rate_limiter::markLimited(std::vector<placement_candidate> &candidates) const
{
    if (table.isEmpty())
        return;
    const mono_time now = dependencies.clock.mono();
    const std::lock_guard lock(guard);
    for (placement_candidate &one : candidates) {
        const auto found = permits.find(peer::runnerKey(one.target->id));
        if (found == permits.end() || found->second.deniedUntil <= now
            || !found->second.stock.empty())
            continue;
        one.limitedForMs =
                std::chrono::duration<double, std::milli>(found->second.deniedUntil - now).count();
    }
}

permit_reply rate_limiter::issueHere(const permit_request &request, const peer::fleet &current)
{
    const std::uint32_t runner = request.known.runner;
    recordChange(runner, observationOf(request.known), false);
    permit_reply reply;
    reply.number = request.number;
    const auto known = table.find(runner);
    if (!known) {
        reply.known = request.known;
        reply.retryInMs = static_cast<std::uint32_t>(config::minPermitRetryTime.count());
        return reply;
    }
    reply.known = noticeOf(runner, *known);
    // The asker learns from the reply that there is no limit.
    if (!known->perSecond)
        return reply;
    issuer_pair pair;
    {
        const std::lock_guard lock(guard);
        pair = issuersFor(runner, current);
    }
    const auto isSelf = [&](std::size_t index) {
        return index != issuer_pair::none && current.instances[index].number == selfNumber;
    };
    if (!isSelf(pair.first) && !isSelf(pair.second)) {
        reply.retryInMs = static_cast<std::uint32_t>(config::silentIssuerTime.count());
        return reply;
    }
    bucket_query query;
    query.perSecond = *known->perSecond;
    query.share = isSelf(pair.first) ? 1 : config::secondIssuerShare;
    query.count = request.count;
    query.isUrgent = request.isUrgent;
    query.sentBefore = request.sentBefore;
    query.now = dependencies.clock.mono();
    query.draw = hashOf(std::to_string(request.number), runner);
    const bucket_decision decision = issuer.issue(runner, known->startedAtMs, query);
    issued.add(decision.granted);
    reply.granted = decision.granted;
    reply.retryInMs = static_cast<std::uint32_t>(decision.retryIn.count());
    return reply;
}

bool rate_limiter::receive(std::uint64_t sender, std::string_view payload)
{
    auto decoded = decodeLimitMessage(payload);
    if (!succeeded(decoded))
        return false;
    limit_message &message = valueOf(decoded);
    if (auto *update = std::get_if<limit_update>(&message))
        receiveUpdate(std::move(*update));
    else if (const auto *request = std::get_if<permit_request>(&message))
        receiveRequest(sender, *request);
    else
        receiveReply(std::get<permit_reply>(message));
    return true;
}

/// A reply that comes after its time-out is dropped: the permits in it expire unused.
void rate_limiter::receiveReply(const permit_reply &reply)
{
    const std::lock_guard lock(guard);
    const auto found = waiting.find(reply.number);
    if (found == waiting.end())
        return;
    found->second = reply;
    replied.notify_all();
}

void rate_limiter::receiveRequest(std::uint64_t sender, const permit_request &request)
{
    const auto current = dependencies.fleet.current();
    const auto asker = std::ranges::find(current->instances, sender, &peer::fleet_instance::number);
    if (asker == current->instances.end())
        return;
    dependencies.send({limitAddressOf(asker->peerAddress)},
                      encode(limit_message(issueHere(request, *current))));
}

void rate_limiter::removeUnlisted(const runner_set &listedRunners)
{
    table.removeUnlisted(listedRunners);
    const std::lock_guard lock(guard);
    const auto isUnlisted = [&](const auto &one) { return !listedRunners.findByKey(one.first); };
    std::erase_if(permits, isUnlisted);
    std::erase_if(refusals, isUnlisted);
}

} // namespace poplarspool::gateway
