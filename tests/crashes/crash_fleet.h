#pragma once

#include "crashes/part_judge.h"
#include "peer/frame.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace poplarspool::crashes::test {

/// The judges of parts of a whole fleet, without a network and on a clock of the test. Datagrams
/// arrive at once unless their sender or receiver is silent.
class crash_fleet
{
public:
    explicit crash_fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            add();
        std::vector<peer::listed_instance> listed;
        for (const auto &each : nodes)
            listed.push_back(each->entry);
        for (const auto &each : nodes)
            each->view->setListed(listed);
    }

    std::size_t size() const { return nodes.size(); }

    /// The instance sends the request to a runner unless it refuses it.
    /// @param isCrashing Whether the runner crashes as it writes the answer.
    /// @returns Whether the request was sent.
    bool send(std::size_t instance, const request_suspects &request, bool isCrashing)
    {
        node &one = *nodes[instance];
        if (one.table.quarantineOf(request, wallMs()))
            return false;
        if (isCrashing)
            end(instance, {request}, ++runners);
        else
            one.judge->reportServed(request,
                                    one.table.recordServed(request, one.table.endsKnown()));
        return true;
    }

    /// The runner ends while it executes requests of the instance.
    void end(std::size_t instance, const std::vector<request_suspects> &requests,
             std::uint64_t runner)
    {
        for (const request_suspects &one : requests)
            nodes[instance]->judge->reportEnd(one, {runner, wallMs() + nodes[instance]->skewMs});
        nodes[instance]->judge->judge();
    }

    /// Time passes; the judges look at their parts.
    void pass(milliseconds time)
    {
        for (const mono_time end = now + time; now < end;) {
            now += std::min<mono_time::duration>(end - now, config::witnessTime);
            for (const auto &each : nodes)
                each->judge->judge();
        }
    }

    bool isRefusedAt(std::size_t instance, const request_suspects &request) const
    {
        return nodes[instance]->table.quarantineOf(request, wallMs()).has_value();
    }

    std::size_t countRefusing(const request_suspects &request) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < size(); ++i)
            count += isRefusedAt(i, request) ? 1 : 0;
        return count;
    }

    part_judge &judgeAt(std::size_t instance) { return *nodes[instance]->judge; }
    void setSkew(std::size_t instance, std::int64_t skewMs) { nodes[instance]->skewMs = skewMs; }
    std::int64_t wallMs() const
    {
        return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    }

    mono_time now{std::chrono::hours(1)};
    std::set<std::size_t> silent; ///< Instances that neither send nor get datagrams.
    std::size_t datagrams = 0;
    std::size_t bytes = 0;
    std::size_t verdicts = 0;

private:
    struct node
    {
        peer::listed_instance entry;
        std::int64_t skewMs = 0; ///< Of the instance's time of day.
        std::unique_ptr<peer::fleet_view> view;
        crash_table table;
        std::unique_ptr<part_judge> judge;
    };

    void add()
    {
        const std::size_t index = nodes.size();
        auto made = std::make_unique<node>();
        made->entry = {
                {"edge-" + std::to_string(index)},
                {"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1),
                 7000}};
        made->view = std::make_unique<peer::fleet_view>(made->entry);
        made->judge = std::make_unique<part_judge>(
                part_judge_dependencies{made->entry.id,
                                        *made->view,
                                        [this, index](const std::vector<endpoint> &to,
                                                      const result<std::string> &payload) {
                                            for (const endpoint &each : to)
                                                deliver(index, each, valueOf(payload));
                                        },
                                        [](peer::rumor) {},
                                        {[this] { return now; }, [] { return wall_time{}; }},
                                        metrics,
                                        [this](const std::vector<std::uint64_t> &keys, bool isOwn) {
                                            verdicts += isOwn ? keys.size() : 0;
                                        }},
                made->table);
        indexes[made->entry.peerAddress] = index;
        nodes.push_back(std::move(made));
    }

    void deliver(std::size_t from, const endpoint &to, const std::string &payload)
    {
        const std::size_t receiver = indexes.at(to);
        ++datagrams;
        bytes += payload.size() + peer::frameHeaderBytes;
        if (silent.contains(from) || silent.contains(receiver))
            return;
        CPPUNIT_ASSERT(nodes[receiver]->judge->receive(peer::senderNumber(nodes[from]->entry.id),
                                                       payload));
        nodes[receiver]->judge->judge();
    }

    metrics_registry metrics;
    std::vector<std::unique_ptr<node>> nodes;
    std::map<endpoint, std::size_t> indexes;
    std::uint64_t runners = 0;
};

} // namespace poplarspool::crashes::test
