#pragma once

#include "base/http_text.h"
#include "catalogue_fixture.h"
#include "connector_fixture.h"
#include "fixture.h"
#include "gateway/request_proxy.h"
#include "gateway/runner_control.h"
#include "poplarspool/gateway/route_index.h"
#include "scripted_runner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <sys/socket.h>

namespace poplarspool::gateway::test {

using namespace std::chrono_literals;

/// Test double of a caller, connected by a pair of sockets.
struct test_caller : http_sink
{
    test_caller()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
        ours = descriptor(ends[0]);
        theirs = descriptor(ends[1]);
    }

    bool begin(int givenStatus, const http_headers &, std::string_view) override
    {
        status = givenStatus;
        return true;
    }
    bool write(std::string_view piece) override
    {
        std::this_thread::sleep_for(writeTime);
        body += piece;
        return true;
    }
    void end() override { isWhole = true; }
    bool isGone() const override { return false; }
    int descriptorNumber() const override { return ours.get(); }

    descriptor ours;
    descriptor theirs;
    int status = 0;
    std::string body;
    bool isWhole = false;
    milliseconds writeTime{0}; ///< Of each piece.
};

/// The state that one request_proxy needs.
struct proxy_fixture
{
    dialect names = testDialect();
    clock_source clock = systemClock();
    metrics_registry registry;
    journal events{{"test"}, clock, 64};
    catalogue_publisher publisher{catalogue{}};
    runner_table runnerTable{clock};
    retry_budgets retries{{1, 100}};
    connector_fixture connections{clock, registry, events};
    proxy_metrics metrics{registry};
    std::atomic<std::int64_t> leavesAt{INT64_MAX};
    peer::fleet_view fleet{{{"test"}, {}}};
    std::set<endpoint> endedAddresses; ///< Addresses at which no process listens any more.
    crashes::quarantine_dependencies quarantineDependencies{
            [this](const crashes::observed_runner &target) {
                return endedAddresses.contains(target.address);
            },
            [](peer::rumor) {},
            [](std::uint64_t) {},
            [] { return std::vector<std::uint64_t>(); },
            [] { return mono_time{}; },
            fleet,
            [](const std::vector<endpoint> &, const result<std::string> &) {}};
    crashes::quarantine_manager quarantineManager{
            quarantineDependencies, {}, {"test"}, clock, registry, events};
    rate_limiter rateLimiter{
            {names.rateLimit, [](const std::vector<endpoint> &, const result<std::string> &) {},
             [this](std::uint32_t runner) { return runnerTable.recentSendsTo(runner); },
             [](std::uint32_t) { return 0U; }, [](std::uint32_t) { return std::string(); }, fleet,
             clock, registry, events},
            {"test"}};
    streams::origin_registry origins{
            {{"test"},
             [](const std::vector<endpoint> &, const result<std::string> &) {},
             fleet,
             clock,
             registry}};
    withdrawals::withdrawal_registry withdrawalRegistry{
            {{"test"},
             names.leaving,
             [](const std::vector<endpoint> &, const result<std::string> &) {},
             {[](const withdrawals::runner_life &) {}},
             fleet,
             clock,
             registry,
             events}};
    share_table shares{clock};
    const proxy_context context{names,
                                publisher,
                                runnerTable,
                                retries,
                                connections.connector,
                                metrics,
                                events,
                                clock,
                                {"z"},
                                leavesAt,
                                quarantineManager,
                                rateLimiter,
                                origins,
                                withdrawalRegistry,
                                7,
                                nullptr,
                                milliseconds::max(),
                                proofTimeOf(gateway_settings{}.routesBound),
                                proofTimeOf(gateway_settings{}.runnersBound),
                                &shares};
    test_caller caller;

    /// Routes: /once/ may not be repeated, /again/ may, /stream/ may be resumed.
    explicit proxy_fixture(const std::vector<const scripted_runner *> &runners)
    {
        catalogue initial;
        route_table table;
        table.version = 1;
        for (const char *kind : {"once", "again", "stream"}) {
            route made;
            made.name = kind;
            made.host = "h";
            made.pathPrefix = "/" + made.name + "/";
            made.isStream = made.isResumable = made.name == "stream";
            made.retryPolicy =
                    made.name == "once" ? retry_policy::AtMostOnce : retry_policy::Idempotent;
            made.timeLimit = 10s;
            made.latencyObjective = 1s;
            made.maxRunners = 2;
            made.services = {{{"s"}, 1}};
            table.routes.push_back(made);
        }
        table.services = {{{"s"}, std::nullopt}};
        initial.table = std::make_shared<const route_table>(table);
        initial.index = std::make_shared<const route_index>(buildRouteIndex(table));
        for (std::size_t i = 0; i < runners.size(); ++i) {
            runner made;
            made.id.text = "r" + std::to_string(i);
            made.service.text = "s";
            made.address = runners[i]->address();
            putRunner(initial, made);
        }
        initial.areRunnersKnown = true;
        initial.tableConfirmedAt = clock.mono();
        publisher.update([&initial](catalogue &next) {
            next = initial;
            return true;
        });
    }

    /// Records runners that ended under attempts of the same request.
    void recordEnds(const std::string &path, int count)
    {
        const endpoint gone{"127.0.0.1", 9};
        endedAddresses.insert(gone);
        const http_request request = requestOf("GET", path, {{"Host", "h"}});
        for (int i = 0; i < count; ++i) {
            crashes::observed_runner endedRunner;
            endedRunner.id.text = "gone-" + std::to_string(i);
            endedRunner.address = gone;
            quarantineManager.recordConnectionLost({digestOf(request, context.digestSeed), {}},
                                                   endedRunner);
        }
    }

    /// From now on callers need the key "good" of the workspace "space".
    void needKeys(const std::function<void(route_table &)> &edit = {})
    {
        route_table table = *publisher.current()->table;
        table.needsKeys = true;
        table.workspaces = {{{"space"}, {digest128Of("good")}, 0}};
        if (edit)
            edit(table);
        publisher.update([&table](catalogue &next) {
            next.table = std::make_shared<const route_table>(table);
            next.index = std::make_shared<const route_index>(buildRouteIndex(table));
            return true;
        });
    }

    /// @returns The field of the last event of that kind; empty if there is none.
    std::string lastFieldOf(const std::string &kind, const std::string &key) const
    {
        const auto found = events.events({kind, {}, {}});
        if (found.empty())
            return {};
        for (const event_field &field : found.back().fields) {
            if (field.key == key)
                return field.value;
        }
        return {};
    }

    std::optional<http_reply> sendRequest(const std::string &path,
                                          const std::string &limit = "5000",
                                          const http_headers &more = {})
    {
        http_headers headers{{"Host", "h"}, {"Id", "q1"}, {"Limit", limit}};
        headers.insert(headers.end(), more.begin(), more.end());
        const http_request request = requestOf("GET", path, headers);
        return request_proxy(context, request, caller).run();
    }
};

/// Leaves an idle connection, on which the runner has answered, in the pool.
inline void keepConnection(proxy_fixture &test)
{
    const runner_entry target = test.publisher.current()->runners->find({"r0"});
    CPPUNIT_ASSERT(succeeded(callRunner(test.connections.connector, test.names, *target,
                                        test.names.reportRequest(), 5s)));
}

/// The first runner only prefills, the second one only decodes.
inline void useEngines(proxy_fixture &test)
{
    test.publisher.update([](catalogue &next) {
        route_table table = *next.table;
        table.services = {{{"s"}, engine_traits{8, 100000, 1, 1000}}};
        next.table = std::make_shared<const route_table>(table);
        runner prefiller = *next.runners->find({"r0"});
        prefiller.stage = engine_stage::Prefill;
        runner decoder = *next.runners->find({"r1"});
        decoder.stage = engine_stage::Decode;
        prefiller.slots = decoder.slots = 8;
        putRunner(next, prefiller);
        putRunner(next, decoder);
        return true;
    });
}

inline std::string sealed(const std::string &status, const std::string &body,
                          const std::string &id = "q1")
{
    return "HTTP/1.1 " + status + "\r\nId: " + id
            + "\r\nSeal: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Head of a stream with neither a length nor chunks.
inline const std::string streamHead =
        "HTTP/1.1 200 OK\r\nId: q1\r\nSeal: x\r\nContent-Type: text/event-stream\r\n\r\n";

/// @returns A whole answer in chunks.
inline std::string chunkedStream(const std::string &events)
{
    const std::string chunks = events.empty() ? std::string() : encodeChunk(events);
    return streamHead.substr(0, streamHead.size() - 2) + "Transfer-Encoding: chunked\r\n\r\n"
            + chunks + "0\r\n\r\n";
}

} // namespace poplarspool::gateway::test
