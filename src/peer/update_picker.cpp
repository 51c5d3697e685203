#include "peer/update_picker.h"

#include "peer/frame.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>

namespace poplarspool::peer {

namespace {

/// Takes items while there is room. Items sent the fewest times come first, so that new updates
/// are sent before those that most members have received; the order of equals is random, so
/// that peers don't all repeat the same items.
/// @param transmits Returns the transmit counter of an item.
/// @returns Bytes used.
template <class Item, class Transmits, class BytesOf, class Add>
std::size_t takeLeastSent(std::vector<Item *> items, std::size_t room, std::mt19937_64 &random,
                          Transmits transmits, BytesOf bytesOf, Add add)
{
    std::shuffle(items.begin(), items.end(), random);
    std::stable_sort(items.begin(), items.end(),
                     [&](Item *a, Item *b) { return transmits(*a) < transmits(*b); });
    std::size_t used = 0;
    for (Item *item : items) {
        const std::size_t bytes = bytesOf(*item);
        if (used + bytes > room)
            continue;
        used += bytes;
        ++transmits(*item);
        add(*item);
    }
    return used;
}

heartbeat_update heartbeatUpdateOf(const known_member &member)
{
    return {member.handle, member.record.heartbeat};
}

std::size_t addRecords(gossip_message &message, std::size_t room, gossip_table &table,
                       std::uint32_t limit, std::mt19937_64 &random)
{
    return takeLeastSent(
            table.recordsToSend(limit), room, random,
            [](known_member &item) -> std::uint32_t & { return item.transmits.record; },
            [](const known_member &item) { return wireBytesOf(item.record); },
            [&](known_member &item) {
                ++item.transmits.heartbeat;
                message.records.push_back(item.record);
            });
}

std::size_t addHeartbeats(gossip_message &message, std::size_t room, gossip_table &table,
                          std::uint32_t limit, std::mt19937_64 &random)
{
    return takeLeastSent(
            table.heartbeatsToSend(limit), room, random,
            [](known_member &item) -> std::uint32_t & { return item.transmits.heartbeat; },
            [](const known_member &item) { return wireBytesOf(heartbeatUpdateOf(item)); },
            [&](const known_member &item) {
                message.heartbeats.push_back(heartbeatUpdateOf(item));
            });
}

std::size_t addRumors(gossip_message &message, std::size_t room, rumor_table &rumors,
                      std::uint32_t limit, std::mt19937_64 &random)
{
    return takeLeastSent(
            rumors.toSend(limit), room, random,
            [](known_rumor &item) -> std::uint32_t & { return item.transmits; },
            [](const known_rumor &item) { return wireBytesOf(item.rumor); },
            [&](const known_rumor &item) { message.rumors.push_back(item.rumor); });
}

/// Heartbeats carry the applied versions, on which fleet-wide changes wait. So they keep most of
/// the room even if there are many rumors.
std::size_t roomForHeartbeats(std::size_t room, rumor_table &rumors, std::uint32_t limit)
{
    std::size_t wanted = 0;
    for (const known_rumor *item : rumors.toSend(limit))
        wanted += wireBytesOf(item->rumor);
    const auto reserved = static_cast<std::size_t>(static_cast<double>(room) * config::rumorShare);
    return room - std::min(wanted, reserved);
}

} // namespace

std::size_t maxGossipPayload()
{
    return config::maxDatagramBytes - frameHeaderBytes;
}

void addUpdates(gossip_message &message, std::size_t room, gossip_table &table, rumor_table &rumors,
                std::uint32_t limit, std::mt19937_64 &random)
{
    std::size_t used = emptyMessageBytes;
    for (const member_record &record : message.records)
        used += wireBytesOf(record);
    if (used >= room)
        return;
    used += addRecords(message, room - used, table, limit, random);
    used += addHeartbeats(message, roomForHeartbeats(room - used, rumors, limit), table, limit,
                          random);
    addRumors(message, room - used, rumors, limit, random);
}

bool hasUpdates(const gossip_table &table, rumor_table &rumors, std::uint32_t limit)
{
    return table.hasItemsToSend(limit) || !rumors.toSend(limit).empty();
}

gossip_message pageFrom(const gossip_table &table, std::size_t first)
{
    gossip_message page;
    page.records.push_back(table.self().record);
    std::size_t room = maxGossipPayload() - emptyMessageBytes - wireBytesOf(table.self().record);
    std::size_t index = 0;
    for (const auto &[id, member] : table.others()) {
        if (index++ < first)
            continue;
        const std::size_t bytes = wireBytesOf(member.record);
        if (bytes > room) {
            page.page = static_cast<std::uint32_t>(index - 1);
            return page;
        }
        room -= bytes;
        page.records.push_back(member.record);
    }
    return page;
}

} // namespace poplarspool::peer
