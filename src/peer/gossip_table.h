#pragma once

#include "peer/gossip_message.h"
#include "peer/member_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace poplarspool::peer {

struct table_times
{
    milliseconds deadTime; ///< After which a suspect is taken for dead.
    milliseconds deadKeepTime; ///< After which the dead are forgotten.
};

/// A member whose state this table has seen change; for the log.
struct member_change
{
    instance_id id;
    incarnation life = 0;
    policy::member_state state = policy::member_state::Alive;

    bool operator==(const member_change &) const = default;
};

/// How often each part of a member's record was told since it changed.
struct told_counts
{
    std::uint32_t record = 0;
    std::uint32_t pulse = 0;
};

struct known_member
{
    member_record record;
    std::uint64_t handle = 0;
    std::uint64_t sender = 0; ///< senderNumber(): the instance in headers.
    mono_time suspectedAt{}; ///< When this table first saw the present suspicion.
    told_counts told;
};

/// Membership as one instance knows it: a single-threaded state machine over values and the time
/// that is given to it.
///
/// A dead life never comes back. An instance that hears it is suspected refutes within its life;
/// one that hears it is dead (it was frozen, or cut off) goes on under a higher life. One that
/// hears of a higher life of its own name at another address has been replaced: it shows itself as
/// leaving.
class gossip_table
{
public:
    gossip_table(member_record self, table_times times);

    /// The port is known only once the socket is bound.
    void setPeerAddress(const endpoint &address);
    /// @returns Whether the version is new, which peers should hear soon.
    bool setApplied(std::uint64_t appliedVersion, mono_time confirmedAt);
    void setOpenStreams(std::uint32_t count);
    void setLeaving();
    /// The last word of this life: it has left and need not be suspected.
    void setGone(mono_time now);
    /// Makes what was set since the last heartbeat visible to others.
    void beat();

    void join(const member_record &news, mono_time now);
    /// @returns Whether the member is known.
    bool join(const known_pulse &news);
    /// @returns Whether that life is a living member that is now suspected.
    bool suspect(const instance_id &id, incarnation life, mono_time now);
    /// Suspects become dead, the dead are forgotten, as their time comes.
    void expire(mono_time now);
    /// This instance was stopped and has heard nobody: the time was not the suspects'.
    void restartSuspicions(mono_time now);

    /// What others may hear of this instance: as of the last heartbeat.
    const known_member &self() const { return own; }
    bool isReplaced() const { return replaced; }
    /// @returns Nothing where it is unknown; dead ones are found.
    const known_member *find(const instance_id &id) const;
    const known_member *findSender(std::uint64_t sender) const;
    const known_member *findHandle(std::uint64_t handle) const;
    const std::map<instance_id, known_member> &others() const { return known; }
    std::size_t livingOthers() const;

    /// All but the dead, with this instance, sorted by id.
    std::vector<policy::member> members() const;

    /// Members whose records, or pulses, were told less than `limit` times since they changed.
    std::vector<known_member *> untoldRecords(std::uint32_t limit);
    std::vector<known_member *> untoldPulses(std::uint32_t limit);
    bool hasUntold(std::uint32_t limit) const;

    std::vector<member_change> takeChanges();
    /// @returns Whether members() differs from when this was last asked, but for loads.
    bool takeIsChanged();

private:
    void joinOwn(const member_record &news);
    void startNewLife(incarnation above);
    void add(const member_record &news, mono_time now);
    void onState(known_member &member, policy::member_state before);
    void index(known_member &member);
    void forget(const instance_id &id);
    bool makeRoom();

    const table_times times;
    known_member own;
    member_pulse nextPulse; ///< What the next heartbeat will say.
    bool replaced = false;
    bool isChanged = true;
    std::map<instance_id, known_member> known;
    std::unordered_map<std::uint64_t, known_member *> byHandle;
    std::unordered_map<std::uint64_t, known_member *> bySender;
    std::vector<member_change> changes;
    mutable std::optional<std::size_t> living; ///< Counted again after a change of state.
};

} // namespace poplarspool::peer
