#include "gateway/runner_table.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <unordered_set>

namespace poplarspool::gateway {

namespace {

/// Weight of a new time in the moving mean: only the last few requests count.
constexpr double newSampleWeight = 0.25;
/// The same for the run time of a request: answers differ in length by a factor of more than ten.
constexpr double newRunSampleWeight = 0.06;
/// Number of recorded times from which a runner is compared with its siblings.
constexpr std::uint32_t minStarts = 3;

std::chrono::nanoseconds ejectionTimeAfter(std::uint32_t failuresInRow)
{
    const auto doublings = std::min(failuresInRow, 4U) - 1;
    return std::min<std::chrono::nanoseconds>(config::initialEjectionTime * (1U << doublings),
                                              config::maxEjectionTime);
}

/// Tokens between two values of one sender's counter, which wraps around. A value far below the
/// last one is from a new incarnation of the sender, which counts from 0.
std::uint32_t tokensSince(std::uint32_t before, std::uint32_t now)
{
    constexpr std::uint32_t half = 1U << 31U;
    const std::uint32_t passed = now - before;
    return passed < half ? passed : now;
}

double millisecondsOf(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double medianOf(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

runner_table::runner_table(clock_source clock) : clock(std::move(clock)) { }

runner_table::open_send::open_send(runner_table &table, const runner_id &target, double prefillMs,
                                   send_class urgency)
    : table(table), target(peer::runnerKey(target)), prefillMs(prefillMs), urgency(urgency),
      sentAt(table.clock.mono())
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
                                             double workMs)
{
    this->service = service;
    this->stage = stage;
    expectedMs = urgency == send_class::Urgent ? workMs : 0;
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

runner_table::waiting_work &runner_table::work_sum::of(send_class urgency)
{
    return urgency == send_class::Urgent ? urgent : late;
}

void runner_table::work_sum::add(const peer::runner_work &update)
{
    open += update.open;
    urgent.add(update.urgentWaiting, update.urgentPrefillMs);
    late.add(update.lateWaiting, update.latePrefillMs);
}

void runner_table::work_sum::subtract(const peer::runner_work &update)
{
    open -= std::min(open, update.open);
    urgent.subtract(update.urgentWaiting, update.urgentPrefillMs);
    late.subtract(update.lateWaiting, update.latePrefillMs);
}

void runner_table::opened(const open_send &sent)
{
    const std::lock_guard lock(guard);
    runner_record &entry = records[sent.target];
    ++entry.own.open;
    entry.own.of(sent.urgency).add(1, sent.prefillMs);
    entry.sendsLeft.fill(config::updateRepeats);
}

void runner_table::started(const open_send &sent)
{
    const std::lock_guard lock(guard);
    runner_record &entry = records[sent.target];
    entry.own.of(sent.urgency).subtract(1, sent.prefillMs);
    const mono_time now = sent.startedAt;
    const double tookMs = millisecondsOf(now - sent.sentAt);
    if (sent.expectedMs > 0) {
        engine_pace &pace = paces[sent.service][sent.stage];
        pace = updatePace(pace, sent.expectedMs, tookMs);
    }
    // The time of a prefill alone depends on the prompt's length. When it was compared too,
    // engines with long prompts seemed slow and lost their shared parts to others: mean worth
    // 0.411 instead of 0.432 over five days with faults and three seeds.
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
        entry.own.of(sent.urgency).subtract(1, sent.prefillMs);
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
/// the outcomes of its sends. A service's usual failures (one in seven for one of the users) must
/// not eject a runner, so the share of failed sends counts, not the first failure.
void runner_table::recordOutcome(runner_record &entry, send_outcome how, mono_time now)
{
    switch (how) {
    case send_outcome::Unknown:
        return;
    case send_outcome::Refused:
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
        runMs = 0;
    }
    startedAtMs = newStartMs;
}

void runner_table::runner_record::use(std::uint32_t chain, std::uint32_t tokens, bool isPrefilled)
{
    if (!holds(chain)) {
        tokensIn += tokens;
        ownTokensIn += tokens;
        cached[chain].isPrefilled = false;
    }
    cached_part &part = cached[chain];
    part.usedAt = tokensIn;
    part.isPrefilled = part.isPrefilled || isPrefilled;
}

void runner_table::countCachedTokens(const runner_record &entry,
                                     const std::vector<prompt_part> &prompt,
                                     placement_candidate &into)
{
    bool isPrefilled = true;
    for (const prompt_part &part : prompt) {
        const auto chain = static_cast<std::uint32_t>(part.chain);
        if (!entry.holds(chain))
            return;
        isPrefilled = isPrefilled && entry.cached.at(chain).isPrefilled;
        into.cachedTokens += part.tokens;
        into.copyableTokens += isPrefilled ? part.tokens : 0;
    }
}

std::vector<placement_candidate> runner_table::candidatesOf(const catalogue &known,
                                                            const service_id &service,
                                                            const engine_traits *engine,
                                                            const std::vector<prompt_part> &prompt,
                                                            const std::vector<runner_id> &tried)
{
    std::vector<placement_candidate> candidates;
    const std::uint64_t capacity = engine == nullptr
            ? 0
            : static_cast<std::uint64_t>(config::cacheShare
                                         * static_cast<double>(engine->kvTokens));
    const std::lock_guard lock(guard);
    const mono_time now = clock.mono();
    expireSilentPeers(now);
    const std::map<engine_stage, engine_pace> &paceByStage = paces[service];
    for (const auto &[id, target] : known.runners) {
        if (target->service != service)
            continue;
        placement_candidate one;
        one.target = target;
        one.isTried = std::ranges::find(tried, id) != tried.end();
        if (const auto pace = paceByStage.find(target->stage); pace != paceByStage.end())
            one.load.pace = pace->second;
        const std::uint32_t key = peer::runnerKey(id);
        const auto found = records.find(key);
        if (found != records.end()) {
            runner_record &entry = found->second;
            entry.beginIncarnation(target->startedAtMs);
            entry.capacity = capacity;
            const work_sum &own = entry.own;
            const work_sum &others = entry.others;
            one.load.open = own.open + others.open;
            one.load.urgentWaiting = own.urgent.count + others.urgent.count;
            one.load.lateWaiting = own.late.count + others.late.count;
            one.load.urgentPrefillMs = own.urgent.prefillMs + others.urgent.prefillMs;
            one.load.latePrefillMs = own.late.prefillMs + others.late.prefillMs;
            one.load.runMs = entry.runMs;
            one.load.ejectedUntil = entry.ejectedUntil;
            one.isMisdirected =
                    entry.misdirectedUntil > now && equalExceptWrites(entry.misdirected, *target);
            countCachedTokens(entry, prompt, one);
        }
        candidates.push_back(std::move(one));
    }
    estimateSlowness(candidates, now);
    return candidates;
}

/// Subtracts an instance's last update from the sums.
void runner_table::subtract(const peer_record &update)
{
    for (const auto &[runner, work] : update.work) {
        records[runner].others.subtract(work);
    }
}

/// An instance that has crashed does not announce the end of its requests.
void runner_table::expireSilentPeers(mono_time now)
{
    for (auto peer = peers.begin(); peer != peers.end();) {
        const std::chrono::nanoseconds silence = std::max<std::chrono::nanoseconds>(
                config::loadUpdateExpiry, config::maxSilentIntervals * peer->second.interval);
        if (now - peer->second.receivedAt <= silence) {
            ++peer;
            continue;
        }
        subtract(peer->second);
        peer = peers.erase(peer);
    }
}

peer::load_update runner_table::collectUpdate(peer::update_recipients recipients)
{
    const auto index = static_cast<std::size_t>(recipients);
    peer::load_update update;
    const std::lock_guard lock(guard);
    for (auto &[key, entry] : records) {
        std::uint32_t &sendsLeft = entry.sendsLeft[index];
        const work_sum &own = entry.own;
        if ((own.open == 0 && sendsLeft == 0) || update.work.size() >= config::maxLoadItems)
            continue;
        sendsLeft -= std::min(sendsLeft, 1U);
        update.work.push_back({key, own.open, static_cast<std::uint32_t>(own.urgent.prefillMs),
                               static_cast<std::uint32_t>(own.late.prefillMs),
                               static_cast<std::uint32_t>(entry.ownTokensIn), own.urgent.count,
                               own.late.count});
    }
    std::deque<cached_update> &waiting = pendingUpdates[index];
    const std::size_t count = std::min(waiting.size(), config::maxCachedPrefixes);
    for (std::size_t i = 0; i < count; ++i) {
        cached_update one = waiting.front();
        waiting.pop_front();
        update.cached.push_back(one.chain);
        if (--one.repeatsLeft > 0)
            waiting.push_back(one);
    }
    return update;
}

void runner_table::applyUpdate(std::uint64_t sender, const peer::load_update &update)
{
    const std::lock_guard lock(guard);
    const mono_time now = clock.mono();
    peer_record &entry = peers[sender];
    if (entry.receivedAt != mono_time{})
        entry.interval = std::min<std::chrono::nanoseconds>(now - entry.receivedAt,
                                                            config::maxLoadUpdateInterval);
    entry.receivedAt = now;
    subtract(entry);
    for (auto &[runner, work] : entry.work)
        work = {.runner = runner, .prefilledTokens = work.prefilledTokens};
    for (const peer::runner_work &one : update.work) {
        runner_record &runnerEntry = records[one.runner];
        runnerEntry.others.add(one);
        peer::runner_work &known = entry.work[one.runner];
        runnerEntry.tokensIn += tokensSince(known.prefilledTokens, one.prefilledTokens);
        known = one;
    }
    for (const peer::cached_prefix &one : update.cached) {
        runner_record &runnerEntry = records[one.runner];
        const bool wasHeld = runnerEntry.holds(one.prefixHash);
        cached_part &part = runnerEntry.cached[one.prefixHash];
        part.usedAt = runnerEntry.tokensIn;
        part.isPrefilled = one.isPrefilled || (wasHeld && part.isPrefilled);
    }
}

/// Compares slow runners with their siblings, since the duration of a request depends on the load
/// of all.
void runner_table::estimateSlowness(std::vector<placement_candidate> &candidates, mono_time now)
{
    const auto meanOf = [&](const placement_candidate &one) {
        const auto found = records.find(peer::runnerKey(one.target->id));
        const bool isKnown = found != records.end() && found->second.starts >= minStarts
                && now - found->second.lastStartAt <= config::slownessExpiry;
        return isKnown ? found->second.meanStartMs : 0.0;
    };
    std::vector<double> means;
    for (const placement_candidate &one : candidates) {
        const double mean = meanOf(one);
        if (mean > 0)
            means.push_back(mean);
    }
    if (means.size() < 2)
        return;
    const double usual = std::max(medianOf(means), config::minMedianStartMs);
    for (placement_candidate &one : candidates) {
        const double ratio = meanOf(one) / usual;
        if (ratio > config::slowRatio)
            one.load.slowness = std::min(ratio, config::maxSlowness);
    }
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
        for (std::deque<cached_update> &waiting : pendingUpdates) {
            waiting.push_back({{runner, chain, isPrefilled}, config::updateRepeats});
            // If a zone has no other members, its queue is never drained: without a bound, an
            // instance alone in its zone would queue updates until it runs out of memory. The
            // oldest updates are the least useful.
            if (waiting.size() > config::maxPendingUpdates)
                waiting.pop_front();
        }
    }
}

void runner_table::removeUnlisted(const runner_map &listed)
{
    const std::lock_guard lock(guard);
    std::unordered_set<std::uint32_t> present;
    for (const auto &entry : listed)
        present.insert(peer::runnerKey(entry.first));
    std::erase_if(records, [&present](const auto &entry) {
        return entry.second.own.open == 0 && !present.contains(entry.first);
    });
}

} // namespace poplarspool::gateway
