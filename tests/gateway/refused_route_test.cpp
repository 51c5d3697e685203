#include "catalogue_fixture.h"
#include "connector_fixture.h"
#include "fixture.h"
#include "gateway/request_proxy.h"
#include "poplarspool/gateway/route_index.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::requestOf;
using test::testDialect;

route routeOf(const std::string &prefix, std::vector<weighted_service> services)
{
    route made;
    made.name = prefix;
    made.host = "h";
    made.pathPrefix = prefix;
    made.timeLimit = services.empty() ? 0ms : 10s;
    made.maxRunners = 2;
    made.services = std::move(services);
    return made;
}

/// A sink that fails on any write: all replies must be complete.
struct unused_sink : http_sink
{
    bool begin(int, const http_headers &, std::string_view) override { return false; }
    bool write(std::string_view) override { return false; }
    void end() override { }
    bool isGone() const override { return false; }
};

/// An instance with the given routes and one runner of the service "s", which refuses connections.
struct fixture
{
    dialect names = testDialect();
    clock_source clock = systemClock();
    metrics_registry registry;
    journal events{{"test"}, clock, 64};
    catalogue_publisher publisher{catalogue{}};
    runner_table runnerTable{clock};
    retry_budgets retries{{1, 100}};
    test::connector_fixture connections{clock, registry, events};
    proxy_metrics metrics{registry};
    std::atomic<std::int64_t> leavesAt{INT64_MAX};
    peer::fleet_view fleet{{{"test"}, {}}};
    crashes::quarantine_manager quarantineManager{
            {{}, {}, {}, {}, {}, fleet, {}}, {}, {"test"}, clock, registry, events};
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
                                withdrawalRegistry};

    explicit fixture(std::vector<route> routes)
    {
        route_table table;
        table.version = 1;
        table.routes = std::move(routes);
        publisher.update([&](catalogue &next) {
            next.table = std::make_shared<const route_table>(table);
            next.index = std::make_shared<const route_index>(buildRouteIndex(table));
            next.areRunnersKnown = true;
            next.tableConfirmedAt = clock.mono();
            runner made;
            made.id.text = "r";
            made.service.text = "s";
            made.address = {"127.0.0.1", 1};
            putRunner(next, made);
            return true;
        });
    }

    http_reply send(const std::string &path)
    {
        const http_request request =
                requestOf("GET", path, {{"Host", "h"}, {"Id", "q1"}, {"Limit", "5000"}});
        unused_sink caller;
        return request_proxy(context, request, caller).run().value();
    }
};

void assertIsTemporarilyRefused(const http_reply &reply)
{
    CPPUNIT_ASSERT_EQUAL(503, reply.status);
    CPPUNIT_ASSERT(!headerOf(reply.headers, "Retry-After").empty());
}

} // namespace

class refused_route_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(refused_route_test);
    CPPUNIT_TEST(unreadableRouteIsTemporarilyRefused);
    CPPUNIT_TEST(unmatchedRequestIsTemporarilyRefusedIfARouteIsInvalid);
    CPPUNIT_TEST(routeWithZeroWeightsIsTemporarilyRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The request must get neither a 404, nor the service of a shorter prefix.
    void unreadableRouteIsTemporarilyRefused()
    {
        fixture test({routeOf("/a/", {{{"s"}, 1}}), routeOf("/a/b/", {})});
        assertIsTemporarilyRefused(test.send("/a/b/1"));
        CPPUNIT_ASSERT(test.events.events({"send_end", {}, {}}).empty());
        CPPUNIT_ASSERT_EQUAL(404, test.send("/c/1").status);
    }

    void unmatchedRequestIsTemporarilyRefusedIfARouteIsInvalid()
    {
        route invalid = routeOf("", {});
        invalid.hasInvalidMatch = true;
        fixture test({routeOf("/a/", {{{"s"}, 1}}), invalid});
        assertIsTemporarilyRefused(test.send("/c/1"));
    }

    void routeWithZeroWeightsIsTemporarilyRefused()
    {
        fixture test({routeOf("/a/", {{{"s"}, 0}})});
        assertIsTemporarilyRefused(test.send("/a/1"));
        CPPUNIT_ASSERT(test.events.events({"send_end", {}, {}}).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(refused_route_test);

} // namespace poplarspool::gateway
