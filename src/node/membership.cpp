#include "node/membership.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/node/limits.h"

#include <algorithm>

namespace poplarspool::node {

membership::membership(membership_dependencies dependencies, peer::gossip &gossip,
                       platform::instance_list list, view_publisher &views, clock_source clock,
                       journal &events)
    : dependencies(std::move(dependencies)), gossip(gossip), list(std::move(list)), views(views),
      clock(std::move(clock)), events(events)
{ }

membership::~membership()
{
    stop();
}

void membership::start()
{
    gossip.setContacts(dependencies.seeds);
    worker = std::thread([this] { loop(); });
}

void membership::stop()
{
    {
        const std::lock_guard lock(guard);
        isStopping = true;
    }
    wake.notify_all();
    if (worker.joinable())
        worker.join();
}

std::vector<policy::member> membership::others() const
{
    std::vector<policy::member> all = gossip.members();
    std::erase_if(all,
                  [this](const policy::member &other) { return other.id == dependencies.self; });
    return all;
}

bool membership::appliedEverywhere(std::uint64_t version)
{
    const mono_time now = clock.mono();
    const std::lock_guard lock(guard);
    std::erase_if(firstQueriedAt, [&](const auto &entry) {
        return entry.first != version && now - entry.second > config::departedRetention;
    });
    const mono_time since = firstQueriedAt.try_emplace(version, now).first->second;
    acknowledgements known;
    known.version = version;
    known.sinceFirstQuery = std::chrono::duration_cast<milliseconds>(now - since);
    known.members = gossip.members();
    known.listed = listed;
    known.departed = departed(known.members);
    return isAppliedEverywhere(known);
}

void membership::recordMembers(const std::vector<policy::member> &present)
{
    const mono_time now = clock.mono();
    const std::lock_guard lock(guard);
    for (const policy::member &other : present)
        lastSeen[other.id] = {other.appliedVersion, now};
    std::erase_if(lastSeen, [&](const auto &entry) {
        return now - entry.second.seenAt > config::departedRetention;
    });
}

std::vector<departed_member> membership::departed(const std::vector<policy::member> &present) const
{
    std::vector<departed_member> gone;
    for (const auto &[id, last] : lastSeen) {
        const auto isSame = [&id = id](const policy::member &other) { return other.id == id; };
        if (std::none_of(present.begin(), present.end(), isSame))
            gone.push_back({id, last.appliedVersion});
    }
    return gone;
}

bool membership::isWatcher() const
{
    const std::vector<policy::member> all = gossip.members();
    const auto self = std::find_if(all.begin(), all.end(), [this](const policy::member &other) {
        return other.id == dependencies.self;
    });
    if (self == all.end())
        return true;
    const std::uint64_t own = rendezvousWeight(dependencies.self.text, "watch");
    const auto before = std::count_if(all.begin(), all.end(), [&](const policy::member &other) {
        return other.state == policy::member_state::Alive && other.zone == self->zone
                && rendezvousWeight(other.id.text, "watch") > own;
    });
    return static_cast<std::size_t>(before) < config::watchersPerZone;
}

void membership::loop()
{
    for (;;) {
        fetchList();
        publish();
        dependencies.onRound();
        std::unique_lock lock(guard);
        wake.wait_for(lock, dependencies.roundInterval, [this] { return isStopping; });
        if (isStopping)
            return;
    }
}

void membership::fetchList()
{
    const mono_time now = clock.mono();
    if (hasFetched && now - listFetchedAt < config::instanceListPollInterval)
        return;
    hasFetched = true;
    listFetchedAt = now;
    const auto answer = list.fetch();
    if (!succeeded(answer))
        return;
    std::vector<endpoint> contacts = dependencies.seeds;
    std::vector<instance_id> leaving;
    for (const platform::listed_instance &entry : valueOf(answer)) {
        contacts.push_back(entry.peerAddress);
        if (entry.isLeaving)
            leaving.push_back(entry.id);
    }
    gossip.setContacts(std::move(contacts));
    gossip.setListedLeaving(std::move(leaving));
    const std::lock_guard lock(guard);
    listed = valueOf(answer);
}

void membership::publish()
{
    freshness_facts facts;
    facts.now = clock.mono();
    facts.confirmedAt = dependencies.confirmedAt();
    facts.appliedVersion = dependencies.appliedVersion();
    facts.self = dependencies.self;
    facts.members = gossip.members();
    {
        const std::lock_guard lock(guard);
        facts.listed = listed;
    }
    recordMembers(facts.members);
    const mono_time until = freshUntil(facts);
    const bool isFreshNow = facts.now < until;
    if (isFreshNow != wasFresh)
        events.emit(isFreshNow ? "view_fresh" : "view_not_fresh");
    wasFresh = isFreshNow;
    views.update([&](policy::view &draft) {
        const bool isSame = draft.freshUntil == until && draft.members == facts.members;
        draft.freshUntil = until;
        draft.members = std::move(facts.members);
        return !isSame;
    });
}

} // namespace poplarspool::node
