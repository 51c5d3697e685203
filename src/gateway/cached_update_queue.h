#pragma once

#include "poplarspool/peer/load_exchange.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace poplarspool::gateway {

/// Updates about cached prompt parts that wait to be sent, each several times. An update that still
/// waits is not queued again: in a zone of many instances most updates are repeats, and they would
/// displace the others.
class cached_update_queue
{
public:
    void add(const peer::cached_prefix &update);
    /// @returns Up to `count` updates, those first that have waited longest.
    std::vector<peer::cached_prefix> take(std::size_t count);
    bool isEmpty() const { return order.empty(); }
    std::size_t size() const { return order.size(); }

private:
    struct pending_update
    {
        bool isPrefilled = false;
        std::uint32_t repeatsLeft = 0;
    };

    using update_key = std::uint64_t; ///< The runner, and the hash of the prefix.

    std::deque<update_key> order;
    std::unordered_map<update_key, pending_update> pending;
};

} // namespace poplarspool::gateway
