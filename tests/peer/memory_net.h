#pragma once

#include "peer/frame.h"
#include "peer/gossip_protocol.h"
#include "poplarspool/config.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplarspool::peer {

/// Protocol objects joined by function calls, under a time that the test moves on: every run of a
/// test is the same.
struct memory_net
{
    struct place
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
        for (place &node : nodes)
            node.protocol->setContacts({nodes.front().address});
    }

    place &add(const std::string &name, incarnation life)
    {
        gossip_settings choices;
        choices.self.id = instance_id{name};
        choices.self.zone = zone_id{"zone-" + std::to_string(nodes.size() % 8)};
        const std::string host = "10.0." + std::to_string(nodes.size() / 250) + "."
                + std::to_string(nodes.size() % 250);
        choices.self.peerAddress = {host, 7000};
        choices.self.callerAddress = {host, 8080};
        choices.self.life = life;
        choices.roundTime = config::gossipTime;
        choices.suspectTime = config::suspectTime;
        choices.deadTime = config::deadTime;
        choices.fanout = config::gossipFanout;
        choices.bytesPerSecond = config::gossipBytesPerSecond;
        place node;
        node.address = choices.self.peerAddress;
        node.sender = senderNumber(choices.self.id);
        node.protocol = std::make_unique<gossip_protocol>(choices, nodes.size() + 1, now);
        places[node.address] = nodes.size();
        nodes.push_back(std::move(node));
        return nodes.back();
    }

    void deliver(place &from, std::vector<outgoing> datagrams)
    {
        const std::uint64_t life = from.protocol->members().self().record.life;
        for (outgoing &datagram : datagrams) {
            from.bytesSent +=
                    datagram.payload.size() + frameHeaderBytes + config::datagramOverheadBytes;
            place *to = at(datagram.to);
            if (to == nullptr || to->isFrozen || isCut(from, *to))
                continue;
            std::vector<outgoing> answers;
            to->protocol->onDatagram(
                    {from.address, from.sender, life, datagram.callId, datagram.payload, now}, now,
                    answers);
            deliver(*to, std::move(answers));
        }
    }

    /// One round of everybody.
    void step()
    {
        now += config::gossipTime;
        for (place &node : nodes) {
            if (!node.isFrozen)
                deliver(node, node.protocol->onRound(now));
        }
    }

    /// @returns Rounds until it holds; `limit` where it does not.
    std::size_t stepUntil(const std::function<bool()> &holds, std::size_t limit = 2000)
    {
        std::size_t rounds = 0;
        while (!holds() && rounds < limit) {
            step();
            ++rounds;
        }
        return rounds;
    }

    place *at(const endpoint &address)
    {
        const auto found = places.find(address);
        return found == places.end() ? nullptr : &nodes[found->second];
    }

    /// @returns Whether every one that runs sees `count` members in that state.
    bool everybodySees(policy::member_state state, std::size_t count) const
    {
        for (const place &node : nodes) {
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
    std::vector<place> nodes;
    std::map<endpoint, std::size_t> places;
    std::function<bool(const place &, const place &)> isCut = [](const place &, const place &) {
        return false;
    };
};

} // namespace poplarspool::peer
