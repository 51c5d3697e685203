#pragma once

#include "gateway/rate_limiter.h"
#include "peer/frame.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/peer/load_exchange.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace poplarspool::gateway::test {

using namespace std::chrono_literals;

/// Instances that exchange limits without a network and on a clock of the test. Datagrams arrive at
/// once unless they are dropped.
class limiter_fleet
{
public:
    limiter_fleet(int count, double perSecond) : perSecond(perSecond)
    {
        target.id.text = "r";
        target.startedAtMs = 1;
        for (int i = 0; i < count; ++i)
            add();
        shareList();
    }

    void add()
    {
        const std::size_t index = nodes.size();
        auto made = std::make_unique<node>();
        made->entry.id.text = "edge-" + std::to_string(index);
        made->entry.peerAddress = {"10.0." + std::to_string(index / 250) + "."
                                           + std::to_string(index % 250 + 1),
                                   7000};
        made->view = std::make_unique<peer::fleet_view>(made->entry);
        made->limiter =
                std::make_unique<rate_limiter>(dependenciesOf(index, *made->view), made->entry.id);
        indexes[limitAddressOf(made->entry.peerAddress)] = index;
        nodes.push_back(std::move(made));
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
    rate_limiter &at(std::size_t index) { return *nodes[index]->limiter; }

    /// The runner answers a request of the instance, and names its limit.
    void answer(std::size_t index, std::optional<double> limit)
    {
        http_headers headers;
        if (limit)
            headers.emplace_back("Rate", std::to_string(*limit));
        at(index).recordReply(target, headers, reply_kind::Accepted, now - 1ms);
    }

    /// The instance sends a request if it gets a permit. The runner answers at once.
    bool trySend(std::size_t index, send_class urgency = send_class::Urgent)
    {
        const auto acquired = at(index).acquire(target, urgency);
        if (!std::holds_alternative<rate_permit>(acquired))
            return false;
        send(index);
        return true;
    }

    void send(std::size_t index)
    {
        nodes[index]->sentAt.push_back(now);
        arrivals.push_back(now);
        if (refuses && refuses())
            return at(index).recordReply(target, {}, reply_kind::Refused, now - 1ms);
        nodes[index]->startedAt.push_back(now);
        ++accepted;
        answer(index, limit());
    }

    /// Sends that many requests per second for a time, from instances that the draw selects.
    void load(double requestsPerSecond, milliseconds time,
              const std::function<std::size_t(std::uint64_t)> &select)
    {
        const auto step =
                std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 / requestsPerSecond));
        const mono_time end = now + time;
        while (now < end) {
            now += step;
            trySend(select(hashOf("load", ++draws)));
        }
    }

    /// All instances send evenly.
    void loadEvenly(double requestsPerSecond, milliseconds time)
    {
        load(requestsPerSecond, time, [this](std::uint64_t draw) { return draw % size(); });
    }

    /// @returns The highest number of requests that arrived within 4 s that ended after `from`.
    std::size_t busiest(mono_time from) const
    {
        std::size_t most = 0;
        for (std::size_t last = 0, first = 0; last < arrivals.size(); ++last) {
            while (arrivals[last] - arrivals[first] > 4s)
                ++first;
            if (arrivals[last] >= from)
                most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::size_t countSince(mono_time from) const
    {
        return static_cast<std::size_t>(
                std::ranges::count_if(arrivals, [from](mono_time at) { return at >= from; }));
    }

    /// Index of the instance that issues the permits.
    std::size_t issuer() const
    {
        const auto fleet = nodes.front()->view->current();
        const std::uint64_t number =
                fleet->instances[issuersOf(*fleet, peer::runnerKey(target.id)).first].number;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (peer::senderNumber(nodes[i]->entry.id) == number)
                return i;
        }
        return nodes.size();
    }

    std::optional<double> limit() const
    {
        return hasLimit ? std::optional(perSecond) : std::nullopt;
    }

    const double perSecond;
    bool hasLimit = true;
    std::function<bool()> refuses; ///< Whether the runner refuses the next request.
    std::size_t accepted = 0;
    runner target;
    mono_time now{std::chrono::hours(1)};
    std::set<std::size_t> silent; ///< Instances that get no datagrams.
    int datagramsToDrop = 0;
    std::size_t datagrams = 0;
    std::size_t bytes = 0;

private:
    struct node
    {
        peer::listed_instance entry;
        std::unique_ptr<peer::fleet_view> view;
        std::unique_ptr<rate_limiter> limiter;
        std::deque<mono_time> sentAt;
        std::deque<mono_time> startedAt;
    };

    rate_limiter_dependencies dependenciesOf(std::size_t index, const peer::fleet_view &view)
    {
        return {"Rate",
                [this, index](const std::vector<endpoint> &to, const result<std::string> &payload) {
                    for (const endpoint &each : to)
                        deliver(index, each, valueOf(payload));
                },
                [this, index](std::uint32_t) { return countRecent(nodes[index]->sentAt); },
                [this, index](std::uint32_t) { return countRecent(nodes[index]->startedAt); },
                [](std::uint32_t) { return std::string("r"); },
                view,
                {[this] { return now; }, [] { return wall_time{}; }},
                metrics,
                events};
    }

    std::uint32_t countRecent(const std::deque<mono_time> &times) const
    {
        return static_cast<std::uint32_t>(
                std::ranges::count_if(times, [this](mono_time at) { return now - at <= 1s; }));
    }

    void deliver(std::size_t from, const endpoint &to, const std::string &payload)
    {
        ++datagrams;
        bytes += payload.size() + peer::frameHeaderBytes;
        const std::size_t receiver = indexes.at(to);
        if (datagramsToDrop > 0 && datagramsToDrop-- > 0)
            return;
        if (!silent.contains(receiver))
            CPPUNIT_ASSERT(nodes[receiver]->limiter->receive(
                    peer::senderNumber(nodes[from]->entry.id), payload));
    }

    metrics_registry metrics;
    journal events{{"test"}, systemClock(), 64};
    std::vector<std::unique_ptr<node>> nodes;
    std::map<endpoint, std::size_t> indexes;
    std::vector<mono_time> arrivals;
    std::uint64_t draws = 0;
};

} // namespace poplarspool::gateway::test
