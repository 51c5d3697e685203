#include "peer/gossip_protocol.h"

#include "peer/frame.h"
#include "peer/news_picker.h"
#include "poplarspool/config.h"

#include <algorithm>
#include <bit>

namespace poplarspool::peer {

namespace {

/// Bytes that every datagram takes beside its payload.
constexpr std::size_t envelopeBytes = frameHeaderBytes + config::datagramOverheadBytes;
/// Rounds between two contacts that are asked, where other members are known already.
constexpr std::uint64_t contactRounds = 5;
/// Peers that hear the last words of an instance, at most.
constexpr std::size_t farewells = 16;
/// Bytes of one pulse, on the average.
constexpr double typicalPulseBytes = 15;

/// @returns Bytes of payload that a datagram may have for that much of the budget.
std::size_t roomIn(std::size_t bytes)
{
    if (bytes < envelopeBytes + emptyMessageBytes)
        return 0;
    return std::min(bytes - envelopeBytes, maxGossipPayload());
}

} // namespace

gossip_protocol::gossip_protocol(const gossip_settings &choices, std::uint64_t seed, mono_time now)
    : fanout(std::max<std::size_t>(choices.fanout, 1)),
      table(recordOf(choices.self), table_times{choices.deadTime, config::deadKeepTime}),
      rumors(config::rumorKeepTime), probes(choices.suspectTime, seed),
      budget(choices.bytesPerSecond, now), random(seed), pageAt(now)
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
    // A new version is told with the next round; a mere confirmation waits for its heartbeat.
    if (table.setApplied(appliedVersion, confirmedAt))
        isBeatDue = true;
}

std::vector<outgoing> gossip_protocol::onRound(mono_time now)
{
    ++round;
    budget.refill(now);
    table.expire(now);
    rumors.expire(now);
    sendHeartbeat(now);
    accuse(now);
    probe(now);
    probeIndirectly(now);
    remindSuspects(now);
    askContacts(now);
    readOn(now);
    repair(now);
    tellNews(now);
    return std::exchange(outbox, {});
}

void gossip_protocol::sendHeartbeat(mono_time now)
{
    if (!isBeatDue && now - beatAt < heartbeatInterval())
        return;
    isBeatDue = false;
    beatAt = now;
    table.beat();
}

/// Every heartbeat of every member is told by every member a few times: beyond some number of
/// members they fit the budget only if they come less often.
milliseconds gossip_protocol::heartbeatInterval() const
{
    const auto members = static_cast<double>(table.livingOthers() + 1);
    const double bytes = members * tellLimit() * typicalPulseBytes;
    const double share = budget.perSecond() * config::heartbeatBudgetShare;
    const milliseconds needed(static_cast<std::int64_t>(1000.0 * bytes / share));
    return std::max<milliseconds>(config::heartbeatTime, needed);
}

/// Epidemic spreading reaches all members with high probability once each has told the news a
/// logarithmic number of times.
std::uint32_t gossip_protocol::tellLimit() const
{
    return 2 + static_cast<std::uint32_t>(std::bit_width(table.livingOthers() + 1));
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
    const std::uint64_t callId =
            probes.open({member->record.id, member->record.life, member->handle, now, false});
    gossip_message ping;
    ping.purpose = gossip_purpose::Ping;
    // A suspect that is asked must also hear what it is suspected of, or it could not refute.
    if (isSuspect(member->record))
        ping.records.push_back(member->record);
    addNews(ping, roomIn(budget.available() / fanout), table, rumors, tellLimit(), random);
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

void gossip_protocol::accuse(mono_time now)
{
    for (const open_probe &probe : probes.takeFailed(now)) {
        if (table.suspect(probe.target, probe.life, now))
            accused[probe.target] = probe.life;
    }
}

void gossip_protocol::remindSuspects(mono_time now)
{
    std::erase_if(accused, [&](const auto &entry) {
        const known_member *member = table.find(entry.first);
        const bool isOpen = member != nullptr && member->record.life == entry.second
                && isSuspect(member->record) && !member->record.isDead;
        return !isOpen;
    });
    // A few a round: cut off from all, this instance would otherwise write to everybody at once.
    std::vector<instance_id> ids;
    for (const auto &[id, life] : accused)
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

void gossip_protocol::tellNews(mono_time now)
{
    const std::size_t others = fanout - 1;
    const std::vector<const known_member *> targets = pickMembers(others, {});
    for (std::size_t index = 0; index < targets.size() && hasNews(table, rumors, tellLimit());
         ++index) {
        const std::size_t share = budget.available() / (targets.size() - index);
        if (roomIn(share) == 0)
            return;
        gossip_message news;
        addNews(news, roomIn(share), table, rumors, tellLimit(), random);
        send(*targets[index], news, 0, now);
    }
}

/// Sends a page of the whole table now and then: deltas are told a limited number of times, and a
/// member that missed them all would otherwise never learn.
void gossip_protocol::repair(mono_time now)
{
    if (now - pageAt < config::gossipPageTime || budget.available() < config::maxDatagramBytes)
        return;
    pageAt = now;
    const std::vector<const known_member *> targets = pickMembers(1, {});
    if (targets.empty())
        return;
    gossip_message page = pageFrom(table, nextPage);
    nextPage = std::exchange(page.page, 0);
    page.purpose = gossip_purpose::Tell;
    send(*targets.front(), page, 0, now);
}

void gossip_protocol::askContacts(mono_time now)
{
    const bool isAlone = table.livingOthers() == 0;
    if (!isAlone && round % contactRounds != 0)
        return;
    std::set<endpoint> living{table.self().record.peerAddress};
    std::vector<endpoint> missing = contacts;
    for (const auto &[id, member] : table.others()) {
        // The dead are asked as well: after a partition each side holds the other for dead.
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

bool gossip_protocol::onDatagram(const incoming &datagram, mono_time now,
                                 std::vector<outgoing> &answers)
{
    const known_member *sender = table.findSender(datagram.sender);
    if (sender != nullptr && datagram.senderLife < sender->record.life) {
        onOldLife(datagram, now, answers);
        return true;
    }
    const result<gossip_message> decoded = decodeGossip(datagram.payload, datagram.arrivedAt);
    if (!succeeded(decoded))
        return false;
    budget.refill(now);
    const gossip_message &message = valueOf(decoded);
    const bool isNews = join(message, datagram, now);
    meetSender(datagram, now);
    answer(message, datagram, now);
    if (message.purpose == gossip_purpose::Page)
        onPage(message, datagram, isNews, now);
    flush(answers);
    return true;
}

/// A joining instance reads on while the pages tell it something; what is left comes by repair.
void gossip_protocol::onPage(const gossip_message &message, const incoming &datagram, bool isNews,
                             mono_time now)
{
    wantedPage = isNews ? message.page : 0;
    isPageAsked = wantedPage != 0;
    if (isPageAsked)
        askSender(datagram, 0, now, wantedPage);
}

/// Whoever was asked for the next page may be out of budget, or gone: another one has it as well.
void gossip_protocol::readOn(mono_time now)
{
    if (wantedPage == 0 || std::exchange(isPageAsked, false))
        return;
    gossip_message request;
    request.purpose = gossip_purpose::Join;
    request.page = wantedPage;
    request.records.push_back(table.self().record);
    for (const known_member *member : pickMembers(1, {}))
        send(*member, request, 0, now);
}

void gossip_protocol::onOldLife(const incoming &datagram, mono_time now,
                                std::vector<outgoing> &answers)
{
    const known_member *sender = table.findSender(datagram.sender);
    if (sender == nullptr)
        return;
    budget.refill(now);
    tellSenderOfItself(*sender, datagram, now);
    flush(answers);
}

void gossip_protocol::flush(std::vector<outgoing> &answers)
{
    std::move(outbox.begin(), outbox.end(), std::back_inserter(answers));
    outbox.clear();
}

bool gossip_protocol::join(const gossip_message &message, const incoming &datagram, mono_time now)
{
    const std::size_t before = table.others().size();
    for (const member_record &record : message.records)
        table.join(record, now);
    const bool isNews = table.others().size() > before;
    std::uint64_t unknown = 0;
    for (const known_pulse &pulse : message.pulses) {
        if (!table.join(pulse))
            unknown = pulse.handle;
    }
    if (unknown != 0)
        askSender(datagram, unknown, now, noPage);
    for (const travelling_rumor &news : message.rumors) {
        if (rumors.join(news, now))
            newRumors.push_back(news.news);
    }
    return isNews;
}

void gossip_protocol::meetSender(const incoming &datagram, mono_time now)
{
    const known_member *sender = table.findSender(datagram.sender);
    const bool isKnown = sender != nullptr && sender->record.life == datagram.senderLife;
    if (isKnown) {
        probes.onHeard(sender->handle);
        if (sender->record.isDead)
            tellSenderOfItself(*sender, datagram, now);
    } else if (datagram.sender != table.self().sender) {
        askSender(datagram, 0, now, noPage);
    }
}

void gossip_protocol::answer(const gossip_message &message, const incoming &datagram, mono_time now)
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
    case gossip_purpose::Tell:
        break;
    }
}

void gossip_protocol::onPing(const incoming &datagram, mono_time now)
{
    gossip_message ack;
    ack.purpose = gossip_purpose::Ack;
    ack.subject = table.self().handle;
    send(datagram.from, datagram.senderLife, ack, datagram.callId, now);
}

void gossip_protocol::onAck(const gossip_message &message, const incoming &datagram, mono_time now)
{
    const auto origin = probes.onAck(datagram.callId, message.subject);
    if (!origin)
        return;
    gossip_message ack;
    ack.purpose = gossip_purpose::Ack;
    ack.subject = message.subject;
    send(origin->origin, origin->originLife, ack, origin->originCall, now);
}

void gossip_protocol::onPingRequest(const gossip_message &message, const incoming &datagram,
                                    mono_time now)
{
    const known_member *target = table.findHandle(message.subject);
    if (target == nullptr)
        return;
    const std::uint64_t callId = probes.relay(
            {target->handle, datagram.from, datagram.senderLife, datagram.callId, now});
    gossip_message ping;
    ping.purpose = gossip_purpose::Ping;
    if (isSuspect(target->record))
        ping.records.push_back(target->record);
    send(*target, ping, callId, now);
}

void gossip_protocol::onJoin(const gossip_message &message, const incoming &datagram, mono_time now)
{
    // Pages can wait: whoever joins asks again, and elsewhere.
    if (budget.available() < config::maxDatagramBytes)
        return;
    gossip_message page;
    const known_member *wanted = table.findHandle(message.subject);
    if (wanted != nullptr)
        page.records.push_back(wanted->record);
    else
        page = pageFrom(table, message.page);
    // Only pages of a table that is being read lead on to the next.
    page.purpose = message.page == noPage ? gossip_purpose::Tell : gossip_purpose::Page;
    send(datagram.from, datagram.senderLife, page, 0, now);
}

/// Whoever speaks from a life that is over or dead must hear of it: only then can it go on under a
/// new one.
void gossip_protocol::tellSenderOfItself(const known_member &sender, const incoming &datagram,
                                         mono_time now)
{
    gossip_message notice;
    notice.records.push_back(sender.record);
    send(datagram.from, datagram.senderLife, notice, 0, now);
}

void gossip_protocol::askSender(const incoming &datagram, std::uint64_t subject, mono_time now,
                                std::uint32_t page)
{
    if (budget.available() == 0)
        return;
    gossip_message request;
    request.purpose = gossip_purpose::Join;
    request.subject = subject;
    request.page = page;
    request.records.push_back(table.self().record);
    send(datagram.from, datagram.senderLife, request, 0, now);
}

void gossip_protocol::onStopped(mono_time now)
{
    probes.reset();
    table.restartSuspicions(now);
}

std::vector<outgoing> gossip_protocol::onEnd(mono_time now)
{
    table.setGone(now);
    gossip_message last;
    last.records.push_back(table.self().record);
    for (const known_member *member : pickMembers(farewells, {}))
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
                                                               const instance_id &but)
{
    std::vector<const known_member *> living = livingMembers();
    std::erase_if(living, [&](const known_member *member) { return member->record.id == but; });
    std::shuffle(living.begin(), living.end(), random);
    living.resize(std::min(living.size(), count));
    return living;
}

void gossip_protocol::send(const known_member &to, const gossip_message &message,
                           std::uint64_t callId, mono_time now)
{
    send(to.record.peerAddress, to.record.life, message, callId, now);
}

void gossip_protocol::send(const endpoint &to, incarnation life, const gossip_message &message,
                           std::uint64_t callId, mono_time now)
{
    std::string payload = encodeGossip(message, now);
    budget.spend(payload.size() + envelopeBytes);
    outbox.push_back({to, life, callId, std::move(payload)});
}

} // namespace poplarspool::peer
