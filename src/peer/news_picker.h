#pragma once

#include "peer/gossip_message.h"
#include "peer/gossip_table.h"
#include "peer/rumor_table.h"
#include "poplarspool/config.h"

#include <cstdint>
#include <random>

/// Fills datagrams: which of the news that a table holds travel next.
namespace poplarspool::peer {

/// Bytes of payload that a datagram can hold.
std::size_t maxGossipPayload();

/// Adds what was told less than `limit` times, least told first, and counts it as told.
/// @param room Bytes that the payload may have in all.
void addNews(gossip_message &message, std::size_t room, gossip_table &table, rumor_table &rumors,
             std::uint32_t limit, std::mt19937_64 &random);

bool hasNews(const gossip_table &table, rumor_table &rumors, std::uint32_t limit);

/// @param first Place in the order of ids.
/// @returns This instance's record and as many of the others' from `first` on as one datagram
///          holds; `page` says where the next one starts, 0 after the last.
gossip_message pageFrom(const gossip_table &table, std::size_t first);

} // namespace poplarspool::peer
