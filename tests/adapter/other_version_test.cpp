#include "adapter/pair_of_instances.h"
#include "poplarspool/peer/store_relay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::configSpec;
using test::following_instance;
using test::runnerSpec;
using test::settingsFor;
using test::small_store;
using test::waitUntil;

/// Number of a kind under which no instance of this version tells anything.
constexpr std::uint32_t otherFormOfRoutes = 0;
constexpr std::uint32_t runners = 1;

bool hasRoutes(const following_instance &one, std::uint64_t version)
{
    const auto table = one.hub.current()->table;
    return table && table->version == version;
}

/// Routes of version 99 and a runner i-9, as the store never had them.
peer::store_news newsFor(const following_instance &one)
{
    const auto before = one.hub.current()->table;
    gateway::route_table after = *before;
    after.version = 99;
    gateway::runner entry;
    entry.id.text = "i-9";
    entry.service.text = "s";
    entry.address = {"10.0.0.9", 80};
    const store_version later{0, 1'000};
    return {{{otherFormOfRoutes, true, 0, later, 0, {valueOf(gateway::encode(after, *before))}},
             {runners, true, 0, later, 0, {valueOf(gateway::encode({entry.id, entry}))}}}};
}

} // namespace

class other_version_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(other_version_test);
    CPPUNIT_TEST(routesInAnotherFormArePassedOver);
    CPPUNIT_TEST_SUITE_END();

public:
    /// During a roll two versions tell each other: one must not take the other's routes for what
    /// they aren't, nor rely on them.
    void routesInAnotherFormArePassedOver()
    {
        small_store store;
        store.put(wire::configKind, wire::configName, configSpec(4, 3));
        store.put(wire::runnerKind, "i-1", runnerSpec("in_service"));
        std::unique_ptr<following_instance> one;
        std::uint16_t port = 23'400;
        do {
            port += 4; // A busy one is passed over.
            one = std::make_unique<following_instance>(settingsFor(store, "edge-1", port));
        } while (!succeeded(one->follower.start()) && port < 24'000);
        CPPUNIT_ASSERT(waitUntil([&] { return hasRoutes(*one, 4) && one->find("i-1"); }));

        metrics_registry metrics;
        journal events({"other"}, systemClock(), 16);
        const gateway::gateway_settings other = settingsFor(store, "edge-2", port + 2);
        peer::store_relay teller(
                {other.instance, gateway::lifeOf(systemClock()), gateway::newsAddressOf(other),
                 gateway::peerKeyOf(other)},
                [news = newsFor(*one)] {
                    return peer::relay_turn{news, 50ms};
                },
                [](std::uint64_t, const peer::store_news &) {}, metrics, events);
        CPPUNIT_ASSERT(succeeded(teller.start()));
        teller.setPeers({gateway::newsAddressOf(one->choices)});
        CPPUNIT_ASSERT(waitUntil([&] { return one->find("i-9") != nullptr; }));
        CPPUNIT_ASSERT(hasRoutes(*one, 4));
        store.put(wire::configKind, wire::configName, configSpec(6, 3));
        CPPUNIT_ASSERT(waitUntil([&] { return hasRoutes(*one, 6); }));
        teller.stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(other_version_test);

} // namespace poplarspool::adapter
