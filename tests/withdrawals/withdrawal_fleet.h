#pragma once

#include "peer/frame.h"
#include "poplarspool/withdrawals/withdrawal_registry.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplarspool::withdrawals::test {

/// Instances that tell each other which runners leave, without a network and on a clock of the
/// test. Datagrams arrive at once unless their sender or receiver is silent.
class withdrawal_fleet
{
public:
    explicit withdrawal_fleet(std::size_t count)
    {
        std::vector<peer::listed_instance> listed;
        for (std::size_t i = 0; i < count; ++i) {
            listed.push_back({{"edge-" + std::to_string(i)}, peerAddressOf(i)});
            indexes[withdrawalAddressOf(listed.back().peerAddress)] = i;
        }
        for (const peer::listed_instance &each : listed) {
            views.push_back(std::make_unique<peer::fleet_view>(each));
            views.back()->setListed(listed);
        }
        for (std::size_t i = 0; i < count; ++i) {
            registries.emplace_back();
            restart(i);
        }
    }

    /// The instance loses its memory.
    void restart(std::size_t index)
    {
        registries[index] = std::make_unique<withdrawal_registry>(withdrawal_dependencies{
                {"edge-" + std::to_string(index)},
                "Leaves",
                [this, index](const std::vector<endpoint> &to, const result<std::string> &payload) {
                    for (const endpoint &each : to)
                        deliver(index, each, valueOf(payload));
                },
                {[](const runner_life &) {},
                 [this, index](const runner_id &) { return usersOf(index); }},
                *views[index],
                clock,
                metrics,
                events});
    }

    void answer(std::size_t index, const runner_life &from, const http_headers &headers)
    {
        registries[index]->recordAnswer({from, 200, headers, answer_kind::Accepted, now, "q", {}});
    }

    /// @returns How many instances know that the runner leaves.
    std::size_t countThatKnow(const runner_life &runner) const
    {
        std::size_t count = 0;
        for (const auto &each : registries)
            count += each->find(runner).kind == withdrawal_kind::Leaves ? 1 : 0;
        return count;
    }

    /// An answer that asks for rest.
    /// @param carrier The instance that carries the connection; none: it is direct.
    void rest(std::size_t index, const runner_life &from, const std::string &text,
              std::optional<std::size_t> carrier = {})
    {
        const http_headers headers{{"Retry-After", text}};
        registries[index]->recordAnswer({from, 503, headers, answer_kind::Refused, now, "q",
                                         carrier ? peerAddressOf(*carrier) : endpoint{}});
    }

    withdrawal_registry &at(std::size_t index) { return *registries[index]; }

    mono_time now{std::chrono::hours(1)};
    std::set<std::size_t> silent; ///< Instances that neither send nor get datagrams.
    /// By instance: those whose connections it carries.
    std::map<std::size_t, std::vector<std::size_t>> users;
    std::size_t datagrams = 0;
    std::size_t bytes = 0;

private:
    static endpoint peerAddressOf(std::size_t i)
    {
        return {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1), 7000};
    }

    std::vector<endpoint> usersOf(std::size_t index)
    {
        std::vector<endpoint> found;
        for (const std::size_t each : users[index])
            found.push_back(peerAddressOf(each));
        return found;
    }

    void deliver(std::size_t from, const endpoint &to, const std::string &payload)
    {
        const std::size_t receiver = indexes.at(to);
        ++datagrams;
        bytes += payload.size() + peer::frameHeaderBytes;
        if (!silent.contains(from) && !silent.contains(receiver))
            CPPUNIT_ASSERT(registries[receiver]->receive(payload));
    }

    metrics_registry metrics;
    const clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    journal events{{"test"}, clock, 16};
    std::vector<std::unique_ptr<peer::fleet_view>> views;
    std::vector<std::unique_ptr<withdrawal_registry>> registries;
    std::map<endpoint, std::size_t> indexes;
};

} // namespace poplarspool::withdrawals::test
