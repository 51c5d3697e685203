#include "adapter/follower_pair.h"
#include "platform/packed_changes.h"
#include "platform/relay_updates.h"
#include "poplarspool/peer/store_update_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::configSpec;
using test::fake_store;
using test::follower_fixture;
using test::runnerSpec;
using test::settingsFor;
using test::waitUntil;

/// Numbers of kinds for which no instance of this version sends updates.
constexpr std::uint32_t otherRoutesFormat = 2;
constexpr std::uint32_t otherRunnersFormat = 3;
constexpr auto runners = static_cast<std::uint32_t>(relayed_kind::Runners);

bool hasRoutes(const follower_fixture &one, std::uint64_t version)
{
    const auto table = one.publisher.current()->table;
    return table && table->version == version;
}

/// Routes of version 99 and runners i-8 and i-9, which the store never had.
peer::store_update updateFor(const follower_fixture &one)
{
    const auto before = one.publisher.current()->table;
    gateway::route_table after = *before;
    after.version = 99;
    gateway::runner entry;
    entry.id.text = "i-9";
    entry.service.text = "s";
    entry.address = {"10.0.0.9", 80};
    const store_version later{0, 1'000};
    return {{{otherRoutesFormat, true, 0, later, 0, {valueOf(gateway::encode(after, *before))}},
             {otherRunnersFormat, true, 0, later, 0, {valueOf(gateway::encode({{"i-8"}, entry}))}},
             {runners, true, 0, later, 0,
              valueOf(packChanges({valueOf(gateway::encode({entry.id, entry}))}))}}};
}

} // namespace

class mixed_versions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(mixed_versions_test);
    CPPUNIT_TEST(changesInAnotherFormatAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    /// During a rolling upgrade, instances of two versions send each other updates. One must
    /// neither misread the other's routes and runners, which are in another format, nor rely on
    /// them.
    void changesInAnotherFormatAreIgnored()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, configSpec(4, 3));
        store.put(wire::runnerKind, "i-1", runnerSpec("in_service"));
        std::unique_ptr<follower_fixture> one;
        std::uint16_t port = 23'400;
        do {
            port += 4; // Skips a busy port.
            one = std::make_unique<follower_fixture>(settingsFor(store, "edge-1", port));
        } while (!succeeded(one->follower.start()) && port < 24'000);
        CPPUNIT_ASSERT(waitUntil([&] { return hasRoutes(*one, 4) && one->find("i-1"); }));

        metrics_registry metrics;
        journal events({"other"}, systemClock(), 16);
        const gateway::gateway_settings other = settingsFor(store, "edge-2", port + 2);
        peer::store_update_exchange exchange(
                {other.instance, gateway::incarnationOf(systemClock()),
                 gateway::updateAddressOf(other), gateway::peerKeyOf(other)},
                [update = updateFor(*one)] {
                    return peer::relay_iteration{{update}, 50ms};
                },
                [](std::uint64_t, const peer::store_update &) {}, metrics, events);
        CPPUNIT_ASSERT(succeeded(exchange.start()));
        exchange.setPeers({gateway::updateAddressOf(one->ownSettings)});
        CPPUNIT_ASSERT(waitUntil([&] { return one->find("i-9") != nullptr; }));
        CPPUNIT_ASSERT(hasRoutes(*one, 4) && !one->find("i-8"));
        store.put(wire::configKind, wire::configName, configSpec(6, 3));
        CPPUNIT_ASSERT(waitUntil([&] { return hasRoutes(*one, 6); }));
        exchange.stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(mixed_versions_test);

} // namespace poplarspool::adapter
