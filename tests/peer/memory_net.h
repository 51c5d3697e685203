#pragma once

#include "peer/frame.h"
#include "peer/gossip_protocol.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplarspool::peer {

/// In-memory network of protocol objects with simulated time, so that test runs are deterministic.
struct memory_net
{
    struct net_node
    {
        endpoint address;
        std::uint64_t sender = 0;
        std::unique_ptr<gossip_protocol> protocol;
        bool isFrozen = false;
        std::size_t bytesSent = 0;
    };

    explicit memory_net(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            add("node-" + std::to_string(index), 1);
        for (net_node &node : nodes)
            node.protocol->setContacts({nodes.front().address});
    }

    net_node &add(const std::string &name, incarnation_number nodeIncarnation)
    {
        gossip_settings settings;
        settings.self.id = instance_id{name};
        settings.self.zone = zone_id{"zone-" + std::to_string(nodes.size() % 8)};
        const std::string host = "10.0." + std::to_string(nodes.size() / 250) + "."
                + std::to_string(nodes.size() % 250);
        settings.self.peerAddress = {host, 7000};
        settings.self.callerAddress = {host, 8080};
        settings.self.incarnation = nodeIncarnation;
        settings.roundInterval = config::gossipInterval;
        settings.probeTimeout = config::probeTimeout;
        settings.suspicionTimeout = config::suspicionTimeout;
        settings.fanout = config::gossipFanout;
        settings.bytesPerSecond = config::gossipBytesPerSecond;
        net_node node;
        node.address = settings.self.peerAddress;
        node.sender = senderNumber(settings.self.id);
        node.protocol = std::make_unique<gossip_protocol>(settings, nodes.size() + 1, now);
        indexByAddress[node.address] = nodes.size();
        nodes.push_back(std::move(node));
        return nodes.back();
    }

    void deliver(net_node &from, std::vector<outgoing_datagram> datagrams)
    {
        const std::uint64_t senderIncarnation = from.protocol->members().self().record.incarnation;
        for (outgoing_datagram &datagram : datagrams) {
            from.bytesSent +=
                    datagram.payload.size() + frameHeaderBytes + config::datagramOverheadBytes;
            net_node *to = at(datagram.to);
            if (to == nullptr || to->isFrozen || isCut(from, *to))
                continue;
            std::vector<outgoing_datagram> answers;
            to->protocol->onDatagram({from.address, from.sender, senderIncarnation, datagram.callId,
                                      datagram.payload, now},
                                     now, answers);
            deliver(*to, std::move(answers));
        }
    }

    /// Advances the time by one gossip round and runs the round at every node that isn't frozen.
    void step()
    {
        now += config::gossipInterval;
        for (net_node &node : nodes) {
            if (!node.isFrozen)
                deliver(node, node.protocol->onRound(now));
        }
    }

    /// @returns Rounds until the condition holds; `limit` if it does not hold by then.
    std::size_t stepUntil(const std::function<bool()> &holds, std::size_t limit = 2000)
    {
        std::size_t rounds = 0;
        while (!holds() && rounds < limit) {
            step();
            ++rounds;
        }
        return rounds;
    }

    net_node *at(const endpoint &address)
    {
        const auto found = indexByAddress.find(address);
        return found == indexByAddress.end() ? nullptr : &nodes[found->second];
    }

    /// @returns Whether every node that isn't frozen sees `count` members in that state.
    bool allNodesSee(policy::member_state state, std::size_t count) const
    {
        for (const net_node &node : nodes) {
            if (node.isFrozen)
                continue;
            const auto members = node.protocol->listedMembers();
            const auto found = std::count_if(
                    members.begin(), members.end(),
                    [&](const policy::member &member) { return member.state == state; });
            if (static_cast<std::size_t>(found) != count)
                return false;
        }
        return true;
    }

    mono_time now = mono_time{} + std::chrono::hours(1);
    std::vector<net_node> nodes;
    std::map<endpoint, std::size_t> indexByAddress;
    std::function<bool(const net_node &, const net_node &)> isCut =
            [](const net_node &, const net_node &) { return false; };
};

} // namespace poplarspool::peer
