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

/// The worse of what gossip and the platform's list say.
enum class member_state { Alive, Suspect, Leaving, Dead };

std::string_view nameOf(member_state state);

/// One instance, as this instance knows it.
struct member
{
    instance_id id;
    zone_id zone;
    endpoint callerAddress;
    endpoint peerAddress;
    incarnation life = 0;
    member_state state = member_state::Alive;
    std::uint64_t appliedVersion = 0; ///< Store version up to which its view is complete.
    std::uint32_t openStreams = 0;
    /// When, on this instance's clock, that member's view was last confirmed by the store, by
    /// itself or through a peer.
    mono_time confirmedAt{};

    bool operator==(const member &) const = default;
};

/// What a runner said of itself, possibly a while ago.
struct load_report
{
    incarnation life = 0; ///< Of the runner.
    std::uint64_t sequence = 0; ///< Grows with each report of one life.
    engine_role role = engine_role::Mixed;
    bool isChanging = false; ///< Role change or load of weights going on: serves nothing.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t kvPiecesUsed = 0;
    std::uint32_t kvPiecesTotal = 0;
    std::uint64_t prefillTokensQueued = 0;
    std::uint64_t lastFence = 0; ///< Highest fencing number it obeyed.
    std::vector<model_version> models; ///< Loaded.

    bool operator==(const load_report &) const = default;
};

enum class runner_health {
    Unknown, ///< Not heard of yet: may be tried.
    Up,
    Down, ///< Refuses connections or answers nonsense.
};

/// A runner's present, beside its runner_spec at the same index.
struct runner_state
{
    runner_health health = runner_health::Unknown;
    load_report report;
    mono_time reportedAt{}; ///< On this instance's clock, when the report was taken.
    bool isReserved = false; ///< An order is open or a plan drains it: no new work.

    bool operator==(const runner_state &) const = default;
};

/// Everything that a request's path reads, in one immutable value.
struct view
{
    std::uint64_t version = 0; ///< Grows with each view of this process.
    std::uint64_t configVersion = 0; ///< Store version of the configuration head; 0: none yet.
    std::uint64_t appliedVersion = 0; ///< Store version up to which this view is complete.
    /// Until when new work may be accepted on this view (docs/design/freshness.md). A time and not
    /// a flag: a process that was frozen must see that its view is old before it looks anew.
    mono_time freshUntil{};
    std::shared_ptr<const inventory> fleet;
    std::shared_ptr<const rules> book;
    std::vector<runner_state> runners; ///< Same indices as fleet->runners.
    std::vector<member> members; ///< Sorted by id; this instance too.
    /// Of `fleet`; one of another inventory, or none, is not used and only costs time.
    std::shared_ptr<const view_index> index;
};

using view_ptr = std::shared_ptr<const view>;

/// Puts another inventory into a view: its index too, and what is known of the runners that are in
/// both, by their ids.
void replaceFleet(view &now, std::shared_ptr<const inventory> fleet);

/// @returns Whether new work may be accepted on this view now.
bool isFresh(const view &now, mono_time time);

/// @returns Whether the report is young enough to say anything about its runner's load.
bool isFreshReport(const runner_state &runner, mono_time time);

/// @returns Whether the runner's present, its spec aside, lets it take new work.
inline bool isOpenForWork(const runner_state &runner)
{
    return !runner.isReserved && !runner.report.isChanging && runner.health != runner_health::Down;
}

/// @returns Whether the runner may get new work now: not draining, reserved, down or changing.
bool isOpenForWork(const view &now, runner_handle runner);

} // namespace poplarspool::policy
