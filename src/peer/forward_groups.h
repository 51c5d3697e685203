#pragma once

#include "poplarspool/base/endpoint.h"

#include <cstdint>
#include <vector>

namespace poplarspool::peer {

/// Instances that get a relay's datagrams from one of them.
struct forward_group
{
    endpoint forwarder;
    std::vector<endpoint> members; ///< Without the forwarder; at most config::maxForwardGroup.

    bool operator==(const forward_group &) const = default;
};

/// Splits the recipients into groups. Two relays choose different groups: an instance whose
/// forwarder for one relay is lost still hears the other.
/// @param relay Number of the relay.
std::vector<forward_group> forwardGroupsOf(std::vector<endpoint> recipients, std::uint64_t relay);

/// Recipients of one datagram, and those to which each of them forwards it.
struct forward_batch
{
    std::vector<endpoint> to;
    std::vector<endpoint> forwardTo;

    bool operator==(const forward_batch &) const = default;
};

/// Up to config::maxDirectRecipients get a datagram directly, more by way of forwarders.
/// @returns Empty if there are no recipients.
std::vector<forward_batch> forwardBatchesOf(std::vector<endpoint> recipients, std::uint64_t relay);

} // namespace poplarspool::peer
