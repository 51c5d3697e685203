#include "adapter/gateway_fleet.h"
#include "adapter/odd_values.h"
#include "adapter/steady_load.h"
#include "adapter/withdrawing_runner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <list>
#include <memory>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::gateway_fleet;
using test::waitUntil;
using test::withdrawing_runner;
using texts = std::vector<std::string>;

constexpr int instanceCount = 3;
constexpr int requestsPerCheck = 8;

/// @returns The entry of a runner of another service, with an odd value in one field.
std::string runnerWith(const std::string &key, const std::string &value)
{
    std::string spec = R"({"service":"other","address":"127.0.0.1:9","state":"in_service")";
    return spec + R"(,"other":)" + value + ",\"" + key + "\":" + value + "}";
}

/// @returns Entries of runners, one for each of the values.
texts runnersWith(const std::string &key, const texts &values)
{
    texts specs;
    for (const std::string &value : values)
        specs.push_back(runnerWith(key, value));
    return specs;
}

/// Whole instances, and runners of the service that the requests are for.
class odd_entry_fleet
{
public:
    /// @param firstPort The first of the instances' ports.
    explicit odd_entry_fleet(std::uint16_t firstPort, bool sharesStoreUpdates = false,
                             const std::string &routes = test::routesSpec("idempotent", false))
        : firstPort(firstPort), sharesStoreUpdates(sharesStoreUpdates)
    {
        store.put(wire::configKind, wire::configName, routes);
        addRunner();
    }

    void start()
    {
        instances =
                std::make_unique<gateway_fleet>(store, instanceCount, firstPort, texts{"a"},
                                                std::vector<endpoint>{}, 1000, sharesStoreUpdates);
        instances->waitUntilAllServe("x");
        instances->waitUntilAllKnowEachOther();
    }

    void addOddEntries(const std::string &kind, const texts &specs)
    {
        for (const std::string &spec : specs)
            store.put(kind, "a-odd-" + std::to_string(oddEntries++), spec);
    }

    /// A runner that joins gets requests of all instances, and one that leaves gets none.
    void assertRunnersAreFollowed()
    {
        withdrawing_runner &leaving = runners.back();
        addRunner();
        for (std::size_t i = 0; i < instances->size(); ++i)
            CPPUNIT_ASSERT_MESSAGE("a runner that joined gets no requests",
                                   waitUntil([&] { return sendsTo(runners.back(), i); }));
        leaving.unlist();
        for (std::size_t i = 0; i < instances->size(); ++i)
            CPPUNIT_ASSERT_MESSAGE("a runner that left gets requests",
                                   waitUntil([&] { return !sendsTo(leaving, i); }));
        for (std::size_t i = 0; i < instances->size(); ++i)
            CPPUNIT_ASSERT_EQUAL(200, instances->sendRequest(i, "x"));
    }

    /// An instance that starts now reads all kinds and serves.
    void assertNewInstanceServes()
    {
        instances->startOne();
        instances->waitUntilAllServe("x");
        instances->waitUntilAllKnowEachOther();
    }

    void assertAllIsFollowed()
    {
        assertRunnersAreFollowed();
        assertNewInstanceServes();
        assertRunnersAreFollowed();
    }

    test::fake_store store;
    std::list<withdrawing_runner> runners;
    std::unique_ptr<gateway_fleet> instances;

private:
    void addRunner() { runners.emplace_back(store, "i-" + std::to_string(runners.size())); }

    bool sendsTo(const withdrawing_runner &target, std::size_t instance)
    {
        const std::size_t before = target.arrivalCount();
        for (int i = 0; i < requestsPerCheck; ++i)
            instances->sendRequest(instance, "x");
        return target.arrivalCount() > before;
    }

    const std::uint16_t firstPort;
    const bool sharesStoreUpdates;
    int oddEntries = 0;
};

/// The odd entries are written while the instances follow the runners, and are there when another
/// instance starts.
void assertOddRunnersCostOnlyThemselves(std::uint16_t firstPort, const texts &specs,
                                        bool sharesStoreUpdates = false)
{
    odd_entry_fleet fleet(firstPort, sharesStoreUpdates);
    fleet.start();
    fleet.addOddEntries(wire::runnerKind, specs);
    fleet.assertAllIsFollowed();
}

} // namespace

/// Guards against instances that end, stop following the store or read nothing at their start
/// because another writer has left an entry that can't be read.
class odd_entries_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_entries_test);
    CPPUNIT_TEST(runnersWithUnreadableNumbers);
    CPPUNIT_TEST(runnersWithUnreadableStrings);
    CPPUNIT_TEST(runnersWithNumbersOutOfRange);
    CPPUNIT_TEST(runnersWithNestedValues);
    CPPUNIT_TEST(runnersWithOddValuesInEachField);
    CPPUNIT_TEST(runnersWithOddNames);
    CPPUNIT_TEST(relayedRunnersWithOddValues);
    CPPUNIT_TEST(oddRunnersAtStart);
    CPPUNIT_TEST(entryThatBecomesUnreadableGetsNoRequests);
    CPPUNIT_TEST(configurationWithOddParts);
    CPPUNIT_TEST(oddInstances);
    CPPUNIT_TEST(oddLeasesAndCrashRecords);
    CPPUNIT_TEST_SUITE_END();

public:
    void runnersWithUnreadableNumbers()
    {
        assertOddRunnersCostOnlyThemselves(24000, runnersWith("seq", test::unreadableNumbers()));
    }

    void runnersWithUnreadableStrings()
    {
        assertOddRunnersCostOnlyThemselves(24100, runnersWith("zone", test::unreadableStrings()));
    }

    void runnersWithNumbersOutOfRange()
    {
        texts specs = runnersWith("address", test::numbersOutOfRange());
        for (const std::string &each : runnersWith("born", test::numbersOutOfRange()))
            specs.push_back(each);
        assertOddRunnersCostOnlyThemselves(24200, specs);
    }

    void runnersWithNestedValues()
    {
        assertOddRunnersCostOnlyThemselves(24300, runnersWith("slots", test::nestedValues()));
    }

    void runnersWithOddValuesInEachField()
    {
        texts specs;
        texts values = test::wrongTypes();
        values.insert(values.end(), {"1e999", "NaN", R"("\ud800")"});
        for (const char *key : {"service", "address", "state", "slots", "zone", "version", "seq",
                                "born", "stage", "spot"}) {
            const texts some = runnersWith(key, values);
            specs.insert(specs.end(), some.begin(), some.end());
        }
        // The last of two members of the same name counts.
        specs.emplace_back(R"({"service":"s","service":"other","address":"127.0.0.1:9","slots":1,)"
                           R"("slots":1e999,"address":7})");
        assertOddRunnersCostOnlyThemselves(24400, specs);
    }

    void runnersWithOddNames()
    {
        odd_entry_fleet fleet(24500);
        fleet.start();
        const std::string spec = runnerWith("seq", "1");
        for (const std::string &name :
             {std::string(R"(a\ud800)"), std::string("a\xff"), std::string("a\x01"),
              std::string(R"(a\u0000b)"), std::string(R"(a\r\nX: y)"), std::string(),
              std::string(200, 'a'), std::string(1'000'000, 'a')})
            fleet.store.put(wire::runnerKind, name, spec);
        fleet.assertAllIsFollowed();
    }

    /// The changes of an odd entry are relayed together with those of other runners.
    void relayedRunnersWithOddValues()
    {
        texts specs = runnersWith("seq", test::unreadableNumbers());
        for (const texts &some :
             {runnersWith("zone", test::unreadableStrings()),
              runnersWith("address", test::numbersOutOfRange()),
              runnersWith("slots", {test::nestedArrays(1000), test::nestedArrays(100'000)}),
              runnersWith("service", {test::quoted(std::string(300'000, 's'))})})
            specs.insert(specs.end(), some.begin(), some.end());
        assertOddRunnersCostOnlyThemselves(24600, specs, true);
    }

    void oddRunnersAtStart()
    {
        odd_entry_fleet fleet(24700);
        fleet.addOddEntries(wire::runnerKind, runnersWith("seq", test::unreadableNumbers()));
        fleet.addOddEntries(wire::runnerKind, runnersWith("zone", test::unreadableStrings()));
        fleet.addOddEntries(wire::runnerKind, runnersWith("slots", {test::nestedArrays(400'000)}));
        fleet.start();
        fleet.assertRunnersAreFollowed();
    }

    /// Whether such a runner is still in service is unknown: it may have begun to leave.
    void entryThatBecomesUnreadableGetsNoRequests()
    {
        odd_entry_fleet fleet(24800);
        fleet.start();
        withdrawing_runner odd(fleet.store, "i-odd");
        const auto arrivals = [&] {
            const std::size_t before = odd.arrivalCount();
            for (int i = 0; i < 4 * instanceCount; ++i)
                fleet.instances->sendRequest(static_cast<std::size_t>(i) % instanceCount, "x");
            return odd.arrivalCount() - before;
        };
        CPPUNIT_ASSERT(waitUntil([&] { return arrivals() > 0; }));
        fleet.store.put(wire::runnerKind, "i-odd",
                        R"({"service":"s","state":NaN,"address":")" + textOf(odd.address())
                                + R"("})");
        CPPUNIT_ASSERT(waitUntil([&] { return arrivals() == 0; }));
        fleet.assertRunnersAreFollowed();
        odd.list();
        CPPUNIT_ASSERT(waitUntil([&] { return arrivals() > 0; }));
    }

    /// Odd parts of the configuration, and odd objects beside it. All other routes are served.
    void configurationWithOddParts()
    {
        std::string routes;
        for (const std::string &value : test::oddValues()) {
            if (value.size() < 10'000)
                routes += R"({"name":"odd","host":"odd","pathPrefix":"/","service":"s",)"
                          R"("kind":"idempotent","timeoutMs":)"
                        + value + "},";
        }
        std::string spec = test::routesSpec("idempotent", false);
        const std::string list = R"("routes":[)";
        spec.insert(spec.find(list) + list.size(), routes);
        odd_entry_fleet fleet(24900, false, spec);
        fleet.addOddEntries(wire::configKind, test::oddValues());
        fleet.start();
        fleet.assertRunnersAreFollowed();
        spec.replace(spec.find(R"("version":1)"), 11, R"("version":2)");
        spec.replace(spec.find(R"("pathPrefix":"/p/")"), 18, R"("pathPrefix":"/q/")");
        fleet.store.put(wire::configKind, wire::configName, spec);
        for (std::size_t i = 0; i < fleet.instances->size(); ++i)
            CPPUNIT_ASSERT(waitUntil([&] { return fleet.instances->sendRequest(i, "x") == 404; }));
    }

    void oddInstances()
    {
        odd_entry_fleet fleet(25000);
        fleet.start();
        for (const texts &values : {test::unreadableNumbers(), test::unreadableStrings(),
                                    test::numbersOutOfRange(), test::wrongTypes()}) {
            for (const std::string &value : values)
                fleet.addOddEntries(wire::instanceKind,
                                    {value, test::filled(R"({"peer":$,"load":$})", value)});
        }
        fleet.assertNewInstanceServes();
        fleet.assertRunnersAreFollowed();
    }

    void oddLeasesAndCrashRecords()
    {
        odd_entry_fleet fleet(25100);
        std::string records;
        for (const std::string &value : test::oddValues()) {
            if (value.size() < 10'000)
                records += test::filled(R"($,{"digest":$,"served_ms":$,"lives":$},)", value);
        }
        fleet.store.put(wire::crashRecordKind, wire::crashRecordListName,
                        R"({"requests":[)" + records + R"(7],"parts":1e999})");
        for (const char *duty : {wire::stagesLease, wire::usageLease, wire::fleetLease})
            fleet.store.put(wire::leaseKind, duty, R"({"holder":1e999,"fence":"\ud800"})");
        fleet.start();
        fleet.assertAllIsFollowed();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_entries_test);

} // namespace poplarspool::adapter
