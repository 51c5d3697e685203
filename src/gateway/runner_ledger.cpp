#include "gateway/runner_ledger.h"

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
    return std::min<std::chrono::nanoseconds>(config::setAsideFirst * (1U << doublings),
                                              config::setAsideMost);
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

runner_ledger::runner_ledger(clock_source clock) : clock(std::move(clock)) { }

runner_ledger::open_send::open_send(runner_ledger &ledger, const runner_id &target,
                                    double prefillMs, send_class urgency)
    : ledger(ledger), target(peer::runnerKey(target)), readingMs(prefillMs), urgency(urgency),
      sentAt(ledger.clock.mono())
{
    ledger.opened(*this);
}

runner_ledger::open_send::~open_send()
{
    ledger.ended(*this);
}

bool runner_ledger::open_send::noteStart()
{
    if (startedAt != mono_time{})
        return false;
    startedAt = ledger.clock.mono();
    ledger.started(*this);
    return true;
}

void runner_ledger::open_send::noteExpected(const service_id &service, engine_stage stage,
                                            double workMs)
{
    this->service = service;
    this->stage = stage;
    expectedMs = urgency == send_class::Urgent ? workMs : 0;
}

void runner_ledger::waiting_work::add(std::uint32_t more, double moreMs)
{
    count += more;
    readingMs += moreMs;
}

void runner_ledger::waiting_work::takeOff(std::uint32_t less, double lessMs)
{
    count -= std::min(count, less);
    readingMs = std::max(readingMs - lessMs, 0.0);
}

runner_ledger::waiting_work &runner_ledger::work_sum::of(send_class urgency)
{
    return urgency == send_class::Urgent ? urgent : later;
}

void runner_ledger::work_sum::add(const peer::runner_work &update)
{
    open += update.open;
    urgent.add(update.waiting, update.readingMs);
    later.add(update.waitingLater, update.laterMs);
}

void runner_ledger::work_sum::takeOff(const peer::runner_work &update)
{
    open -= std::min(open, update.open);
    urgent.takeOff(update.waiting, update.readingMs);
    later.takeOff(update.waitingLater, update.laterMs);
}

void runner_ledger::opened(const open_send &sent)
{
    const std::lock_guard lock(guard);
    record &entry = records[sent.target];
    ++entry.own.open;
    entry.own.of(sent.urgency).add(1, sent.readingMs);
    entry.tellsLeft.fill(config::newsRepeats);
}

void runner_ledger::started(const open_send &sent)
{
    const std::lock_guard lock(guard);
    record &entry = records[sent.target];
    entry.own.of(sent.urgency).takeOff(1, sent.readingMs);
    const mono_time now = sent.startedAt;
    const double tookMs = millisecondsOf(now - sent.sentAt);
    if (sent.expectedMs > 0) {
        engine_pace &pace = paces[sent.service][sent.stage];
        pace = learnPace(pace, sent.expectedMs, tookMs);
    }
    // The time of a prefill alone depends on the prompt's length. When it was compared too,
    // engines with long prompts seemed slow and lost their shared parts to others: mean worth
    // 0.411 instead of 0.432 over five days with faults and three seeds.
    if (!sent.isRun)
        return;
    const bool isOld = now - entry.startedAt > config::slownessMemory;
    entry.meanStartMs = isOld || entry.starts == 0
            ? tookMs
            : entry.meanStartMs + newSampleWeight * (tookMs - entry.meanStartMs);
    entry.starts = isOld ? 1 : entry.starts + 1;
    entry.startedAt = now;
}

void runner_ledger::ended(const open_send &sent)
{
    const std::lock_guard lock(guard);
    const bool hasStarted = sent.startedAt != mono_time{};
    record &entry = records[sent.target];
    if (!hasStarted)
        entry.own.of(sent.urgency).takeOff(1, sent.readingMs);
    entry.own.open -= std::min(entry.own.open, 1U);
    const mono_time now = clock.mono();
    if (sent.isRun && hasStarted && sent.end == send_end::Served) {
        const double tookMs = millisecondsOf(now - sent.startedAt);
        entry.runMs = entry.runMs == 0 ? tookMs
                                       : entry.runMs + newRunSampleWeight * (tookMs - entry.runMs);
    }
    noteOutcome(entry, sent.end, now);
}

/// A runner that fails part of its requests while it reports itself healthy is detected only by
/// the outcomes of its sends. A service's usual failures (one in seven for one of the users) must
/// not eject a runner, so the share of failed sends counts, not the first failure.
void runner_ledger::noteOutcome(record &entry, send_end how, mono_time now)
{
    switch (how) {
    case send_end::Unknown:
        return;
    case send_end::Refused:
        entry.setAsideUntil = std::max(entry.setAsideUntil, now + config::refusedPause);
        return;
    case send_end::Misdirected:
    case send_end::Unreachable:
        ++entry.failuresInRow;
        entry.setAsideUntil = now + ejectionTimeAfter(entry.failuresInRow);
        return;
    case send_end::Served:
    case send_end::Failed:
        break;
    }
    if (how == send_end::Served)
        entry.failuresInRow = 0;
    entry.outcomes.push_back(how == send_end::Failed);
    if (entry.outcomes.size() > config::judgedSends)
        entry.outcomes.pop_front();
    const auto failures = static_cast<std::size_t>(std::ranges::count(entry.outcomes, true));
    const double share = static_cast<double>(failures) / static_cast<double>(entry.outcomes.size());
    if (how != send_end::Failed || failures < config::leastFailures || share < config::failingShare)
        return;
    ++entry.failuresInRow;
    entry.setAsideUntil = now + ejectionTimeAfter(entry.failuresInRow);
    entry.outcomes.clear();
}

/// Engines evict the least recently used parts: a part counts as evicted once as many other tokens
/// were added as the cache holds in addition to running requests. If it were assumed cached for
/// longer, it would be copied from a runner that no longer has it, and prefilled anyway.
bool runner_ledger::record::holds(std::uint32_t chain) const
{
    const auto found = cached.find(chain);
    return found != cached.end() && (capacity == 0 || tokensIn - found->second.usedAt <= capacity);
}

/// A runner that restarted under its id has an empty cache, and its failures were those of the
/// previous incarnation. If the record were kept, prompts would be sent there for a cache that no
/// longer exists.
void runner_ledger::record::beginLife(std::uint64_t newStartMs)
{
    if (bornMs != 0 && newStartMs != bornMs) {
        cached.clear();
        outcomes.clear();
        failuresInRow = 0;
        setAsideUntil = {};
        starts = 0;
        meanStartMs = 0;
        runMs = 0;
    }
    bornMs = newStartMs;
}

void runner_ledger::record::use(std::uint32_t chain, std::uint32_t tokens, bool isRead)
{
    if (!holds(chain)) {
        tokensIn += tokens;
        ownTokensIn += tokens;
        cached[chain].isRead = false;
    }
    cached_part &part = cached[chain];
    part.usedAt = tokensIn;
    part.isRead = part.isRead || isRead;
}

void runner_ledger::noteCachedTokens(const record &entry, const std::vector<prompt_part> &prompt,
                                     place_candidate &into)
{
    bool isRead = true;
    for (const prompt_part &part : prompt) {
        const auto chain = static_cast<std::uint32_t>(part.chain);
        if (!entry.holds(chain))
            return;
        isRead = isRead && entry.cached.at(chain).isRead;
        into.cachedTokens += part.tokens;
        into.readTokens += isRead ? part.tokens : 0;
    }
}

std::vector<place_candidate> runner_ledger::candidatesOf(const catalogue &known,
                                                         const service_id &service,
                                                         const engine_traits *engine,
                                                         const std::vector<prompt_part> &prompt,
                                                         const std::vector<runner_id> &tried)
{
    std::vector<place_candidate> candidates;
    const std::uint64_t capacity = engine == nullptr
            ? 0
            : static_cast<std::uint64_t>(config::cacheShare
                                         * static_cast<double>(engine->kvTokens));
    const std::lock_guard lock(guard);
    const mono_time now = clock.mono();
    dropSilentPeers(now);
    const std::map<engine_stage, engine_pace> &paceByStage = paces[service];
    for (const auto &[id, target] : known.runners) {
        if (target->service != service)
            continue;
        place_candidate one;
        one.target = target;
        one.isTried = std::ranges::find(tried, id) != tried.end();
        if (const auto pace = paceByStage.find(target->stage); pace != paceByStage.end())
            one.load.pace = pace->second;
        const std::uint32_t key = peer::runnerKey(id);
        const auto found = records.find(key);
        if (found != records.end()) {
            record &entry = found->second;
            entry.beginLife(target->bornMs);
            entry.capacity = capacity;
            const work_sum &own = entry.own;
            const work_sum &others = entry.elsewhere;
            one.load.open = own.open + others.open;
            one.load.waiting = own.urgent.count + others.urgent.count;
            one.load.waitingLater = own.later.count + others.later.count;
            one.load.readingMs = own.urgent.readingMs + others.urgent.readingMs;
            one.load.laterMs = own.later.readingMs + others.later.readingMs;
            one.load.runMs = entry.runMs;
            one.load.setAsideUntil = entry.setAsideUntil;
            one.isMisdirected =
                    entry.misdirectedUntil > now && saysTheSame(entry.misdirected, *target);
            noteCachedTokens(entry, prompt, one);
        }
        candidates.push_back(std::move(one));
    }
    judgeSlowness(candidates, now);
    return candidates;
}

/// Subtracts an instance's last update from the sums.
void runner_ledger::takeOff(const peer_record &update)
{
    for (const auto &[runner, work] : update.work) {
        records[runner].elsewhere.takeOff(work);
    }
}

/// An instance that has crashed does not announce the end of its requests.
void runner_ledger::dropSilentPeers(mono_time now)
{
    for (auto peer = peers.begin(); peer != peers.end();) {
        const std::chrono::nanoseconds silence = std::max<std::chrono::nanoseconds>(
                config::loadNewsMemory, config::silentIntervals * peer->second.interval);
        if (now - peer->second.heardAt <= silence) {
            ++peer;
            continue;
        }
        takeOff(peer->second);
        peer = peers.erase(peer);
    }
}

peer::load_news runner_ledger::collectNews(peer::news_audience audience)
{
    const auto index = static_cast<std::size_t>(audience);
    peer::load_news update;
    const std::lock_guard lock(guard);
    for (auto &[key, entry] : records) {
        std::uint32_t &tellsLeft = entry.tellsLeft[index];
        const work_sum &own = entry.own;
        if ((own.open == 0 && tellsLeft == 0) || update.work.size() >= config::maxLoadItems)
            continue;
        tellsLeft -= std::min(tellsLeft, 1U);
        update.work.push_back({key, own.open, static_cast<std::uint32_t>(own.urgent.readingMs),
                               static_cast<std::uint32_t>(own.later.readingMs),
                               static_cast<std::uint32_t>(entry.ownTokensIn), own.urgent.count,
                               own.later.count});
    }
    std::deque<cached_news> &waiting = news[index];
    const std::size_t count = std::min(waiting.size(), config::maxCachedNews);
    for (std::size_t i = 0; i < count; ++i) {
        cached_news one = waiting.front();
        waiting.pop_front();
        update.cached.push_back(one.chain);
        if (--one.repeatsLeft > 0)
            waiting.push_back(one);
    }
    return update;
}

void runner_ledger::takeNews(std::uint64_t sender, const peer::load_news &update)
{
    const std::lock_guard lock(guard);
    const mono_time now = clock.mono();
    peer_record &entry = peers[sender];
    if (entry.heardAt != mono_time{})
        entry.interval = std::min<std::chrono::nanoseconds>(now - entry.heardAt,
                                                            config::loadNewsIntervalMost);
    entry.heardAt = now;
    takeOff(entry);
    for (auto &[runner, work] : entry.work)
        work = {.runner = runner, .tokensIn = work.tokensIn};
    for (const peer::runner_work &one : update.work) {
        record &runnerEntry = records[one.runner];
        runnerEntry.elsewhere.add(one);
        peer::runner_work &known = entry.work[one.runner];
        runnerEntry.tokensIn += tokensSince(known.tokensIn, one.tokensIn);
        known = one;
    }
    for (const peer::cached_chain &one : update.cached) {
        record &runnerEntry = records[one.runner];
        const bool wasHeld = runnerEntry.holds(one.chain);
        cached_part &part = runnerEntry.cached[one.chain];
        part.usedAt = runnerEntry.tokensIn;
        part.isRead = one.isRead || (wasHeld && part.isRead);
    }
}

/// Compares slow runners with their siblings, since the duration of a request depends on the load
/// of all.
void runner_ledger::judgeSlowness(std::vector<place_candidate> &candidates, mono_time now)
{
    const auto meanOf = [&](const place_candidate &one) {
        const auto found = records.find(peer::runnerKey(one.target->id));
        const bool isKnown = found != records.end() && found->second.starts >= minStarts
                && now - found->second.startedAt <= config::slownessMemory;
        return isKnown ? found->second.meanStartMs : 0.0;
    };
    std::vector<double> means;
    for (const place_candidate &one : candidates) {
        const double mean = meanOf(one);
        if (mean > 0)
            means.push_back(mean);
    }
    if (means.size() < 2)
        return;
    const double usual = std::max(medianOf(means), config::leastUsualStartMs);
    for (place_candidate &one : candidates) {
        const double ratio = meanOf(one) / usual;
        if (ratio > config::slowRatio)
            one.load.slowness = std::min(ratio, config::mostSlowness);
    }
}

/// An engine that crashed restarts in its initial stage, and its entry shows that seconds later.
/// In the meantime it refuses all requests that are sent by the old entry. Ejection as for failed
/// runners did not suffice if many engines had restarted: they were tried again and again, and
/// with four of eight engines restarted, 600 of 1,900 short prompts in a second used up their
/// sends on refusals. So the entry is ignored until it changes.
void runner_ledger::noteMisdirected(const std::shared_ptr<const runner> &target)
{
    const std::lock_guard lock(guard);
    record &entry = records[peer::runnerKey(target->id)];
    entry.misdirected = *target;
    entry.misdirectedUntil = clock.mono() + config::misdirectedTime;
}

/// @attention The guard must be held.
runner_ledger::record &runner_ledger::useParts(const runner_id &target,
                                               const std::vector<prompt_part> &prompt, bool isRead)
{
    const std::uint32_t runner = peer::runnerKey(target);
    record &entry = records[runner];
    for (const prompt_part &part : prompt)
        entry.use(static_cast<std::uint32_t>(part.chain), part.tokens, isRead);
    tellCached(runner, prompt, isRead);
    return entry;
}

void runner_ledger::noteCached(const runner_id &target, const std::vector<prompt_part> &prompt)
{
    const std::lock_guard lock(guard);
    record &entry = useParts(target, prompt, false);
    entry.tellsLeft.fill(config::newsRepeats);
    if (entry.cached.size() <= config::maxCachedParts)
        return;
    const std::uint64_t middle = entry.tokensIn / 2;
    std::erase_if(entry.cached, [middle](const auto &part) { return part.second.usedAt < middle; });
}

void runner_ledger::noteRead(const runner_id &target, const std::vector<prompt_part> &prompt)
{
    const std::lock_guard lock(guard);
    useParts(target, prompt, true);
}

/// @attention The guard must be held.
void runner_ledger::tellCached(std::uint32_t runner, const std::vector<prompt_part> &prompt,
                               bool isRead)
{
    // The last part belongs to this request alone: no other request will need it.
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        const auto chain = static_cast<std::uint32_t>(prompt[i].chain);
        for (std::deque<cached_news> &waiting : news) {
            waiting.push_back({{runner, chain, isRead}, config::newsRepeats});
            // If a zone has no other members, its queue is never drained: without a bound, an
            // instance alone in its zone would queue updates until it runs out of memory. The
            // oldest updates are the least useful.
            if (waiting.size() > config::maxWaitingNews)
                waiting.pop_front();
        }
    }
}

void runner_ledger::forgetAllBut(const runner_map &listed)
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
