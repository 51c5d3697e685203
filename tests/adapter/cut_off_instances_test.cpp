#include "adapter/cuttable_link.h"
#include "adapter/gateway_fleet.h"
#include "adapter/limited_runner.h"
#include "adapter/store_view.h"

#include <cppunit/extensions/HelperMacros.h>
#include <list>
#include <thread>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::cut_kind;
using test::cuttable_link;
using test::fake_store;
using test::gateway_fleet;
using test::limited_runner;
using test::store_view;

constexpr int instanceCount = 3;
constexpr int runnerCount = 6;
/// Time after the beginning of a cut from which the instance has to serve.
constexpr auto settleTime = 3s;
constexpr int requestCount = 40;
/// Nineteen in twenty.
constexpr int minServed = 38;

std::string routesSpec(const std::string &kind)
{
    return R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h",)"
           R"("pathPrefix":"/p/","kind":")"
            + kind
            + R"(","service":"s","attempts":2,"timeoutMs":600,"targetLatencyMs":100}],)"
              R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,)"
              R"("headerTimeoutMs":3000,"idleTimeoutMs":5000}})";
}

/// Three instances and six runners. The links of the first instance to the runners can be cut.
class cut_fleet
{
public:
    cut_fleet(const std::string &kind, std::uint16_t firstPort)
    {
        store.put(wire::configKind, wire::configName, routesSpec(kind));
        std::map<std::string, std::string> replacements;
        for (int i = 0; i < runnerCount; ++i) {
            const limited_runner &runner = runners.emplace_back(store, "i-" + std::to_string(i));
            const cuttable_link &link = links.emplace_back(runner.address());
            replacements[textOf(runner.address())] = textOf(link.address());
        }
        view = std::make_unique<store_view>(store, replacements);
        fleet = std::make_unique<gateway_fleet>(store, instanceCount, firstPort,
                                                std::vector<std::string>{"a", "b"},
                                                std::vector<endpoint>{view->address()});
        fleet->waitUntilAllServe("x");
        fleet->waitUntilAllKnowEachOther();
    }

    void cut(cut_kind kind)
    {
        for (cuttable_link &each : links)
            each.cut(kind);
    }

    void heal()
    {
        for (cuttable_link &each : links)
            each.heal();
    }

    /// Sends requests to the first instance, one at a time.
    /// @returns How many were served.
    int servedOf(int count)
    {
        int served = 0;
        for (int i = 0; i < count; ++i)
            served += fleet->sendRequest(0, "x") == 200 ? 1 : 0;
        return served;
    }

private:
    fake_store store;
    std::list<limited_runner> runners;
    std::list<cuttable_link> links;
    std::unique_ptr<store_view> view;
    std::unique_ptr<gateway_fleet> fleet;
};

void assertServesWhileCut(const std::string &kind, std::uint16_t firstPort, cut_kind how)
{
    cut_fleet fleet(kind, firstPort);
    fleet.cut(how);
    const auto settled = std::chrono::steady_clock::now() + settleTime;
    while (std::chrono::steady_clock::now() < settled) {
        fleet.servedOf(1);
        std::this_thread::sleep_for(50ms);
    }
    const int served = fleet.servedOf(requestCount);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(served) + " of " + std::to_string(requestCount)
                                   + " served, at least " + std::to_string(minServed) + " expected",
                           served >= minServed);
    fleet.heal();
    std::this_thread::sleep_for(1s);
    CPPUNIT_ASSERT(fleet.servedOf(requestCount) >= minServed);
}

} // namespace

class cut_off_instances_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cut_off_instances_test);
    CPPUNIT_TEST(instanceServesWhileItsLinksToAllRunnersAreReset);
    CPPUNIT_TEST(instanceServesWhileItsLinksToAllRunnersRefuse);
    CPPUNIT_TEST(instanceServesWhileItsLinksToAllRunnersAreSilent);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against refusals by an instance that reaches no runner while all others do.
    void instanceServesWhileItsLinksToAllRunnersAreReset()
    {
        assertServesWhileCut("idempotent", 27000, cut_kind::Reset);
    }

    void instanceServesWhileItsLinksToAllRunnersRefuse()
    {
        assertServesWhileCut("non_idempotent", 27100, cut_kind::Refused);
    }

    void instanceServesWhileItsLinksToAllRunnersAreSilent()
    {
        assertServesWhileCut("idempotent", 27200, cut_kind::Silent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cut_off_instances_test);

} // namespace poplarspool::adapter
