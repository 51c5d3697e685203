#include "adapter/fake_store.h"
#include "platform/adapter.h"
#include "platform/names.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <set>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;
using test::fake_store;
using operation = fake_store::call::operation;

/// Environment variable that overrides the number of instances in one run.
constexpr char instancesVariable[] = "POPLARSPOOL_HERD_INSTANCES";
constexpr int defaultInstances = 4;
constexpr std::uint32_t storeConnections = 4096;
constexpr milliseconds startTimeout = 60s;
/// For instances to discover each other after all have registered.
constexpr milliseconds discoveryTime = 3s;
constexpr milliseconds outageTime = 1s;
constexpr milliseconds observationTime = 6s; ///< After the store's return.
/// Max time from the store's return until all instances are registered again.
constexpr milliseconds maxRegistrationTime = 2s;
constexpr milliseconds bucketTime = 100ms;

int instanceCount()
{
    const char *text = std::getenv(instancesVariable); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? defaultInstances : std::atoi(text); // NOLINT(cert-err34-c)
}

std::string nameOf(int instance)
{
    return "edge-" + std::to_string(instance);
}

/// Each instance has its own loopback address, so that ports do not conflict.
gateway::gateway_settings settingsOf(int instance, const fake_store &store)
{
    const std::string host = "127.77." + std::to_string(1 + instance / 250) + "."
            + std::to_string(1 + instance % 250);
    gateway::gateway_settings settings;
    settings.instance.text = nameOf(instance);
    settings.zone.text = std::string(1, static_cast<char>('a' + instance % 6));
    std::uint16_t port = 21000;
    // The port after the peer port is used for store updates.
    for (endpoint *each :
         {&settings.callerAddress, &settings.readinessAddress, &settings.directoryAddress,
          &settings.loadAddress, &settings.metricsAddress, &settings.peerAddress})
        *each = {host, port++};
    settings.sharesStoreUpdates = true;
    settings.storeAddress = store.address();
    settings.leaveSeconds = 1;
    return settings;
}

std::string nameOf(const fake_store::call &one)
{
    const std::map<operation, std::string> names{{operation::List, "lists"},
                                                 {operation::Watch, "watches"},
                                                 {operation::Get, "gets"},
                                                 {operation::Write, "writes"}};
    // Counted separately: a list of instances costs a tenth of another list.
    const bool isInstanceList = one.type == operation::List && one.kind == wire::instanceKind;
    return isInstanceList ? "looks" : names.at(one.type);
}

/// Calls of the instances to the store.
struct call_statistics
{
    std::map<std::string, std::size_t> counts; ///< Since the store's return, by type.
    std::map<std::string, std::map<std::int64_t, std::size_t>> byBucket;
    std::map<std::string, std::size_t> writes; ///< By instance.
    std::size_t refused = 0; ///< During the outage.

    std::size_t maxWrites() const { return maxCount(writes); }

    template <class Key>
    static std::size_t maxCount(const std::map<Key, std::size_t> &counted)
    {
        std::size_t highest = 0;
        for (const auto &[key, count] : counted)
            highest = std::max(highest, count);
        return highest;
    }
};

call_statistics statisticsOf(const std::vector<fake_store::call> &calls,
                             steady_clock::time_point restoredAt)
{
    call_statistics statistics;
    for (const fake_store::call &one : calls) {
        if (one.isConnectionRefused) {
            ++statistics.refused;
        } else if (one.receivedAt >= restoredAt) {
            ++statistics.counts[nameOf(one)];
            ++statistics.byBucket[nameOf(one)][(one.receivedAt - restoredAt) / bucketTime];
        }
        if (one.type == operation::Write && !one.isConnectionRefused)
            ++statistics.writes[one.objectName];
    }
    return statistics;
}

void print(const call_statistics &statistics, int instances, milliseconds registrationTime)
{
    std::cout << "herd instances=" << instances << " entries_back_ms=" << registrationTime.count()
              << " refused_while_away=" << statistics.refused
              << " most_writes_of_one=" << statistics.maxWrites();
    for (const auto &[name, count] : statistics.counts)
        std::cout << " " << name << "=" << count << " most_" << name
                  << "_in_100_ms=" << call_statistics::maxCount(statistics.byBucket.at(name));
    std::cout << std::endl;
}

} // namespace

class store_rollback_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_rollback_load_test);
    CPPUNIT_TEST(allInstancesRegisterAgainInTimeWithOneWriteEach);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The store is down for 1 s and is restored from a snapshot without any instance's object.
    /// Instances that stay missing are unknown to newly started ones and get no callers. If all
    /// write at once, or more than once, they exceed the capacity of the store.
    void allInstancesRegisterAgainInTimeWithOneWriteEach()
    {
        const int count = instanceCount();
        fake_store store(storeConnections);
        store.put(wire::configKind, wire::configName, test::configSpec(4));
        store.put(wire::runnerKind, "i-1", test::runnerSpec("in_service", 4));
        const auto snapshot = store.takeSnapshot();
        std::vector<std::unique_ptr<platform_gateway>> instances;
        for (int i = 0; i < count; ++i) {
            instances.push_back(std::make_unique<platform_gateway>(settingsOf(i, store)));
            CPPUNIT_ASSERT(succeeded(instances.back()->start()));
        }
        const bool haveRegistered = waitUntilRegistered(store, count, startTimeout) < startTimeout;
        std::this_thread::sleep_for(discoveryTime);
        store.takeCalls();
        store.startOutage();
        std::this_thread::sleep_for(outageTime);
        const auto restoredAt = steady_clock::now();
        store.endOutageWith(snapshot);
        const milliseconds registrationTime = waitUntilRegistered(store, count, observationTime);
        std::this_thread::sleep_until(restoredAt + observationTime);
        const call_statistics statistics = statisticsOf(store.takeCalls(), restoredAt);
        for (auto &each : instances)
            each->leave();
        print(statistics, count, registrationTime);
        CPPUNIT_ASSERT(haveRegistered);
        CPPUNIT_ASSERT_LESS(maxRegistrationTime.count(), registrationTime.count());
        CPPUNIT_ASSERT_EQUAL(std::size_t(count), statistics.writes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, statistics.maxWrites());
    }

private:
    /// @returns The time until all instances were registered, or the time-out.
    static milliseconds waitUntilRegistered(fake_store &store, int count, milliseconds timeout)
    {
        const auto from = steady_clock::now();
        int next = 0;
        while (steady_clock::now() - from < timeout) {
            while (next < count && store.has(wire::instanceKind, nameOf(next)))
                ++next;
            if (next == count)
                return std::chrono::ceil<milliseconds>(steady_clock::now() - from);
            std::this_thread::sleep_for(5ms);
        }
        return timeout;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_rollback_load_test);

} // namespace poplarspool::adapter
