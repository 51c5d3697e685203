#pragma once

#include "peer/gossip_message.h"
#include "peer/gossip_table.h"
#include "peer/rumor_table.h"

#include <cstdint>
#include <random>

/// Selects the updates that go into the next gossip datagram.
namespace poplarspool::peer {

/// @returns Maximum payload bytes of a datagram.
std::size_t maxGossipPayload();

/// Adds records, heartbeats and rumors that were sent less than `limit` times, those sent the
/// fewest times first, and increases their transmit counters.
/// @param room Maximum bytes of the whole payload.
void addUpdates(gossip_message &message, std::size_t room, gossip_table &table, rumor_table &rumors,
                std::uint32_t limit, std::mt19937_64 &random);

bool hasUpdates(const gossip_table &table, rumor_table &rumors, std::uint32_t limit);

/// @param first Index of the first record, in the order of ids.
/// @returns This instance's record and as many others from `first` on as fit into one datagram.
///          `page` is the index at which the next page starts; 0 after the last.
gossip_message pageFrom(const gossip_table &table, std::size_t first);

} // namespace poplarspool::peer
