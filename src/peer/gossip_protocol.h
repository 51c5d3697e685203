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

/// A datagram to be sent, before its header is added.
struct outgoing_datagram
{
    endpoint to;
    incarnation_number receiverIncarnation = 0; ///< 0 if unknown.
    std::uint64_t callId = 0;
    std::string payload;
};

/// A received datagram whose MAC was verified.
struct incoming_datagram
{
    endpoint from;
    std::uint64_t sender = 0;
    incarnation_number senderIncarnation = 0;
    std::uint64_t callId = 0;
    std::string_view payload;
    mono_time arrivedAt{}; ///< Never later than the real arrival.
};

/// Page number in a Join that requests no page: the reply holds one record, that of the subject or
/// else the receiver's own.
inline constexpr std::uint32_t noPage = UINT32_MAX;

/// The gossip protocol of one instance as a single-threaded state machine, without sockets,
/// threads or clock. docs/design/membership.md explains the design.
class gossip_protocol
{
public:
    gossip_protocol(const gossip_settings &settings, std::uint64_t seed, mono_time now);

    void setPeerAddress(const endpoint &address) { table.setPeerAddress(address); }
    void setContacts(std::vector<endpoint> endpoints) { contacts = std::move(endpoints); }
    void setListedLeaving(std::vector<instance_id> ids);
    void setApplied(std::uint64_t appliedVersion, mono_time confirmedAt);
    void setOpenStreams(std::uint32_t count) { table.setOpenStreams(count); }
    void setLeaving() { table.setLeaving(); }
    bool spread(rumor item, mono_time now) { return rumors.spread(std::move(item), now); }

    /// Runs one round: failure detection, updates, anti-entropy.
    /// @returns The datagrams to send.
    std::vector<outgoing_datagram> onRound(mono_time now);
    /// Handles a received datagram.
    /// @param answers The datagrams to send in response are appended here.
    /// @returns False if the datagram can't be decoded.
    bool onDatagram(const incoming_datagram &datagram, mono_time now,
                    std::vector<outgoing_datagram> &answers);
    /// Handles a datagram from an outdated incarnation: ignores its content and notifies the
    /// sender.
    void onOldIncarnation(const incoming_datagram &datagram, mono_time now,
                          std::vector<outgoing_datagram> &answers);
    /// Resets probes and suspicion timers after a pause of this process, during which it could not
    /// receive anything.
    void onPause(mono_time now);
    /// @returns Datagrams that announce that this instance has left.
    std::vector<outgoing_datagram> onShutdown(mono_time now);

    const gossip_table &members() const { return table; }
    /// @returns Members, each with the worse of its gossiped state and its state in the platform's
    ///          list.
    std::vector<policy::member> listedMembers() const;
    std::vector<rumor> allRumors() const { return rumors.all(); }

    std::vector<member_change> takeChanges() { return table.takeChanges(); }
    bool takeIsChanged();
    std::vector<rumor> takeNewRumors();

private:
    void sendHeartbeat(mono_time now);
    milliseconds heartbeatInterval() const;
    std::uint32_t retransmitLimit() const;
    void probe(mono_time now);
    void probeIndirectly(mono_time now);
    void suspectUnresponsive(mono_time now);
    void notifySuspects(mono_time now);
    void sendUpdates(mono_time now);
    void sendTablePage(mono_time now);
    void joinContact(mono_time now);
    void requestNextPage(mono_time now);

    /// @returns Whether the message contained members that were not known.
    bool merge(const gossip_message &message, const incoming_datagram &datagram, mono_time now);
    void answer(const gossip_message &message, const incoming_datagram &datagram, mono_time now);
    void checkSender(const incoming_datagram &datagram, mono_time now);
    void onPing(const incoming_datagram &datagram, mono_time now);
    void onPage(const gossip_message &message, const incoming_datagram &datagram,
                bool hasNewMembers, mono_time now);
    void onJoin(const gossip_message &message, const incoming_datagram &datagram, mono_time now);
    void onPingRequest(const gossip_message &message, const incoming_datagram &datagram,
                       mono_time now);
    void onAck(const gossip_message &message, const incoming_datagram &datagram, mono_time now);
    void notifySender(const known_member &sender, const incoming_datagram &datagram, mono_time now);
    void requestFromSender(const incoming_datagram &datagram, std::uint64_t subject, mono_time now,
                           std::uint32_t page);
    void flush(std::vector<outgoing_datagram> &answers);

    std::vector<const known_member *> livingMembers() const;
    std::vector<const known_member *> pickMembers(std::size_t count, const instance_id &excluded);
    void send(const known_member &to, const gossip_message &message, std::uint64_t callId,
              mono_time now);
    void send(const endpoint &to, incarnation_number receiverIncarnation,
              const gossip_message &message, std::uint64_t callId, mono_time now);

    const std::size_t fanout;
    gossip_table table;
    rumor_table rumors;
    prober probes;
    byte_budget budget;
    std::mt19937_64 random;
    std::vector<endpoint> contacts;
    std::set<instance_id> listedLeaving;
    /// Members that this instance itself suspected, with the suspected incarnation.
    std::map<instance_id, incarnation_number> ownSuspicions;
    std::vector<rumor> newRumors;
    std::vector<outgoing_datagram> outbox;
    std::uint64_t round = 0;
    std::size_t nextContact = 0;
    std::uint32_t nextTablePage = 0; ///< First index of the next anti-entropy page.
    std::uint32_t wantedPage = 0; ///< Page that this instance needs next while it joins; 0 if none.
    bool isPageRequested = false; ///< Whether it was requested in this round or the one before.
    mono_time lastHeartbeatAt{};
    mono_time lastPageAt{};
    bool isHeartbeatDue = true;
    bool isListChanged = false;
};

} // namespace poplarspool::peer
