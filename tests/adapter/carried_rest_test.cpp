#include "adapter/cuttable_link.h"
#include "adapter/gateway_fleet.h"
#include "adapter/steady_load.h"
#include "adapter/store_view.h"
#include "adapter/withdrawing_runner.h"

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
using test::store_view;
using test::waitUntil;
using test::withdrawing_runner;

constexpr auto settleTime = 500ms;
constexpr auto rest = 3s;
/// Time in which an instance notices that its links are cut.
constexpr auto cutTime = 1s;

/// Two instances and two runners; the links of the first instance to the runners are cut, so that
/// the second one carries its connections.
struct carried_fleet
{
    explicit carried_fleet(std::uint16_t firstPort)
    {
        store.put(wire::configKind, wire::configName, test::routesSpec("idempotent", false));
        std::map<std::string, std::string> replacements;
        for (int i = 0; i < 2; ++i) {
            const auto &runner = runners.emplace_back(store, "i-" + std::to_string(i));
            const auto &link = links.emplace_back(runner.address());
            replacements[textOf(runner.address())] = textOf(link.address());
        }
        view = std::make_unique<store_view>(store, replacements);
        instances =
                std::make_unique<gateway_fleet>(store, 2, firstPort, std::vector<std::string>{"a"},
                                                std::vector<endpoint>{view->address()}, 1000);
        instances->waitUntilAllServe("x");
        instances->waitUntilAllKnowEachOther();
        for (cuttable_link &each : links)
            each.cut(cut_kind::Reset);
        const auto end = std::chrono::steady_clock::now() + cutTime;
        while (std::chrono::steady_clock::now() < end)
            instances->sendRequest(0, "x");
        CPPUNIT_ASSERT_EQUAL(200, instances->sendRequest(0, "x"));
    }

    /// All runners ask for rest; the instance has that answer of each.
    void restAt(std::size_t instance)
    {
        for (withdrawing_runner &each : runners)
            each.refuse("3");
        CPPUNIT_ASSERT(waitUntil([&] {
            instances->sendRequest(instance, "x");
            return std::ranges::all_of(runners, [](const withdrawing_runner &each) {
                return each.arrivalsBetween(0ms, rest) > 0;
            });
        }));
        for (withdrawing_runner &each : runners)
            each.mark();
        std::this_thread::sleep_for(settleTime);
    }

    /// Sends requests to the instance until the rest is nearly over.
    void assertNothingArrivesFrom(std::size_t instance)
    {
        const auto end = std::chrono::steady_clock::now() + rest - 2 * settleTime;
        while (std::chrono::steady_clock::now() < end) {
            CPPUNIT_ASSERT_EQUAL(503, instances->sendRequest(instance, "x"));
            std::this_thread::sleep_for(20ms);
        }
        for (const withdrawing_runner &each : runners)
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, each.arrivalsBetween(settleTime, rest));
    }

    fake_store store;
    std::list<withdrawing_runner> runners;
    std::list<cuttable_link> links;
    std::unique_ptr<store_view> view;
    std::unique_ptr<gateway_fleet> instances;
};

} // namespace

class carried_rest_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(carried_rest_test);
    CPPUNIT_TEST(restAskedThroughACarrierBindsTheCarrier);
    CPPUNIT_TEST(restAskedOfACarrierBindsThoseItCarries);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests of the machine that a runner has asked for rest, where the answer
    /// went on to another instance.
    void restAskedThroughACarrierBindsTheCarrier()
    {
        carried_fleet fleet(22600);
        fleet.restAt(0);
        fleet.assertNothingArrivesFrom(1);
    }

    void restAskedOfACarrierBindsThoseItCarries()
    {
        carried_fleet fleet(22700);
        fleet.restAt(1);
        fleet.assertNothingArrivesFrom(0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(carried_rest_test);

} // namespace poplarspool::adapter
