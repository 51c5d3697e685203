#pragma once

#include "peer/forward_groups.h"
#include "platform/kind_watch.h"
#include "platform/relay_updates.h"
#include "poplarspool/peer/relay_election.h"
#include "poplarspool/peer/update_assembler.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace poplarspool::adapter::test {

/// A change of one object in the simulated store.
struct simulated_change
{
    std::chrono::milliseconds at{0};
    std::size_t kind = 0; ///< Index in simulated_zone::kinds.
    std::size_t objects = 1; ///< Number of objects that change at once.
};

struct zone_scenario
{
    std::size_t instances = 165;
    staleness_bounds bounds;
    std::uint32_t seed = 1;
    double cutShare = 0; ///< Of the instances, whose calls get no answer from `cutAt` to `cutEnd`.
    std::chrono::milliseconds cutAt{0};
    std::chrono::milliseconds cutEnd{0};
    double lossShare = 0.01; ///< Of the datagrams.
    std::chrono::milliseconds maxForwardDelay{300};
    double linkBytesPerSecond = 2.5e6; ///< Of each instance's link.
    double storeBytesPerSecond = 1e9; ///< Share of the store's link that the zone's answers get.
    /// Interval at which instances read the list of instances that they send to; those that have
    /// started since are missing.
    std::chrono::milliseconds listInterval{0};
    std::vector<simulated_change> changes; ///< In the order of their times.
};

/// The instances of one zone, which follow a store: what they decide is the product's, while time,
/// the store, calls to it and datagrams are simulated.
class simulated_zone
{
public:
    static constexpr std::array<relayed_kind, 2> kinds{relayed_kind::Routes, relayed_kind::Runners};

    explicit simulated_zone(zone_scenario given);

    void runUntil(std::chrono::milliseconds end);

    /// @returns Maximum time from a change of the kind until a connected instance has applied it;
    /// the time since the change if one has not.
    std::chrono::milliseconds latest(std::size_t kind) const;
    /// @returns Calls to the store so far, of all instances.
    std::size_t callCount() const { return calls; }

private:
    struct followed_kind
    {
        kind_state known;
        peer::recent_changes recent;
        bool isCalling = false;
        std::uint32_t failures = 0;
        mono_time pausedUntil{};
        std::uint64_t step = 0; ///< Number of the only scheduled step that is valid.
    };

    struct missing_changes
    {
        store_version known;
        mono_time since{};
        mono_time requestedAt{};
    };

    struct instance
    {
        explicit instance(const instance_id &id, const zone_scenario &scenario);

        peer::relay_election election;
        peer::update_assembler assembler;
        std::array<followed_kind, kinds.size()> followed;
        std::vector<endpoint> others; ///< Listed instances.
        std::map<std::uint32_t, std::vector<peer::forward_batch>> batches; ///< By part.
        mono_time listedAt{};
        mono_time startedAt{};
        mono_time linkBusyUntil{};
        std::array<missing_changes, kinds.size()> missing{};
        std::uint64_t number = 0;
        std::uint64_t step = 0;
        peer::relay_role role = peer::relay_role::None;
        bool isCut = false;
    };

    struct store_answer
    {
        std::uint64_t since = 0;
        std::uint64_t revision = 0;
        std::size_t objects = 0;
        mono_time sentAt{}; ///< Of the call.
    };

    struct stored_change
    {
        std::uint64_t revision = 0;
        mono_time at{};
        std::size_t objects = 0;
    };

    struct scheduled
    {
        mono_time at{};
        std::uint64_t order = 0; ///< Keeps the order of those at the same time.
        std::function<void()> run;

        bool operator<(const scheduled &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    static mono_time timeOf(std::chrono::milliseconds time);
    void schedule(mono_time at, std::function<void()> run);
    bool isUnreachable(const instance &one, mono_time from, mono_time until) const;
    std::uint64_t revisionAt(mono_time time) const;
    store_answer answerOf(std::size_t kind, std::uint64_t since) const;
    void answer(std::size_t index, std::size_t kind, store_answer made, mono_time failsAt);
    void listInstances(std::size_t index);
    void requestChanges(std::size_t index, std::uint64_t relay, std::size_t kind);
    std::optional<mono_time> nextChangeAfter(std::size_t kind, std::uint64_t revision) const;
    peer::relay_ability abilityOf(const instance &one) const;
    void iterate(std::size_t index);
    void requestIteration(std::size_t index);
    static const std::vector<peer::forward_batch> &batchesOf(instance &one, std::uint32_t part);
    void send(std::size_t index);
    std::optional<mono_time> sendDatagram(instance &from, std::size_t to, std::uint64_t relay,
                                          const std::shared_ptr<const peer::store_update> &update);
    void forward(std::uint64_t relay, std::size_t forwarder, mono_time arrival,
                 const std::vector<endpoint> &to,
                 const std::shared_ptr<const peer::store_update> &update);
    void deliver(std::size_t index, std::uint64_t sender,
                 const std::shared_ptr<const peer::store_update> &update);
    void applyRelayed(followed_kind &followed, const peer::kind_update &update);
    void wake(std::size_t index, std::size_t kind);
    void follow(std::size_t index, std::size_t kind);
    void call(std::size_t index, std::size_t kind);
    void handleAnswer(std::size_t index, std::size_t kind, const store_answer &received);
    void handleFailure(std::size_t index, std::size_t kind);
    void raiseVersion(const instance &one, std::size_t kind, std::uint64_t from, std::uint64_t to);

    const zone_scenario scenario;
    const staleness_budget budget;
    std::mt19937 random;
    mono_time now;
    std::uint64_t scheduledCount = 0;
    std::priority_queue<scheduled> queue;
    std::vector<std::unique_ptr<instance>> instances;
    std::map<std::string, std::size_t> indexByAddress;
    std::map<std::uint64_t, std::size_t> indexByNumber;
    mono_time storeBusyUntil{};
    std::array<std::vector<stored_change>, kinds.size()> changesByKind;
    std::array<std::chrono::nanoseconds, kinds.size()> latestApplied{};
    std::size_t calls = 0;
};

} // namespace poplarspool::adapter::test
