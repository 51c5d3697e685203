#include "peer/gossip_protocol.h"

#include "peer/frame.h"
#include "peer/update_picker.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <bit>

namespace poplarspool::peer {

namespace {

/// Bytes that every datagram takes in addition to its payload.
constexpr std::size_t overheadBytes = frameHeaderBytes + config::datagramOverheadBytes;
/// Rounds between two Join requests to contacts, once other members are known.
constexpr std::uint64_t roundsPerContact = 5;
/// Maximum number of peers to which an instance announces that it has left.
constexpr std::size_t maxLeaveRecipients = 16;
/// Average encoded size of one heartbeat.
constexpr double typicalHeartbeatBytes = 15;

/// @returns Payload bytes that fit into a datagram of the given total size.
std::size_t payloadRoom(std::size_t bytes)
{
    if (bytes < overheadBytes + emptyMessageBytes)
        return 0;
    return std::min(bytes - overheadBytes, maxGossipPayload());
}

} // namespace

gossip_protocol::gossip_protocol(const gossip_settings &settings, std::uint64_t seed, mono_time now)
    : fanout(std::max<std::size_t>(settings.fanout, 1)),
      table(recordOf(settings.self), table_times{settings.suspicionTimeout, config::deadRetention}),
      rumors(config::rumorRetention), probes(settings.probeTimeout, seed),
      budget(settings.bytesPerSecond, now), random(seed), lastPageAt(now)
{ }

void gossip_protocol::setListedLeaving(std::vector<instance_id> ids)
{
    std::set<instance_id> listed(std::make_move_iterator(ids.begin()),
                                 std::make_move_iterator(ids.end()));
    if (listed == listedLeaving)
        return;
    listedLeaving = std::move(listed);
    isListChanged = true;
}

void gossip_protocol::setApplied(std::uint64_t appliedVersion, mono_time confirmedAt)
{
    // A new version is sent in the next round; a mere confirmation waits for the next heartbeat.
    if (table.setApplied(appliedVersion, confirmedAt))
        isHeartbeatDue = true;
}

std::vector<outgoing_datagram> gossip_protocol::onRound(mono_time now)
{
    ++round;
    budget.refill(now);
    table.expire(now);
    rumors.expire(now);
    sendHeartbeat(now);
    suspectUnresponsive(now);
    probe(now);
    probeIndirectly(now);
    notifySuspects(now);
    joinContact(now);
    requestNextPage(now);
    sendTablePage(now);
    sendUpdates(now);
    return std::exchange(outbox, {});
}

void gossip_protocol::sendHeartbeat(mono_time now)
{
    if (!isHeartbeatDue && now - lastHeartbeatAt < heartbeatInterval())
        return;
    isHeartbeatDue = false;
    lastHeartbeatAt = now;
    table.publishHeartbeat();
}

/// Every member forwards each heartbeat of every other member a few times. The heartbeats of a
/// large fleet fit the byte budget only at a longer interval.
milliseconds gossip_protocol::heartbeatInterval() const
{
    const auto members = static_cast<double>(table.livingOtherCount() + 1);
    const double bytes = members * retransmitLimit() * typicalHeartbeatBytes;
    const double share = budget.ratePerSecond() * config::heartbeatBudgetShare;
    const milliseconds needed(static_cast<std::int64_t>(1000.0 * bytes / share));
    return std::max<milliseconds>(config::heartbeatInterval, needed);
}

/// An epidemic broadcast reaches all members with high probability once each member has sent the
/// update a number of times that is logarithmic in the fleet size.
std::uint32_t gossip_protocol::retransmitLimit() const
{
    return 2 + static_cast<std::uint32_t>(std::bit_width(table.livingOtherCount() + 1));
}

void gossip_protocol::probe(mono_time now)
{
    const auto target = probes.next([this] {
        std::vector<instance_id> ids;
        for (const known_member *member : livingMembers())
            ids.push_back(member->record.id);
        return ids;
    });
    const known_member *member = target ? table.find(*target) : nullptr;
    if (member == nullptr || member->record.isDead)
        return;
    const std::uint64_t callId = probes.open(
            {member->record.id, member->record.incarnation, member->handle, now, false});
    gossip_message ping;
    ping.purpose = gossip_purpose::Ping;
    // A suspected member must also learn of the suspicion, or it could not refute it.
    if (isSuspect(member->record))
        ping.records.push_back(member->record);
    addUpdates(ping, payloadRoom(budget.available() / fanout), table, rumors, retransmitLimit(),
               random);
    send(*member, ping, callId, now);
}

void gossip_protocol::probeIndirectly(mono_time now)
{
    for (const auto &[callId, probe] : probes.takeUnanswered(now)) {
        gossip_message request;
        request.purpose = gossip_purpose::PingRequest;
        request.subject = probe.handle;
        for (const known_member *helper : pickMembers(config::indirectProbes, probe.target))
            send(*helper, request, callId, now);
    }
}

void gossip_protocol::suspectUnresponsive(mono_time now)
{
    for (const open_probe &probe : probes.takeFailed(now)) {
        if (table.suspect(probe.target, probe.incarnation, now))
            ownSuspicions[probe.target] = probe.incarnation;
    }
}

void gossip_protocol::notifySuspects(mono_time now)
{
    std::erase_if(ownSuspicions, [&](const auto &entry) {
        const known_member *member = table.find(entry.first);
        const bool isOpen = member != nullptr && member->record.incarnation == entry.second
                && isSuspect(member->record) && !member->record.isDead;
        return !isOpen;
    });
    // Limited per round, because an isolated instance suspects all members and would otherwise
    // write to all of them at once.
    std::vector<instance_id> ids;
    for (const auto &[id, suspectedIncarnation] : ownSuspicions)
        ids.push_back(id);
    std::shuffle(ids.begin(), ids.end(), random);
    ids.resize(std::min(ids.size(), fanout));
    for (const instance_id &id : ids) {
        const known_member &member = *table.find(id);
        gossip_message reminder;
        reminder.records.push_back(member.record);
        send(member, reminder, 0, now);
    }
}

void gossip_protocol::sendUpdates(mono_time now)
{
    const std::size_t others = fanout - 1;
    const std::vector<const known_member *> targets = pickMembers(others, {});
    for (std::size_t index = 0;
         index < targets.size() && hasUpdates(table, rumors, retransmitLimit()); ++index) {
        const std::size_t share = budget.available() / (targets.size() - index);
        if (payloadRoom(share) == 0)
            return;
        gossip_message update;
        addUpdates(update, payloadRoom(share), table, rumors, retransmitLimit(), random);
        send(*targets[index], update, 0, now);
    }
}

/// Anti-entropy: periodically sends a page of the full table. Deltas are sent a limited number of
/// times, and a member that missed all of them would otherwise never get the data.
void gossip_protocol::sendTablePage(mono_time now)
{
    if (now - lastPageAt < config::gossipPageInterval
        || budget.available() < config::maxDatagramBytes)
        return;
    lastPageAt = now;
    const std::vector<const known_member *> targets = pickMembers(1, {});
    if (targets.empty())
        return;
    gossip_message page = pageFrom(table, nextTablePage);
    nextTablePage = std::exchange(page.page, 0);
    page.purpose = gossip_purpose::Update;
    send(*targets.front(), page, 0, now);
}

void gossip_protocol::joinContact(mono_time now)
{
    const bool isAlone = table.livingOtherCount() == 0;
    if (!isAlone && round % roundsPerContact != 0)
        return;
    std::set<endpoint> living{table.self().record.peerAddress};
    std::vector<endpoint> missing = contacts;
    for (const auto &[id, member] : table.others()) {
        // Dead members are contacted as well: after a partition, each side considers the other
        // dead.
        if (member.record.isDead)
            missing.push_back(member.record.peerAddress);
        else
            living.insert(member.record.peerAddress);
    }
    std::erase_if(missing, [&](const endpoint &contact) { return living.contains(contact); });
    if (missing.empty())
        return;
    gossip_message request;
    request.purpose = gossip_purpose::Join;
    request.records.push_back(table.self().record);
    send(missing[nextContact++ % missing.size()], 0, request, 0, now);
}

bool gossip_protocol::onDatagram(const incoming_datagram &datagram, mono_time now,
                                 std::vector<outgoing_datagram> &answers)
{
    const known_member *sender = table.findSender(datagram.sender);
    if (sender != nullptr && datagram.senderIncarnation < sender->record.incarnation) {
        onOldIncarnation(datagram, now, answers);
        return true;
    }
    const result<gossip_message> decoded = decodeGossip(datagram.payload, datagram.arrivedAt);
    if (!succeeded(decoded))
        return false;
    budget.refill(now);
    const gossip_message &message = valueOf(decoded);
    const bool hasNewMembers = merge(message, datagram, now);
    checkSender(datagram, now);
    answer(message, datagram, now);
    if (message.purpose == gossip_purpose::Page)
        onPage(message, datagram, hasNewMembers, now);
    flush(answers);
    return true;
}

/// A joining instance requests pages as long as they contain new members; anti-entropy delivers the
/// rest.
void gossip_protocol::onPage(const gossip_message &message, const incoming_datagram &datagram,
                             bool hasNewMembers, mono_time now)
{
    wantedPage = hasNewMembers ? message.page : 0;
    isPageRequested = wantedPage != 0;
    if (isPageRequested)
        requestFromSender(datagram, 0, now, wantedPage);
}

/// The member from which the next page was requested may be out of budget or unreachable; any other
/// member can send it.
void gossip_protocol::requestNextPage(mono_time now)
{
    if (wantedPage == 0 || std::exchange(isPageRequested, false))
        return;
    gossip_message request;
    request.purpose = gossip_purpose::Join;
    request.page = wantedPage;
    request.records.push_back(table.self().record);
    for (const known_member *member : pickMembers(1, {}))
        send(*member, request, 0, now);
}

void gossip_protocol::onOldIncarnation(const incoming_datagram &datagram, mono_time now,
                                       std::vector<outgoing_datagram> &answers)
{
    const known_member *sender = table.findSender(datagram.sender);
    if (sender == nullptr)
        return;
    budget.refill(now);
    notifySender(*sender, datagram, now);
    flush(answers);
}

void gossip_protocol::flush(std::vector<outgoing_datagram> &answers)
{
    std::move(outbox.begin(), outbox.end(), std::back_inserter(answers));
    outbox.clear();
}

bool gossip_protocol::merge(const gossip_message &message, const incoming_datagram &datagram,
                            mono_time now)
{
    const std::size_t before = table.others().size();
    for (const member_record &record : message.records)
        table.merge(record, now);
    const bool hasNewMembers = table.others().size() > before;
    std::uint64_t unknown = 0;
    for (const heartbeat_update &heartbeat : message.heartbeats) {
        if (!table.merge(heartbeat))
            unknown = heartbeat.handle;
    }
    if (unknown != 0)
        requestFromSender(datagram, unknown, now, noPage);
    for (const rumor_update &update : message.rumors) {
        if (rumors.merge(update, now))
            newRumors.push_back(update.value);
    }
    return hasNewMembers;
}

void gossip_protocol::checkSender(const incoming_datagram &datagram, mono_time now)
{
    const known_member *sender = table.findSender(datagram.sender);
    const bool isKnown =
            sender != nullptr && sender->record.incarnation == datagram.senderIncarnation;
    if (isKnown) {
        probes.onReceived(sender->handle);
        if (sender->record.isDead)
            notifySender(*sender, datagram, now);
    } else if (datagram.sender != table.self().sender) {
        requestFromSender(datagram, 0, now, noPage);
    }
}

void gossip_protocol::answer(const gossip_message &message, const incoming_datagram &datagram,
                             mono_time now)
{
    switch (message.purpose) {
    case gossip_purpose::Ping:
        onPing(datagram, now);
        break;
    case gossip_purpose::Ack:
        onAck(message, datagram, now);
        break;
    case gossip_purpose::PingRequest:
        onPingRequest(message, datagram, now);
        break;
    case gossip_purpose::Join:
        onJoin(message, datagram, now);
        break;
    case gossip_purpose::Page:
    case gossip_purpose::Update:
        break;
    }
}

void gossip_protocol::onPing(const incoming_datagram &datagram, mono_time now)
{
    gossip_message ack;
    ack.purpose = gossip_purpose::Ack;
    ack.subject = table.self().handle;
    send(datagram.from, datagram.senderIncarnation, ack, datagram.callId, now);
}

void gossip_protocol::onAck(const gossip_message &message, const incoming_datagram &datagram,
                            mono_time now)
{
    const auto origin = probes.onAck(datagram.callId, message.subject);
    if (!origin)
        return;
    gossip_message ack;
    ack.purpose = gossip_purpose::Ack;
    ack.subject = message.subject;
    send(origin->origin, origin->originIncarnation, ack, origin->originCallId, now);
}

void gossip_protocol::onPingRequest(const gossip_message &message,
                                    const incoming_datagram &datagram, mono_time now)
{
    const known_member *target = table.findHandle(message.subject);
    if (target == nullptr)
        return;
    const std::uint64_t callId = probes.forward(
            {target->handle, datagram.from, datagram.senderIncarnation, datagram.callId, now});
    gossip_message ping;
    ping.purpose = gossip_purpose::Ping;
    if (isSuspect(target->record))
        ping.records.push_back(target->record);
    send(*target, ping, callId, now);
}

void gossip_protocol::onJoin(const gossip_message &message, const incoming_datagram &datagram,
                             mono_time now)
{
    // Pages can wait: a joining instance repeats its request, also to other members.
    if (budget.available() < config::maxDatagramBytes)
        return;
    gossip_message page;
    const known_member *wanted = table.findHandle(message.subject);
    if (wanted != nullptr)
        page.records.push_back(wanted->record);
    else
        page = pageFrom(table, message.page);
    // Only a reply to a request for a page may lead to a request for the next page.
    page.purpose = message.page == noPage ? gossip_purpose::Update : gossip_purpose::Page;
    send(datagram.from, datagram.senderIncarnation, page, 0, now);
}

/// A sender whose incarnation is outdated or considered dead must be notified; only then can it
/// continue with a new incarnation.
void gossip_protocol::notifySender(const known_member &sender, const incoming_datagram &datagram,
                                   mono_time now)
{
    gossip_message notice;
    notice.records.push_back(sender.record);
    send(datagram.from, datagram.senderIncarnation, notice, 0, now);
}

void gossip_protocol::requestFromSender(const incoming_datagram &datagram, std::uint64_t subject,
                                        mono_time now, std::uint32_t page)
{
    if (budget.available() == 0)
        return;
    gossip_message request;
    request.purpose = gossip_purpose::Join;
    request.subject = subject;
    request.page = page;
    request.records.push_back(table.self().record);
    send(datagram.from, datagram.senderIncarnation, request, 0, now);
}

void gossip_protocol::onPause(mono_time now)
{
    probes.reset();
    table.restartSuspicionTimers(now);
}

std::vector<outgoing_datagram> gossip_protocol::onShutdown(mono_time now)
{
    table.setLeft(now);
    gossip_message last;
    last.records.push_back(table.self().record);
    for (const known_member *member : pickMembers(maxLeaveRecipients, {}))
        send(*member, last, 0, now);
    return std::exchange(outbox, {});
}

std::vector<policy::member> gossip_protocol::listedMembers() const
{
    std::vector<policy::member> all = table.members();
    for (policy::member &member : all) {
        if (listedLeaving.contains(member.id))
            member.state = std::max(member.state, policy::member_state::Leaving);
    }
    return all;
}

bool gossip_protocol::takeIsChanged()
{
    const bool isTableChanged = table.takeIsChanged();
    return std::exchange(isListChanged, false) || isTableChanged;
}

std::vector<rumor> gossip_protocol::takeNewRumors()
{
    return std::exchange(newRumors, {});
}

std::vector<const known_member *> gossip_protocol::livingMembers() const
{
    std::vector<const known_member *> living;
    for (const auto &[id, member] : table.others()) {
        if (!member.record.isDead)
            living.push_back(&member);
    }
    return living;
}

std::vector<const known_member *> gossip_protocol::pickMembers(std::size_t count,
                                                               const instance_id &excluded)
{
    std::vector<const known_member *> living = livingMembers();
    std::erase_if(living,
                  [&](const known_member *member) { return member->record.id == excluded; });
    std::shuffle(living.begin(), living.end(), random);
    living.resize(std::min(living.size(), count));
    return living;
}

void gossip_protocol::send(const known_member &to, const gossip_message &message,
                           std::uint64_t callId, mono_time now)
{
    send(to.record.peerAddress, to.record.incarnation, message, callId, now);
}

void gossip_protocol::send(const endpoint &to, incarnation_number receiverIncarnation,
                           const gossip_message &message, std::uint64_t callId, mono_time now)
{
    std::string payload = encodeGossip(message, now);
    budget.consume(payload.size() + overheadBytes);
    outbox.push_back({to, receiverIncarnation, callId, std::move(payload)});
}

} // namespace poplarspool::peer
