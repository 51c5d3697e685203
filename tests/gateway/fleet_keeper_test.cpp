#include "gateway/fleet_keeper.h"

#include "poplarspool/scaling/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

/// A service of four runners in each of two zones, a store, and a platform that carries orders out
/// when it is told to.
struct world
{
    world()
    {
        auto table = std::make_shared<route_table>();
        service scaled;
        scaled.id.text = "s";
        scaled.scaling = scaling::fleet_traits{1, 10, 4s, 0.22};
        table->services = {scaled, {{"plain"}, {}, {}}};
        hub.update([&](catalogue &next) {
            next.table = table;
            next.areRunnersKnown = true;
            return true;
        });
        for (const char *zone : {"a", "b"})
            put(zone, false, 4);
    }

    void put(const std::string &zone, bool isSpot, int count)
    {
        const std::string kind = isSpot ? "spot-" : "regular-";
        hub.update([&](catalogue &next) {
            std::erase_if(next.runners, [&](const auto &entry) {
                return entry.second->zone.text == zone && entry.second->isSpot == isSpot;
            });
            for (int i = 0; i < count; ++i) {
                runner made;
                made.id.text = kind + zone + std::to_string(i);
                made.service.text = "s";
                made.zone.text = zone;
                made.isSpot = isSpot;
                next.runners[made.id] = std::make_shared<const runner>(made);
            }
            return true;
        });
    }

    duties::lease_store store()
    {
        duties::lease_store made;
        made.read = [this]() -> result<duties::lease_record> { return record; };
        made.write = [this](const duties::lease_record &next) -> result<unit> {
            record = next;
            ++record.version.revision;
            return unit{};
        };
        return made;
    }

    std::unique_ptr<fleet_keeper> keeperOf(const std::string &name)
    {
        const fleet_sink sink{[this](const scaling::given_order &order,
                                     const duties::lease_term &) -> result<unit> {
            if (isDry && order.order.isSpot)
                return mayHaveRun(error_code::Conflict, "none there");
            orders.push_back(order.order);
            return unit{};
        }};
        return std::make_unique<fleet_keeper>(
                fleet_tools{hub, sink, clock, events, metrics, [this] { return isOwner; }}, store(),
                instance_id{name}, 3s);
    }

    void lookOn(fleet_keeper &keeper, int looks = 3)
    {
        for (int i = 0; i < looks; ++i) {
            keeper.look();
            now += config::fleetLookTime;
        }
    }

    std::vector<scaling::fleet_order> takeOrders() { return std::exchange(orders, {}); }

    mono_time now{std::chrono::hours(1)};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    journal events{{"test"}, systemClock(), 64};
    metrics_registry metrics;
    catalogue_hub hub{catalogue{}};
    duties::lease_record record;
    std::vector<scaling::fleet_order> orders;
    bool isOwner = true;
    bool isDry = false;
};

using orders = std::vector<scaling::fleet_order>;

} // namespace

class fleet_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_keeper_test);
    CPPUNIT_TEST(spotRunnersTakeTheFleetOver);
    CPPUNIT_TEST(aFleetThatStillStartsIsOrderedAsItGrows);
    CPPUNIT_TEST(aSuccessorOrdersNothingAnew);
    CPPUNIT_TEST(whatIsTakenAwayIsOrderedAtOnce);
    CPPUNIT_TEST(whatNeverCameIsOrderedAgain);
    CPPUNIT_TEST(whoIsNotTheOwnerOrdersNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void spotRunnersTakeTheFleetOver()
    {
        world test;
        const auto keeper = test.keeperOf("me");
        test.lookOn(*keeper);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 6}, {{"b"}, true, 6}}));
        test.put("a", true, 6);
        test.lookOn(*keeper);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, false, 1}}));
        test.put("a", false, 1);
        test.put("b", true, 6);
        test.lookOn(*keeper);
        // There is room for those now that make up for the loss of a zone.
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 7}, {{"b"}, false, 1}}));
        test.put("a", true, 7);
        test.put("b", false, 1);
        test.lookOn(*keeper);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"b"}, true, 7}}));
        test.put("b", true, 7);
        test.lookOn(*keeper, 60);
        CPPUNIT_ASSERT(test.takeOrders().empty());
    }

    /// Waited for as a whole, the last runners to enter themselves would delay all others.
    void aFleetThatStillStartsIsOrderedAsItGrows()
    {
        world test;
        const auto keeper = test.keeperOf("me");
        test.put("b", false, 0);
        test.put("a", false, 2);
        test.lookOn(*keeper, 1);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 1}}));
        test.put("a", false, 4);
        test.put("b", false, 4);
        test.lookOn(*keeper, 2);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 6}, {{"b"}, true, 6}}));
    }

    /// Guards against a fleet that shrinks with each holder: what is left of the regular runners
    /// is not what is wanted.
    void aSuccessorOrdersNothingAnew()
    {
        world test;
        spotRunnersHaveTaken(test, *test.keeperOf("me"));
        const auto next = test.keeperOf("other");
        test.lookOn(*next, 30);
        CPPUNIT_ASSERT(test.takeOrders().empty());
        test.put("a", true, 2);
        test.lookOn(*next);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 7}}));
    }

    void whatIsTakenAwayIsOrderedAtOnce()
    {
        world test;
        const auto keeper = test.keeperOf("me");
        spotRunnersHaveTaken(test, *keeper);
        test.isDry = true;
        test.put("a", true, 0);
        test.put("b", true, 3);
        test.lookOn(*keeper, 6);
        // With more than a zone gone and none to be had, regular ones come back.
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, false, 4}}));
        test.put("a", false, 4);
        test.isDry = false;
        test.lookOn(*keeper, 4);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 6}, {{"b"}, true, 7}}));
    }

    /// Guards against an order whose answer was right and whose runners were lost.
    void whatNeverCameIsOrderedAgain()
    {
        world test;
        const auto keeper = test.keeperOf("me");
        test.lookOn(*keeper);
        test.takeOrders();
        test.lookOn(*keeper, 4);
        CPPUNIT_ASSERT(test.takeOrders().empty());
        test.lookOn(*keeper, 4);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 6}, {{"b"}, true, 6}}));
    }

    void whoIsNotTheOwnerOrdersNothing()
    {
        world test;
        test.isOwner = false;
        const auto keeper = test.keeperOf("me");
        test.lookOn(*keeper, 10);
        CPPUNIT_ASSERT(test.takeOrders().empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, test.record.version.revision);
    }

private:
    static void spotRunnersHaveTaken(world &test, fleet_keeper &keeper)
    {
        test.lookOn(keeper);
        for (const char *zone : {"a", "b"})
            test.put(zone, true, 6);
        test.lookOn(keeper);
        for (const char *zone : {"a", "b"})
            test.put(zone, false, 1);
        test.lookOn(keeper);
        for (const char *zone : {"a", "b"})
            test.put(zone, true, 7);
        test.lookOn(keeper);
        test.takeOrders();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_keeper_test);

} // namespace poplarspool::gateway
