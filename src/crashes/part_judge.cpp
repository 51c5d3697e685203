#include "crashes/part_judge.h"

#include "crashes/crash_update.h"
#include "crashes/part_verdicts.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/crashes/limits.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>

namespace poplarspool::crashes {

namespace {

/// @returns The instances other than this one that come first for the key.
std::vector<const peer::fleet_instance *> rankedOthers(const peer::fleet &known,
                                                       const instance_id &self, std::uint64_t key,
                                                       std::size_t count)
{
    const std::string_view bytes(reinterpret_cast<const char *>(&key), sizeof(key));
    std::vector<const peer::fleet_instance *> others;
    for (const std::size_t index : peer::rankedInstances(known, bytes, count)) {
        if (known.instances[index].id != self)
            others.push_back(&known.instances[index]);
    }
    return others;
}

} // namespace

part_judge::part_judge(part_judge_dependencies given, crash_table &table)
    : dependencies(std::move(given)), table(table),
      questions(dependencies.metrics.counterOf("poplarspool_crash_questions_total")),
      verdicts(dependencies.metrics.counterOf("poplarspool_crash_verdicts_total"))
{ }

std::vector<endpoint> part_judge::rankedAddresses(std::uint64_t key, std::size_t count) const
{
    const auto fleet = dependencies.fleet.current();
    std::vector<endpoint> addresses;
    for (const peer::fleet_instance *one : rankedOthers(*fleet, dependencies.self, key, count)) {
        if (one->peerAddress.isValid())
            addresses.push_back(one->peerAddress);
    }
    return addresses;
}

/// @returns The place of this instance among the part's judges; none if it isn't one.
std::optional<std::size_t> part_judge::ownRank(std::uint64_t key) const
{
    const auto fleet = dependencies.fleet.current();
    const std::string_view bytes(reinterpret_cast<const char *>(&key), sizeof(key));
    const auto ranked = peer::rankedInstances(*fleet, bytes, config::partJudges);
    const auto own = std::ranges::find_if(ranked, [&](std::size_t index) {
        return fleet->instances[index].id == dependencies.self;
    });
    return own == ranked.end() ? std::nullopt : std::optional<std::size_t>(own - ranked.begin());
}

void part_judge::sendToJudges(const crash_record &record) const
{
    dependencies.send(rankedAddresses(record.key, config::partJudges), encode(part_notice{record}));
}

void part_judge::sendToAll(const crash_record &record) const
{
    const auto fleet = dependencies.fleet.current();
    dependencies.send(rankedAddresses(record.key, fleet->instances.size()),
                      encode(part_notice{record}));
}

void part_judge::reportEnd(const request_suspects &suspects, const ended_incarnation &ended)
{
    end_notice notice{ended.incarnationKey, ended.endedAtMs, suspects.digest, suspects.parts};
    table.merge(recordsOf(notice));
    std::set<endpoint> to;
    for (const part_suspect &part : notice.parts) {
        for (endpoint &each : rankedAddresses(part.key, config::toldInstances))
            to.insert(std::move(each));
    }
    if (!to.empty())
        dependencies.send({to.begin(), to.end()}, encode(std::move(notice)));
}

void part_judge::reportServed(const request_suspects &suspects,
                              const std::vector<crash_record> &cleared)
{
    for (const part_suspect &part : suspects.parts)
        served.record(part.key);
    for (const crash_record &one : cleared) {
        if (one.kind != suspect_kind::PromptPart)
            continue;
        if (one.isConvicted)
            sendToAll(one);
        else
            sendToJudges(one);
    }
}

bool part_judge::wasServed(std::uint64_t key) const
{
    return served.contains(key) || table.countEnds(key).wasServed;
}

bool part_judge::takeTrial(std::uint64_t key)
{
    if (ownRank(key) != std::size_t{0})
        return false;
    const mono_time now = dependencies.clock.mono();
    const std::lock_guard lock(guard);
    std::erase_if(triedAt, [now](const auto &entry) {
        return now - entry.second >= config::partTrialInterval;
    });
    return triedAt.try_emplace(key, now).second;
}

/// An answer from before the ends speaks for the part, but less than one after them.
void part_judge::testify(const crash_record &asked)
{
    if (asked.wasServed || !served.contains(asked.key))
        return;
    crash_record known = asked;
    known.wasServed = true;
    table.merge({known});
    sendToJudges(known);
}

/// An instance that still sends requests with a convicted part has missed the verdict.
void part_judge::informOfVerdicts(std::uint64_t sender, const end_notice &notice) const
{
    const auto fleet = dependencies.fleet.current();
    const auto to = std::ranges::find(fleet->instances, sender, &peer::fleet_instance::number);
    if (to == fleet->instances.end())
        return;
    for (const part_suspect &part : notice.parts) {
        const auto known = table.find(part.key);
        if (known && isVerdictUpheld(*known) && ownRank(part.key))
            dependencies.send({to->peerAddress}, encode(part_notice{*known}));
    }
}

bool part_judge::receive(std::uint64_t sender, std::string_view payload)
{
    const auto decoded = decodeCrashMessage(payload);
    if (!succeeded(decoded))
        return false;
    if (const auto *notice = std::get_if<end_notice>(&valueOf(decoded))) {
        table.merge(recordsOf(*notice));
        informOfVerdicts(sender, *notice);
    } else {
        const crash_record &record = std::get<part_notice>(valueOf(decoded)).record;
        if (table.merge({record}) && record.isConvicted)
            dependencies.onVerdicts({record.key}, false);
        testify(record);
    }
    return true;
}

/// Reports come in bursts, and each look costs time that grows with the number of records.
bool part_judge::isDue()
{
    const mono_time now = dependencies.clock.mono();
    const std::lock_guard lock(guard);
    if (now - judgedAt < config::minJudgeInterval)
        return false;
    judgedAt = now;
    return true;
}

/// @returns The parts of which this instance is a judge, and which have ends that were not known at
///          the last question about them.
std::vector<std::uint64_t> part_judge::questionsDue(const std::vector<suspected_part> &suspected)
{
    const mono_time now = dependencies.clock.mono();
    std::map<std::uint64_t, question> next;
    std::vector<std::uint64_t> due;
    const std::lock_guard lock(guard);
    for (const suspected_part &one : suspected) {
        const auto last = asked.find(one.key);
        const bool isRecent = last != asked.end()
                && (last->second.incarnations >= one.incarnations
                    || now - last->second.askedAt < config::questionInterval);
        if (isRecent) {
            next.insert(*last);
            continue;
        }
        if (due.size() >= config::maxQuestionsAtOnce)
            continue;
        const bool isJudge = ownRank(one.key).has_value();
        next[one.key] = {now, one.incarnations, isJudge};
        if (isJudge)
            due.push_back(one.key);
    }
    asked = std::move(next);
    return due;
}

void part_judge::ask(std::uint64_t key)
{
    const auto suspected = table.find(key);
    if (!suspected)
        return;
    questions.add();
    testify(*suspected);
    sendToAll(*suspected);
}

/// @returns The parts about which those that were asked have had time to reply.
std::set<std::uint64_t> part_judge::answeredParts() const
{
    const mono_time now = dependencies.clock.mono();
    std::set<std::uint64_t> answered;
    const std::lock_guard lock(guard);
    for (const auto &[key, last] : asked) {
        if (last.isJudge && now - last.askedAt >= config::witnessTime)
            answered.insert(key);
    }
    return answered;
}

mono_time part_judge::nextCall() const
{
    const mono_time now = dependencies.clock.mono();
    mono_time next = now + config::idleJudgeInterval;
    const std::lock_guard lock(guard);
    for (const auto &[key, last] : asked) {
        if (last.isJudge && last.askedAt + config::witnessTime > now)
            next = std::min<mono_time>(next, last.askedAt + config::witnessTime);
    }
    return next;
}

void part_judge::announce(std::uint64_t key)
{
    table.convict(key);
    verdicts.add();
    const auto convicted = table.find(key);
    if (!convicted)
        return;
    sendToAll(*convicted);
    dependencies.spreadRumor(partRumor(*convicted));
}

mono_time part_judge::judge()
{
    if (!isDue())
        return nextCall();
    for (const std::uint64_t key : questionsDue(table.suspectedParts()))
        ask(key);
    const std::set<std::uint64_t> answered = answeredParts();
    std::vector<std::uint64_t> convicted;
    if (!answered.empty())
        std::ranges::set_intersection(table.partsToConvict(), answered,
                                      std::back_inserter(convicted));
    for (const std::uint64_t key : convicted)
        announce(key);
    if (!convicted.empty())
        dependencies.onVerdicts(convicted, true);
    return nextCall();
}

} // namespace poplarspool::crashes
