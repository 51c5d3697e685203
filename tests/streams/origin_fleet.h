#pragma once

#include "peer/frame.h"
#include "poplarspool/streams/limits.h"
#include "poplarspool/streams/origin_registry.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace poplarspool::streams::test {

using namespace std::chrono_literals;

/// Instances that exchange origins without a network and on a clock of the test. Datagrams arrive
/// at once unless their sender or receiver is silent.
class origin_fleet
{
public:
    explicit origin_fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            add();
        shareList();
    }

    void add()
    {
        const std::size_t index = nodes.size();
        auto made = std::make_unique<node>();
        made->entry = {
                {"edge-" + std::to_string(index)},
                {"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1),
                 7000}};
        made->view = std::make_unique<peer::fleet_view>(made->entry);
        indexes[originAddressOf(made->entry.peerAddress)] = index;
        nodes.push_back(std::move(made));
        restart(index);
    }

    /// The instance loses its memory.
    void restart(std::size_t index)
    {
        node &one = *nodes[index];
        one.registry = std::make_unique<origin_registry>(origin_dependencies{
                one.entry.id,
                [this, index](const std::vector<endpoint> &to, const result<std::string> &payload) {
                    for (const endpoint &each : to)
                        deliver(index, each, valueOf(payload));
                },
                *one.view,
                {[this] { return now; }, [] { return wall_time{}; }},
                metrics});
    }

    /// All instances read the list of the store.
    void shareList()
    {
        std::vector<peer::listed_instance> listed;
        for (const auto &each : nodes)
            listed.push_back(each->entry);
        for (const auto &each : nodes)
            each->view->setListed(listed);
    }

    std::size_t size() const { return nodes.size(); }
    origin_registry &at(std::size_t index) { return *nodes[index]->registry; }

    void record(std::size_t index, stream_key key, version_key version, milliseconds valid = 5s)
    {
        at(index).record(key, {version, now, now + valid});
    }

    /// @returns The version that the instance finds; 0: none.
    version_key versionAt(std::size_t index, stream_key key)
    {
        const auto found = at(index).find(key);
        return found ? found->origin.version : 0;
    }

    mono_time now{std::chrono::hours(1)};
    std::set<std::size_t> silent; ///< Instances that neither send nor get datagrams.
    std::size_t datagrams = 0;
    std::size_t bytes = 0;

private:
    struct node
    {
        peer::listed_instance entry;
        std::unique_ptr<peer::fleet_view> view;
        std::unique_ptr<origin_registry> registry;
    };

    void deliver(std::size_t from, const endpoint &to, const std::string &payload)
    {
        const std::size_t receiver = indexes.at(to);
        ++datagrams;
        bytes += payload.size() + peer::frameHeaderBytes;
        if (!silent.contains(from) && !silent.contains(receiver))
            CPPUNIT_ASSERT(
                    at(receiver).receive(peer::senderNumber(nodes[from]->entry.id), payload));
    }

    metrics_registry metrics;
    std::vector<std::unique_ptr<node>> nodes;
    std::map<endpoint, std::size_t> indexes;
};

} // namespace poplarspool::streams::test
