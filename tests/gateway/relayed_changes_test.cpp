#include "poplarspool/base/limits.h"
#include "poplarspool/gateway/catalogue_updater.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

runner makeEngine()
{
    runner made;
    made.id.text = "i-1";
    made.startedAtMs = 1753000000123;
    made.writes = 7;
    made.service.text = "s";
    made.address = {"10.0.0.1", 8080};
    made.zone.text = "a";
    made.version.text = "v1.2";
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
    made.retryPolicy = retry_policy::Idempotent;
    made.timeLimit = milliseconds(5000);
    made.latencyObjective = milliseconds(800);
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
    made.callerLimits = {16384, 4194304, milliseconds(3000), milliseconds(15000)};
    return made;
}

} // namespace

class relayed_changes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relayed_changes_test);
    CPPUNIT_TEST(runnerChangesAreDecodedAsEncoded);
    CPPUNIT_TEST(routesAreEncodedAsDelta);
    CPPUNIT_TEST(deltaOfAnotherTableIsRejected);
    CPPUNIT_TEST(truncatedDataIsRejected);
    CPPUNIT_TEST(oversizedChangesGiveAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    void runnerChangesAreDecodedAsEncoded()
    {
        const runner_change added{{"i-1"}, makeEngine()};
        CPPUNIT_ASSERT(valueOf(decodeRunnerChange(valueOf(encode(added)))) == added);
        const runner_change gone{{"i-1"}, std::nullopt};
        CPPUNIT_ASSERT(valueOf(decodeRunnerChange(valueOf(encode(gone)))) == gone);
    }

    void routesAreEncodedAsDelta()
    {
        const route_table before = tableOf(4, {"a", "b", "c"});
        route_table after = tableOf(9, {"c", "d", "a"});
        after.routes[2].timeLimit = milliseconds(7000);
        const std::string delta = valueOf(encode(after, before));
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(delta, before)) == after);
        CPPUNIT_ASSERT(delta.size() < valueOf(encode(after, {})).size());
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(valueOf(encode(before, {})), {})) == before);
    }

    /// Versions only increase: an older table must not replace the current one, and a delta must
    /// not be applied to another table than the one it is based on.
    void deltaOfAnotherTableIsRejected()
    {
        const route_table first = tableOf(4, {"a"});
        const route_table second = tableOf(9, {"a", "b"});
        const route_table third = tableOf(12, {"b"});
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(valueOf(encode(second, first)), third)) == third);
        CPPUNIT_ASSERT(errorOf(decodeRouteTable(valueOf(encode(third, second)), first)).code
                       == error_code::Stale);
    }

    void truncatedDataIsRejected()
    {
        const std::string entry = valueOf(encode(runner_change{{"i-1"}, makeEngine()}));
        for (std::size_t size = 0; size < entry.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeRunnerChange(entry.substr(0, size))));
        const std::string routes = valueOf(encode(tableOf(9, {"a", "b"}), {}));
        for (std::size_t size = 0; size < routes.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeRouteTable(routes.substr(0, size), {})));
    }

    /// Names set by operators and runners may exceed the limits of the format. This must give an
    /// error, not end the process.
    void oversizedChangesGiveAnError()
    {
        const std::string longName(config::maxNameBytes + 1, 'n');
        runner longZone = makeEngine();
        longZone.zone.text = longName;
        runner longService = makeEngine();
        longService.service.text = longName;
        for (const runner_change &change :
             {runner_change{{longName}, std::nullopt}, runner_change{{"i-1"}, longZone},
              runner_change{{"i-1"}, longService}})
            CPPUNIT_ASSERT(errorOf(encode(change)).code == error_code::TooLarge);
        for (const std::size_t count : {257U, 16'384U, 16'385U}) {
            const route_table many = tableOf(9, std::vector<std::string>(count, "a"));
            CPPUNIT_ASSERT_EQUAL(count <= 16'384U, succeeded(encode(many, {})));
        }
        route_table longHost = tableOf(9, {"a"});
        longHost.routes.front().host = longName;
        CPPUNIT_ASSERT(errorOf(encode(longHost, {})).code == error_code::TooLarge);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relayed_changes_test);

} // namespace poplarspool::gateway
