#include "gateway/fleet_scaler.h"

#include "poplarspool/scaling/limits.h"

#include <climits>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

/// A scalable service with four regular runners in each of two zones, a lease store, and a platform
/// that records orders. Tests add the ordered runners with put().
struct fixture
{
    fixture()
    {
        auto table = std::make_shared<route_table>();
        service scaled;
        scaled.id.text = "s";
        scaled.scaling = scaling::fleet_traits{1, 10, 4s, 0.22};
        table->services = {scaled, {{"plain"}, {}, {}}};
        publisher.update([&](catalogue &next) {
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
        publisher.update([&](catalogue &next) {
            runner_set runners;
            next.runners->forEach([&](const runner_entry &entry) {
                if (entry->zone.text != zone || entry->isSpot != isSpot)
                    runners.put(entry);
            });
            for (int i = 0; i < count; ++i) {
                runner made;
                made.id.text = kind + zone + std::to_string(i);
                made.service.text = "s";
                made.zone.text = zone;
                made.isSpot = isSpot;
                runners.put(std::make_shared<const runner>(made));
            }
            next.runners = std::make_shared<const runner_set>(std::move(runners));
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

    std::unique_ptr<fleet_scaler> scalerOf(const std::string &name)
    {
        const fleet_sink sink{[this](const scaling::issued_order &order,
                                     const duties::lease_term &) -> result<unit> {
            if (hasNoSpot && order.order.isSpot)
                return mayHaveRun(error_code::Conflict, "none available");
            orders.push_back(order.order);
            return unit{};
        }};
        return std::make_unique<fleet_scaler>(fleet_scaler_dependencies{publisher, sink, clock,
                                                                        events, metrics,
                                                                        [this] { return isOwner; }},
                                              store(), instance_id{name}, 3s);
    }

    /// The store confirms the list of runners before each iteration, unless it is silent.
    void runIterations(fleet_scaler &scaler, int iterations = 3)
    {
        for (int i = 0; i < iterations; ++i) {
            publisher.update([&](catalogue &next) {
                if (!isStoreSilent)
                    next.runnersConfirmedAt = now;
                return true;
            });
            scaler.runOnce();
            now += config::fleetInterval;
        }
    }

    int countOf(const std::string &zone, bool isSpot) const
    {
        int count = 0;
        publisher.current()->runners->forEach([&](const runner_entry &entry) {
            count += entry->zone.text == zone && entry->isSpot == isSpot ? 1 : 0;
        });
        return count;
    }

    /// Runs iterations on a platform that carries out each order at once.
    /// @returns The minimum number of runners of one zone after any of them.
    int runWithPlatform(fleet_scaler &scaler, int iterations)
    {
        int least = INT_MAX;
        for (int i = 0; i < iterations; ++i) {
            runIterations(scaler, 1);
            for (const scaling::fleet_order &one : takeOrders())
                put(one.zone.text, one.isSpot, static_cast<int>(one.wanted));
            for (const char *zone : {"a", "b"})
                least = std::min(least, countOf(zone, false) + countOf(zone, true));
        }
        return least;
    }

    std::vector<scaling::fleet_order> takeOrders() { return std::exchange(orders, {}); }

    mono_time now{std::chrono::hours(1)};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    journal events{{"test"}, systemClock(), 64};
    metrics_registry metrics;
    catalogue_publisher publisher{catalogue{}};
    duties::lease_record record;
    std::vector<scaling::fleet_order> orders;
    bool isOwner = true;
    bool hasNoSpot = false;
    bool isStoreSilent = false;
};

using orders = std::vector<scaling::fleet_order>;

} // namespace

class fleet_scaler_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_scaler_test);
    CPPUNIT_TEST(spotRunnersReplaceRegularRunners);
    CPPUNIT_TEST(startingFleetIsOrderedAsItGrows);
    CPPUNIT_TEST(newLeaseHolderDoesNotRepeatOrders);
    CPPUNIT_TEST(reclaimedRunnersAreReorderedAtOnce);
    CPPUNIT_TEST(unfilledOrderIsRepeatedAfterTimeout);
    CPPUNIT_TEST(onlyTheOwnerPlacesOrders);
    CPPUNIT_TEST(takenOverStartKeepsTheWholeFleet);
    CPPUNIT_TEST(takenOverStartKeepsRunnersThatRegisterLate);
    CPPUNIT_TEST(silentStoreDoesNotSettleTheSizes);
    CPPUNIT_TEST(lostCheckpointKeepsTheFleet);
    CPPUNIT_TEST(zoneThatIsAddedLaterIsSeenWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    void spotRunnersReplaceRegularRunners()
    {
        fixture test;
        const auto scaler = test.scalerOf("me");
        test.runIterations(*scaler);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 6}, {{"b"}, true, 6}}));
        test.put("a", true, 6);
        test.runIterations(*scaler);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, false, 1}}));
        test.put("a", false, 1);
        test.put("b", true, 6);
        test.runIterations(*scaler);
        // Zone "a" can now get the runners that compensate for the loss of the other zone.
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 7}, {{"b"}, false, 1}}));
        test.put("a", true, 7);
        test.put("b", false, 1);
        test.runIterations(*scaler);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"b"}, true, 7}}));
        test.put("b", true, 7);
        test.runIterations(*scaler, 60);
        CPPUNIT_ASSERT(test.takeOrders().empty());
    }

    /// If orders waited until the fleet is complete, the last runners to register would delay all
    /// orders.
    void startingFleetIsOrderedAsItGrows()
    {
        fixture test;
        const auto scaler = test.scalerOf("me");
        test.put("b", false, 0);
        test.put("a", false, 2);
        test.runIterations(*scaler, 1);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 1}}));
        test.put("a", false, 4);
        test.put("b", false, 4);
        test.runIterations(*scaler, 2);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 6}, {{"b"}, true, 6}}));
    }

    /// Guards against a fleet that shrinks with each new lease holder: the remaining regular
    /// runners are not the target size.
    void newLeaseHolderDoesNotRepeatOrders()
    {
        fixture test;
        replaceRegularBySpot(test, *test.scalerOf("me"));
        const auto next = test.scalerOf("other");
        test.runIterations(*next, 30);
        CPPUNIT_ASSERT(test.takeOrders().empty());
        test.put("a", true, 2);
        test.runIterations(*next);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 7}}));
    }

    void reclaimedRunnersAreReorderedAtOnce()
    {
        fixture test;
        const auto scaler = test.scalerOf("me");
        replaceRegularBySpot(test, *scaler);
        test.hasNoSpot = true;
        test.put("a", true, 0);
        test.put("b", true, 3);
        test.runIterations(*scaler, 6);
        // More than a zone is lost and no spot capacity is available: regular runners are ordered.
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, false, 4}}));
        test.put("a", false, 4);
        test.hasNoSpot = false;
        test.runIterations(*scaler, 4);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 6}, {{"b"}, true, 7}}));
    }

    /// Guards against an order that was accepted, but whose runners never appeared.
    void unfilledOrderIsRepeatedAfterTimeout()
    {
        fixture test;
        const auto scaler = test.scalerOf("me");
        test.runIterations(*scaler);
        test.takeOrders();
        test.runIterations(*scaler, 4);
        CPPUNIT_ASSERT(test.takeOrders().empty());
        test.runIterations(*scaler, 4);
        CPPUNIT_ASSERT((test.takeOrders() == orders{{{"a"}, true, 6}, {{"b"}, true, 6}}));
    }

    void onlyTheOwnerPlacesOrders()
    {
        fixture test;
        test.isOwner = false;
        const auto scaler = test.scalerOf("me");
        test.runIterations(*scaler, 10);
        CPPUNIT_ASSERT(test.takeOrders().empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, test.record.version.revision);
    }

    /// Guards against a fleet that is cut down to the runners that had registered when its first
    /// holder placed the first orders.
    void takenOverStartKeepsTheWholeFleet()
    {
        fixture test;
        test.put("a", false, 1);
        test.put("b", false, 1);
        test.runWithPlatform(*test.scalerOf("first"), 1);
        test.put("a", false, 4);
        test.put("b", false, 4);
        const int least = test.runWithPlatform(*test.scalerOf("second"), 30);
        CPPUNIT_ASSERT(least >= 4);
        for (const char *zone : {"a", "b"}) {
            CPPUNIT_ASSERT_EQUAL(7, test.countOf(zone, true));
            CPPUNIT_ASSERT_EQUAL(1, test.countOf(zone, false));
        }
    }

    /// The same if the second holder reads the record before the last runners register.
    void takenOverStartKeepsRunnersThatRegisterLate()
    {
        fixture test;
        test.put("a", false, 1);
        test.put("b", false, 1);
        test.runWithPlatform(*test.scalerOf("first"), 1);
        const auto second = test.scalerOf("second");
        for (int registered = 1; registered <= 4; ++registered) {
            test.put("a", false, registered);
            test.put("b", false, registered);
            test.runWithPlatform(*second, 1);
        }
        CPPUNIT_ASSERT(test.runWithPlatform(*second, 30) >= 4);
        CPPUNIT_ASSERT_EQUAL(7, test.countOf("a", true));
    }

    /// Guards against a fleet that is cut down to the runners that had registered before the store
    /// fell silent: a list that nobody confirms doesn't grow, whoever registers.
    void silentStoreDoesNotSettleTheSizes()
    {
        fixture test;
        test.put("a", false, 2);
        test.put("b", false, 2);
        const auto scaler = test.scalerOf("me");
        test.runWithPlatform(*scaler, 1);
        test.isStoreSilent = true;
        test.runWithPlatform(*scaler, 5);
        test.isStoreSilent = false;
        test.put("a", false, 4);
        test.put("b", false, 4);
        CPPUNIT_ASSERT(test.runWithPlatform(*scaler, 30) >= 4);
        CPPUNIT_ASSERT_EQUAL(7, test.countOf("a", true));
        CPPUNIT_ASSERT_EQUAL(7, test.countOf("b", true));
    }

    /// Guards against a fleet that is cut down to its last regular runners when the record of its
    /// orders is gone.
    void lostCheckpointKeepsTheFleet()
    {
        fixture test;
        replaceRegularBySpot(test, *test.scalerOf("first"));
        test.record = {};
        test.record.version.epoch = 1;
        const auto second = test.scalerOf("second");
        CPPUNIT_ASSERT_EQUAL(8, test.runWithPlatform(*second, 30));
        test.put("a", true, 0);
        test.runWithPlatform(*second, 10);
        CPPUNIT_ASSERT_EQUAL(7, test.countOf("a", true));
    }

    /// Guards against a zone that is cut down to the runners that registered there first.
    void zoneThatIsAddedLaterIsSeenWhole()
    {
        fixture test;
        const auto scaler = test.scalerOf("me");
        replaceRegularBySpot(test, *scaler);
        test.runWithPlatform(*scaler, 5);
        test.put("c", false, 1);
        test.runWithPlatform(*scaler, 1);
        test.put("c", false, 4);
        test.runWithPlatform(*scaler, 30);
        // Four, and a half of that for the loss of one of three zones.
        CPPUNIT_ASSERT_EQUAL(6, test.countOf("c", false) + test.countOf("c", true));
    }

private:
    static void replaceRegularBySpot(fixture &test, fleet_scaler &scaler)
    {
        test.runIterations(scaler);
        for (const char *zone : {"a", "b"})
            test.put(zone, true, 6);
        test.runIterations(scaler);
        for (const char *zone : {"a", "b"})
            test.put(zone, false, 1);
        test.runIterations(scaler);
        for (const char *zone : {"a", "b"})
            test.put(zone, true, 7);
        test.runIterations(scaler);
        test.takeOrders();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_scaler_test);

} // namespace poplarspool::gateway
