#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/policy/inventory.h"
#include "poplarspool/policy/rules.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace poplarspool::policy {

/// The worse of the states that gossip and the platform's instance list report.
enum class member_state { Alive, Suspect, Leaving, Dead };

std::string_view nameOf(member_state state);

/// One instance, as known to this instance.
struct member
{
    instance_id id;
    zone_id zone;
    endpoint callerAddress;
    endpoint peerAddress;
    incarnation_number incarnation = 0;
    member_state state = member_state::Alive;
    std::uint64_t appliedVersion = 0; ///< Store version up to which the member's view is complete.
    std::uint32_t openStreams = 0;
    /// When the store last confirmed the member's view, directly or through a peer, on the local
    /// instance's clock.
    mono_time confirmedAt{};

    bool operator==(const member &) const = default;
};

/// A runner's last report about itself, which may be outdated.
struct load_report
{
    incarnation_number incarnation = 0; ///< Incarnation of the runner.
    std::uint64_t sequence = 0; ///< Increases with each report of one incarnation.
    engine_role role = engine_role::Mixed;
    bool isChanging = false; ///< Is changing its role or loading weights, and serves no requests.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t kvPiecesUsed = 0;
    std::uint32_t kvPiecesTotal = 0;
    std::uint64_t prefillTokensQueued = 0;
    std::uint64_t lastFence = 0; ///< Highest fencing token of an order it has accepted.
    std::vector<model_version> models; ///< Loaded models.

    bool operator==(const load_report &) const = default;
};

enum class runner_health {
    Unknown, ///< No report yet; may be tried.
    Up,
    Down, ///< Refuses connections or sends invalid responses.
};

/// Current state of a runner. Its runner_spec has the same index.
struct runner_state
{
    runner_health health = runner_health::Unknown;
    load_report report;
    mono_time reportedAt{}; ///< When the report was taken, on the local instance's clock.
    bool isReserved = false; ///< Has an open order or is drained by a plan: receives no new work.

    bool operator==(const runner_state &) const = default;
};

/// Immutable snapshot of all data that request handling reads.
struct view
{
    std::uint64_t version = 0; ///< Increases with each view of this process.
    std::uint64_t configVersion = 0; ///< Store version of the configuration head; 0: not read yet.
    std::uint64_t appliedVersion = 0; ///< Store version up to which this view is complete.
    /// Time until which new work may be accepted based on this view (docs/design/freshness.md). A
    /// time and not a flag, so that a process that was suspended detects an outdated view before
    /// its next update.
    mono_time freshUntil{};
    std::shared_ptr<const inventory> fleet;
    std::shared_ptr<const rules> ruleSet;
    std::vector<runner_state> runners; ///< Indexed as fleet->runners.
    std::vector<member> members; ///< Sorted by id; includes this instance.
    /// Index of `fleet`. If it is missing or belongs to another inventory, routing builds a
    /// temporary one for each request, which only costs time.
    std::shared_ptr<const view_index> index;
};

using view_ptr = std::shared_ptr<const view>;

/// Replaces the inventory and its index in a view. Keeps the state of runners that are in both
/// inventories with the same id and address.
void replaceFleet(view &now, std::shared_ptr<const inventory> fleet);

/// @returns Whether new work may be accepted based on this view now.
bool isFresh(const view &now, mono_time time);

/// @returns Whether the report is recent enough to estimate the runner's load.
bool isFreshReport(const runner_state &runner, mono_time time);

/// @returns Whether the runner's state allows new work, regardless of its spec.
inline bool isOpenForWork(const runner_state &runner)
{
    return !runner.isReserved && !runner.report.isChanging && runner.health != runner_health::Down;
}

/// @returns Whether the runner may receive new work now: it isn't draining, reserved, down or
///          changing.
bool isOpenForWork(const view &now, runner_handle runner);

} // namespace poplarspool::policy
