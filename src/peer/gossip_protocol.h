#pragma once

#include "peer/byte_budget.h"
#include "peer/gossip_message.h"
#include "peer/gossip_table.h"
#include "peer/prober.h"
#include "peer/rumor_table.h"
#include "poplarspool/peer/gossip.h"

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::peer {

/// A datagram to be sent, before it gets its header.
struct outgoing
{
    endpoint to;
    incarnation receiverLife = 0; ///< 0: not known.
    std::uint64_t callId = 0;
    std::string payload;
};

/// An authentic datagram that has arrived.
struct incoming
{
    endpoint from;
    std::uint64_t sender = 0;
    incarnation senderLife = 0;
    std::uint64_t callId = 0;
    std::string_view payload;
    mono_time arrivedAt{}; ///< Not later than it truly arrived.
};

/// Join: the page after the last, which holds no record but the receiver's own.
inline constexpr std::uint32_t noPage = UINT32_MAX;

/// What one instance says and hears: the whole protocol as a single-threaded state machine, without
/// sockets, threads or clock. docs/design/membership.md tells why it is built this way.
class gossip_protocol
{
public:
    gossip_protocol(const gossip_settings &choices, std::uint64_t seed, mono_time now);

    void setPeerAddress(const endpoint &address) { table.setPeerAddress(address); }
    void setContacts(std::vector<endpoint> endpoints) { contacts = std::move(endpoints); }
    void setListedLeaving(std::vector<instance_id> ids);
    void setApplied(std::uint64_t appliedVersion, mono_time confirmedAt);
    void setOpenStreams(std::uint32_t count) { table.setOpenStreams(count); }
    void setLeaving() { table.setLeaving(); }
    bool spread(rumor news, mono_time now) { return rumors.spread(std::move(news), now); }

    /// One round: detects, tells news, repairs.
    std::vector<outgoing> onRound(mono_time now);
    /// @param answers What to send because of the datagram is appended here.
    /// @returns False where it can't be decoded.
    bool onDatagram(const incoming &datagram, mono_time now, std::vector<outgoing> &answers);
    /// A datagram from a life that is over: nothing in it is taken, but its sender is told.
    void onOldLife(const incoming &datagram, mono_time now, std::vector<outgoing> &answers);
    /// The process was not running for a while: nobody is to blame for that time.
    void onStopped(mono_time now);
    /// Last words.
    std::vector<outgoing> onEnd(mono_time now);

    const gossip_table &members() const { return table; }
    /// With what the platform's list says: the worse of both.
    std::vector<policy::member> listedMembers() const;
    std::vector<rumor> allRumors() const { return rumors.all(); }

    std::vector<member_change> takeChanges() { return table.takeChanges(); }
    bool takeIsChanged();
    std::vector<rumor> takeNewRumors();

private:
    void sendHeartbeat(mono_time now);
    milliseconds heartbeatInterval() const;
    std::uint32_t tellLimit() const;
    void probe(mono_time now);
    void probeIndirectly(mono_time now);
    void accuse(mono_time now);
    void remindSuspects(mono_time now);
    void tellNews(mono_time now);
    void repair(mono_time now);
    void askContacts(mono_time now);
    void readOn(mono_time now);

    /// @returns Whether it told of members that were not known.
    bool join(const gossip_message &message, const incoming &datagram, mono_time now);
    void answer(const gossip_message &message, const incoming &datagram, mono_time now);
    void meetSender(const incoming &datagram, mono_time now);
    void onPing(const incoming &datagram, mono_time now);
    void onPage(const gossip_message &message, const incoming &datagram, bool isNews,
                mono_time now);
    void onJoin(const gossip_message &message, const incoming &datagram, mono_time now);
    void onPingRequest(const gossip_message &message, const incoming &datagram, mono_time now);
    void onAck(const gossip_message &message, const incoming &datagram, mono_time now);
    void tellSenderOfItself(const known_member &sender, const incoming &datagram, mono_time now);
    void askSender(const incoming &datagram, std::uint64_t subject, mono_time now,
                   std::uint32_t page);
    void flush(std::vector<outgoing> &answers);

    std::vector<const known_member *> livingMembers() const;
    std::vector<const known_member *> pickMembers(std::size_t count, const instance_id &but);
    void send(const known_member &to, const gossip_message &message, std::uint64_t callId,
              mono_time now);
    void send(const endpoint &to, incarnation life, const gossip_message &message,
              std::uint64_t callId, mono_time now);

    const std::size_t fanout;
    gossip_table table;
    rumor_table rumors;
    prober probes;
    byte_budget budget;
    std::mt19937_64 random;
    std::vector<endpoint> contacts;
    std::set<instance_id> listedLeaving;
    std::map<instance_id, incarnation> accused; ///< Suspected by this instance itself.
    std::vector<rumor> newRumors;
    std::vector<outgoing> outbox;
    std::uint64_t round = 0;
    std::size_t nextContact = 0;
    std::uint32_t nextPage = 0; ///< Of the repair.
    std::uint32_t wantedPage =
            0; ///< Of the table that this instance reads while it joins; 0: none.
    bool isPageAsked = false; ///< In this round or the one before.
    mono_time beatAt{};
    mono_time pageAt{};
    bool isBeatDue = true;
    bool isListChanged = false;
};

} // namespace poplarspool::peer
