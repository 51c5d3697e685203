#include "poplarspool/config.h"
#include "poplarspool/gateway/catalogue_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

runner anEngine()
{
    runner made;
    made.id.text = "i-1";
    made.bornMs = 1753000000123;
    made.writes = 7;
    made.service.text = "s";
    made.address = {"10.0.0.1", 8080};
    made.zone.text = "a";
    made.slots = 128;
    made.isDraining = true;
    made.stage = engine_stage::Decode;
    return made;
}

route routeOf(const std::string &name)
{
    route made;
    made.name = name;
    made.host = "example";
    made.pathPrefix = "/" + name + "/";
    made.isStream = true;
    made.repeats = repeat_rule::Idempotent;
    made.timeLimit = milliseconds(5000);
    made.objective = milliseconds(800);
    made.rank = 2;
    made.maxRunners = 2;
    made.services = {{{"s"}, 90}, {{"t"}, 10}};
    return made;
}

route_table tableOf(std::uint64_t version, const std::vector<std::string> &names)
{
    route_table made;
    made.version = version;
    for (const std::string &name : names)
        made.routes.push_back(routeOf(name));
    made.services = {{{"s"}, engine_traits{128, 752347, 18432, 320000.5}}, {{"t"}, std::nullopt}};
    made.bounds = {16384, 4194304, milliseconds(3000), milliseconds(15000)};
    return made;
}

} // namespace

class told_changes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(told_changes_test);
    CPPUNIT_TEST(runnersSurviveTheWire);
    CPPUNIT_TEST(routesAreToldByWhatDiffers);
    CPPUNIT_TEST(routesThatFollowAnotherTableAreRefused);
    CPPUNIT_TEST(brokenTextIsRefused);
    CPPUNIT_TEST(whatIsTooLongToTellIsAnAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void runnersSurviveTheWire()
    {
        const runner_change entered{{"i-1"}, anEngine()};
        CPPUNIT_ASSERT(valueOf(decodeRunnerChange(valueOf(encode(entered)))) == entered);
        const runner_change gone{{"i-1"}, std::nullopt};
        CPPUNIT_ASSERT(valueOf(decodeRunnerChange(valueOf(encode(gone)))) == gone);
    }

    void routesAreToldByWhatDiffers()
    {
        const route_table before = tableOf(4, {"a", "b", "c"});
        route_table after = tableOf(9, {"c", "d", "a"});
        after.routes[2].timeLimit = milliseconds(7000);
        const std::string told = valueOf(encode(after, before));
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(told, before)) == after);
        CPPUNIT_ASSERT(told.size() < valueOf(encode(after, {})).size());
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(valueOf(encode(before, {})), {})) == before);
    }

    /// Versions only rise: a table that is known already is not gone back to, and one that builds
    /// on another one must not be guessed.
    void routesThatFollowAnotherTableAreRefused()
    {
        const route_table first = tableOf(4, {"a"});
        const route_table second = tableOf(9, {"a", "b"});
        const route_table third = tableOf(12, {"b"});
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(valueOf(encode(second, first)), third)) == third);
        CPPUNIT_ASSERT(errorOf(decodeRouteTable(valueOf(encode(third, second)), first)).code
                       == error_code::Stale);
    }

    void brokenTextIsRefused()
    {
        const std::string entry = valueOf(encode(runner_change{{"i-1"}, anEngine()}));
        for (std::size_t size = 0; size < entry.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeRunnerChange(entry.substr(0, size))));
        const std::string routes = valueOf(encode(tableOf(9, {"a", "b"}), {}));
        for (std::size_t size = 0; size < routes.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeRouteTable(routes.substr(0, size), {})));
    }

    /// What operators and runners choose may be longer than what is told; it ends no process.
    void whatIsTooLongToTellIsAnAnswer()
    {
        const std::string longName(config::maxNameBytes + 1, 'n');
        runner longZone = anEngine();
        longZone.zone.text = longName;
        runner longService = anEngine();
        longService.service.text = longName;
        for (const runner_change &change :
             {runner_change{{longName}, std::nullopt}, runner_change{{"i-1"}, longZone},
              runner_change{{"i-1"}, longService}})
            CPPUNIT_ASSERT(errorOf(encode(change)).code == error_code::TooLarge);
        for (const std::size_t count : {256U, 257U, 2000U}) {
            const route_table many = tableOf(9, std::vector<std::string>(count, "a"));
            CPPUNIT_ASSERT_EQUAL(count <= 256U, succeeded(encode(many, {})));
        }
        route_table longHost = tableOf(9, {"a"});
        longHost.routes.front().host = longName;
        CPPUNIT_ASSERT(errorOf(encode(longHost, {})).code == error_code::TooLarge);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(told_changes_test);

} // namespace poplarspool::gateway
