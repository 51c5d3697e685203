#include "gateway/runner_table.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

namespace {

/// Weight of a new time in the moving mean: only the last few requests count.
constexpr double newSampleWeight = 0.25;
/// The same for the run time of a request: answers differ in length by a factor of more than ten.
constexpr double newRunSampleWeight = 0.06;

std::chrono::nanoseconds ejectionTimeAfter(std::uint32_t failuresInRow)
{
    const auto doublings = std::min(failuresInRow, 4U) - 1;
    return std::min<std::chrono::nanoseconds>(config::initialEjectionTime * (1U << doublings),
                                              config::maxEjectionTime);
}

double millisecondsOf(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

runner_table::runner_table(clock_source clock, std::uint32_t zone, std::uint64_t self,
                           bool learnsSpeeds)
    : clock(std::move(clock)), zone(zone), self(self), learnsSpeeds(learnsSpeeds)
{ }

runner_table::open_send::open_send(runner_table &table, const runner_id &target, double prefillMs,
                                   send_class urgency, std::uint32_t rank)
    : table(table), target(peer::runnerKey(target)), prefillMs(prefillMs), urgency(urgency),
      rank(rank), sentAt(table.clock.mono())
{
    table.opened(*this);
}

runner_table::open_send::~open_send()
{
    table.ended(*this);
}

bool runner_table::open_send::recordStart()
{
    if (startedAt != mono_time{})
        return false;
    startedAt = table.clock.mono();
    table.started(*this);
    return true;
}

void runner_table::open_send::recordExpected(const service_id &service, engine_stage stage,
                                             double workMs, double medianMs)
{
    this->service = service;
    this->stage = stage;
    expectedMs = urgency == send_class::Urgent ? workMs : 0;
    this->medianMs = urgency == send_class::Urgent ? medianMs : 0;
}

void runner_table::waiting_work::add(std::uint32_t more, double moreMs)
{
    count += more;
    prefillMs += moreMs;
}

void runner_table::waiting_work::subtract(std::uint32_t less, double lessMs)
{
    count -= std::min(count, less);
    prefillMs = std::max(prefillMs - lessMs, 0.0);
}

void runner_table::opened(const open_send &sent)
{
    const std::lock_guard lock(guard);
    runner_record &entry = records[sent.target];
    ++entry.own.open;
    entry.recentSends.record(sent.sentAt);
    entry.own.addWaiting(sent);
    entry.sendsLeft.fill(config::updateRepeats);
}

void runner_table::started(const open_send &sent)
{
    const std::lock_guard lock(guard);
    runner_record &entry = records[sent.target];
    entry.own.subtractWaiting(sent);
    entry.recentStarts.record(sent.startedAt);
    entry.answeredAt = sent.startedAt;
    const mono_time now = sent.startedAt;
    const double tookMs = millisecondsOf(now - sent.sentAt);
    if (sent.expectedMs > 0) {
        engine_pace &pace = paces[sent.service][sent.stage];
        sampleSpeed(sent, pace, tookMs);
        pace = updatePace(pace, sent.expectedMs, tookMs);
    }
    // The time of a prefill alone depends on the prompt's length. If it were compared too, engines
    // with long prompts would seem slow and lose their shared parts to others.
    if (!sent.isRun)
        return;
    const bool isOld = now - entry.lastStartAt > config::slownessExpiry;
    entry.meanStartMs = isOld || entry.starts == 0
            ? tookMs
            : entry.meanStartMs + newSampleWeight * (tookMs - entry.meanStartMs);
    entry.starts = isOld ? 1 : entry.starts + 1;
    entry.lastStartAt = now;
}

void runner_table::ended(const open_send &sent)
{
    const std::lock_guard lock(guard);
    const bool hasStarted = sent.startedAt != mono_time{};
    runner_record &entry = records[sent.target];
    if (!hasStarted)
        entry.own.subtractWaiting(sent);
    entry.own.open -= std::min(entry.own.open, 1U);
    const mono_time now = clock.mono();
    if (sent.isRun && hasStarted && sent.end == send_outcome::Served) {
        const double tookMs = millisecondsOf(now - sent.startedAt);
        entry.runMs = entry.runMs == 0 ? tookMs
                                       : entry.runMs + newRunSampleWeight * (tookMs - entry.runMs);
    }
    recordOutcome(entry, sent.end, now);
}

/// A runner that fails part of its requests while it reports itself healthy is detected only by
/// the outcomes of its sends. A service's usual failures, which may be one in seven, must
/// not eject a runner, so the share of failed sends counts, not the first failure.
void runner_table::recordOutcome(runner_record &entry, send_outcome how, mono_time now)
{
    switch (how) {
    case send_outcome::Unknown:
        return;
    case send_outcome::Refused:
        entry.answeredAt = now;
        entry.ejectedUntil = std::max(entry.ejectedUntil, now + config::refusalBackoff);
        return;
    case send_outcome::Misdirected:
    case send_outcome::Unreachable:
        ++entry.failuresInRow;
        entry.ejectedUntil = now + ejectionTimeAfter(entry.failuresInRow);
        return;
    case send_outcome::Served:
    case send_outcome::Failed:
        break;
    }
    if (how == send_outcome::Served)
        entry.failuresInRow = 0;
    entry.outcomes.push_back(how == send_outcome::Failed);
    if (entry.outcomes.size() > config::outcomeWindowSize)
        entry.outcomes.pop_front();
    const auto failures = static_cast<std::size_t>(std::ranges::count(entry.outcomes, true));
    const double share = static_cast<double>(failures) / static_cast<double>(entry.outcomes.size());
    if (how != send_outcome::Failed || failures < config::minFailuresToEject
        || share < config::ejectionFailureShare)
        return;
    ++entry.failuresInRow;
    entry.ejectedUntil = now + ejectionTimeAfter(entry.failuresInRow);
    entry.outcomes.clear();
}

/// Engines evict the least recently used parts: a part counts as evicted once as many other tokens
/// were added as the cache holds in addition to running requests. If it were assumed cached for
/// longer, it would be copied from a runner that no longer has it, and prefilled anyway.
bool runner_table::runner_record::holds(std::uint32_t chain) const
{
    const auto found = cached.find(chain);
    return found != cached.end() && (capacity == 0 || tokensIn - found->second.usedAt <= capacity);
}

/// A runner that restarted under its id has an empty cache, and its failures were those of the
/// previous incarnation. If the record were kept, prompts would be sent there for a cache that no
/// longer exists.
void runner_table::runner_record::beginIncarnation(std::uint64_t newStartMs)
{
    if (startedAtMs != 0 && newStartMs != startedAtMs) {
        cached.clear();
        outcomes.clear();
        failuresInRow = 0;
        ejectedUntil = {};
        starts = 0;
        meanStartMs = 0;
        speed = {};
        runMs = 0;
    }
    startedAtMs = newStartMs;
}

void runner_table::runner_record::use(std::uint32_t chain, std::uint32_t tokens, bool isPrefilled)
{
    if (!holds(chain)) {
        tokensIn += tokens;
        ownTokensIn += tokens;
        zoneTokensIn += tokens;
        cached[chain].isPrefilled = false;
    }
    cached_part &part = cached[chain];
    part.usedAt = tokensIn;
    part.isPrefilled = part.isPrefilled || isPrefilled;
}

/// An engine that crashed restarts in its initial stage, and its entry shows that seconds later.
/// In the meantime it refuses all requests that are sent by the old entry. Ejection as for failed
/// runners did not suffice if many engines had restarted: they were tried again and again, and
/// with four of eight engines restarted, 600 of 1,900 short prompts in a second used up their
/// sends on refusals. So the entry is ignored until it changes.
void runner_table::recordMisdirected(const std::shared_ptr<const runner> &target)
{
    const std::lock_guard lock(guard);
    runner_record &entry = records[peer::runnerKey(target->id)];
    entry.misdirected = *target;
    entry.misdirectedUntil = clock.mono() + config::misdirectedTime;
}

void runner_table::recordRank(const service_id &service, std::uint32_t rank, std::uint32_t ownRank,
                              double prefillMs)
{
    const std::lock_guard lock(guard);
    rankMixes[service].record(rank, ownRank, prefillMs, clock.mono());
}

bool runner_table::hasRoomForPromotion(const service_id &service)
{
    const std::lock_guard lock(guard);
    const auto mix = rankMixes.find(service);
    return mix == rankMixes.end() || mix->second.hasRoomForPromotion();
}

std::uint32_t runner_table::recentSendsTo(std::uint32_t runner)
{
    const std::lock_guard lock(guard);
    const auto found = records.find(runner);
    return found == records.end() ? 0 : found->second.recentSends.countAt(clock.mono());
}

std::uint32_t runner_table::recentStartsAt(std::uint32_t runner)
{
    const std::lock_guard lock(guard);
    const auto found = records.find(runner);
    return found == records.end() ? 0 : found->second.recentStarts.countAt(clock.mono());
}

std::optional<mono_time> runner_table::lastAnswerOf(const runner_id &target)
{
    const std::lock_guard lock(guard);
    const auto found = records.find(peer::runnerKey(target));
    const bool isKnown = found != records.end() && found->second.answeredAt != mono_time{};
    return isKnown ? std::optional(found->second.answeredAt) : std::nullopt;
}

/// @attention The caller must hold `guard`.
runner_table::runner_record &runner_table::useParts(const runner_id &target,
                                                    const std::vector<prompt_part> &prompt,
                                                    bool isPrefilled)
{
    const std::uint32_t runner = peer::runnerKey(target);
    runner_record &entry = records[runner];
    for (const prompt_part &part : prompt)
        entry.use(static_cast<std::uint32_t>(part.chain), part.tokens, isPrefilled);
    queueCachedUpdate(runner, prompt, isPrefilled);
    return entry;
}

void runner_table::recordCached(const runner_id &target, const std::vector<prompt_part> &prompt)
{
    const std::lock_guard lock(guard);
    runner_record &entry = useParts(target, prompt, false);
    entry.sendsLeft.fill(config::updateRepeats);
    if (entry.cached.size() <= config::maxCachedParts)
        return;
    const std::uint64_t middle = entry.tokensIn / 2;
    std::erase_if(entry.cached, [middle](const auto &part) { return part.second.usedAt < middle; });
}

void runner_table::recordPrefilled(const runner_id &target, const std::vector<prompt_part> &prompt)
{
    const std::lock_guard lock(guard);
    useParts(target, prompt, true);
}

/// @attention The caller must hold `guard`.
void runner_table::queueCachedUpdate(std::uint32_t runner, const std::vector<prompt_part> &prompt,
                                     bool isPrefilled)
{
    // The last part belongs to this request alone: no other request will need it.
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        const auto chain = static_cast<std::uint32_t>(prompt[i].chain);
        holders.add(chain, runner);
        for (std::deque<cached_update> &waiting : pendingUpdates)
            queueCached(waiting, {runner, chain, isPrefilled});
    }
}

/// If a zone has no other members, its queue is never drained: without a bound, an instance alone
/// in its zone would queue updates until it runs out of memory. The oldest updates are the least
/// useful.
void runner_table::queueCached(std::deque<cached_update> &waiting, const peer::cached_prefix &one)
{
    waiting.push_back({one, config::updateRepeats});
    if (waiting.size() > config::maxPendingUpdates)
        waiting.pop_front();
}

void runner_table::removeUnlisted(const runner_set &listed)
{
    const std::lock_guard lock(guard);
    std::erase_if(records, [&listed](const auto &entry) {
        return entry.second.own.open == 0 && !listed.findByKey(entry.first);
    });
}

} // namespace poplarspool::gateway
