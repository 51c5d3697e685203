#include "peer/news_picker.h"

#include "peer/frame.h"

#include <algorithm>

namespace poplarspool::peer {

namespace {

/// Takes items while there is room, least told first, so that news get a chance before what most
/// have heard; by chance among equals, so that peers don't all repeat the same.
/// @param told Counter of an item.
/// @returns Bytes taken.
template <class Item, class Told, class BytesOf, class Add>
std::size_t takeLeastTold(std::vector<Item *> items, std::size_t room, std::mt19937_64 &random,
                          Told told, BytesOf bytesOf, Add add)
{
    std::shuffle(items.begin(), items.end(), random);
    std::stable_sort(items.begin(), items.end(),
                     [&](Item *a, Item *b) { return told(*a) < told(*b); });
    std::size_t used = 0;
    for (Item *item : items) {
        const std::size_t bytes = bytesOf(*item);
        if (used + bytes > room)
            continue;
        used += bytes;
        ++told(*item);
        add(*item);
    }
    return used;
}

known_pulse pulseOf(const known_member &member)
{
    return {member.handle, member.record.pulse};
}

std::size_t addRecords(gossip_message &message, std::size_t room, gossip_table &table,
                       std::uint32_t limit, std::mt19937_64 &random)
{
    return takeLeastTold(
            table.untoldRecords(limit), room, random,
            [](known_member &item) -> std::uint32_t & { return item.told.record; },
            [](const known_member &item) { return wireBytesOf(item.record); },
            [&](known_member &item) {
                ++item.told.pulse;
                message.records.push_back(item.record);
            });
}

std::size_t addPulses(gossip_message &message, std::size_t room, gossip_table &table,
                      std::uint32_t limit, std::mt19937_64 &random)
{
    return takeLeastTold(
            table.untoldPulses(limit), room, random,
            [](known_member &item) -> std::uint32_t & { return item.told.pulse; },
            [](const known_member &item) { return wireBytesOf(pulseOf(item)); },
            [&](const known_member &item) { message.pulses.push_back(pulseOf(item)); });
}

std::size_t addRumors(gossip_message &message, std::size_t room, rumor_table &rumors,
                      std::uint32_t limit, std::mt19937_64 &random)
{
    return takeLeastTold(
            rumors.untold(limit), room, random,
            [](known_rumor &item) -> std::uint32_t & { return item.told; },
            [](const known_rumor &item) { return wireBytesOf(item.rumor); },
            [&](const known_rumor &item) { message.rumors.push_back(item.rumor); });
}

/// Heartbeats carry the applied versions, for which changes of the fleet wait: under a flood of
/// rumors they keep most of the room.
std::size_t roomForPulses(std::size_t room, rumor_table &rumors, std::uint32_t limit)
{
    std::size_t wanted = 0;
    for (const known_rumor *item : rumors.untold(limit))
        wanted += wireBytesOf(item->rumor);
    const auto sure = static_cast<std::size_t>(static_cast<double>(room) * config::rumorShare);
    return room - std::min(wanted, sure);
}

} // namespace

std::size_t maxGossipPayload()
{
    return config::maxDatagramBytes - frameHeaderBytes;
}

void addNews(gossip_message &message, std::size_t room, gossip_table &table, rumor_table &rumors,
             std::uint32_t limit, std::mt19937_64 &random)
{
    std::size_t used = emptyMessageBytes;
    for (const member_record &record : message.records)
        used += wireBytesOf(record);
    if (used >= room)
        return;
    used += addRecords(message, room - used, table, limit, random);
    used += addPulses(message, roomForPulses(room - used, rumors, limit), table, limit, random);
    addRumors(message, room - used, rumors, limit, random);
}

bool hasNews(const gossip_table &table, rumor_table &rumors, std::uint32_t limit)
{
    return table.hasUntold(limit) || !rumors.untold(limit).empty();
}

gossip_message pageFrom(const gossip_table &table, std::size_t first)
{
    gossip_message page;
    page.records.push_back(table.self().record);
    std::size_t room = maxGossipPayload() - emptyMessageBytes - wireBytesOf(table.self().record);
    std::size_t place = 0;
    for (const auto &[id, member] : table.others()) {
        if (place++ < first)
            continue;
        const std::size_t bytes = wireBytesOf(member.record);
        if (bytes > room) {
            page.page = static_cast<std::uint32_t>(place - 1);
            return page;
        }
        room -= bytes;
        page.records.push_back(member.record);
    }
    return page;
}

} // namespace poplarspool::peer
