#include "adapter/small_store.h"
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
using test::small_store;
using form = small_store::call::form;

/// Instances in one run; another number by POPLARSPOOL_HERD_INSTANCES, which prints the figures.
constexpr char instancesVariable[] = "POPLARSPOOL_HERD_INSTANCES";
constexpr int usualInstances = 4;
constexpr std::uint32_t storeConnections = 4096;
constexpr milliseconds startTime = 60s;
constexpr milliseconds quietTime = 3s; ///< Once all are entered, until they have found each other.
constexpr milliseconds awayTime = 1s;
constexpr milliseconds observedTime = 6s; ///< After the return.
/// After the store's return, within which all instances' objects are there again.
constexpr milliseconds entriesBackTime = 2s;
constexpr milliseconds slotTime = 100ms;

int instanceCount()
{
    const char *text = std::getenv(instancesVariable); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? usualInstances : std::atoi(text); // NOLINT(cert-err34-c)
}

std::string nameOf(int instance)
{
    return "edge-" + std::to_string(instance);
}

/// Each instance has a loopback address of its own, so that no port is taken twice.
gateway::gateway_settings settingsOf(int instance, const small_store &store)
{
    const std::string host = "127.77." + std::to_string(1 + instance / 250) + "."
            + std::to_string(1 + instance % 250);
    gateway::gateway_settings made;
    made.instance.text = nameOf(instance);
    made.zone.text = std::string(1, static_cast<char>('a' + instance % 6));
    std::uint16_t port = 21000;
    // The port after the peers' one is for news of the store.
    for (endpoint *each : {&made.callerAddress, &made.readinessAddress, &made.directoryAddress,
                           &made.loadAddress, &made.metricsAddress, &made.peerAddress})
        *each = {host, port++};
    made.sharesStoreNews = true;
    made.storeAddress = store.at();
    made.leaveSeconds = 1;
    return made;
}

std::string nameOf(const small_store::call &one)
{
    const std::map<form, std::string> names{{form::List, "lists"},
                                            {form::Watch, "watches"},
                                            {form::Get, "gets"},
                                            {form::Write, "writes"}};
    // Looks for other instances cost a tenth of a list.
    const bool isLook = one.how == form::List && one.kind == wire::instanceKind;
    return isLook ? "looks" : names.at(one.how);
}

/// What the instances asked of the store.
struct herd_figures
{
    std::map<std::string, std::size_t> counts; ///< From its return on, by form.
    std::map<std::string, std::map<std::int64_t, std::size_t>> bySlot;
    std::map<std::string, std::size_t> writes; ///< By instance.
    std::size_t refused = 0; ///< While it was away.

    std::size_t mostWrites() const { return mostIn(writes); }

    template <class Key>
    static std::size_t mostIn(const std::map<Key, std::size_t> &counted)
    {
        std::size_t most = 0;
        for (const auto &[key, count] : counted)
            most = std::max(most, count);
        return most;
    }
};

herd_figures figuresOf(const std::vector<small_store::call> &calls, steady_clock::time_point backAt)
{
    herd_figures made;
    for (const small_store::call &one : calls) {
        if (one.isRefused) {
            ++made.refused;
        } else if (one.at >= backAt) {
            ++made.counts[nameOf(one)];
            ++made.bySlot[nameOf(one)][(one.at - backAt) / slotTime];
        }
        if (one.how == form::Write && !one.isRefused)
            ++made.writes[one.caller];
    }
    return made;
}

void print(const herd_figures &figures, int instances, milliseconds entriesBack)
{
    std::cout << "herd instances=" << instances << " entries_back_ms=" << entriesBack.count()
              << " refused_while_away=" << figures.refused
              << " most_writes_of_one=" << figures.mostWrites();
    for (const auto &[name, count] : figures.counts)
        std::cout << " " << name << "=" << count << " most_" << name
                  << "_in_100_ms=" << herd_figures::mostIn(figures.bySlot.at(name));
    std::cout << std::endl;
}

} // namespace

class older_copy_herd_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(older_copy_herd_test);
    CPPUNIT_TEST(allEntriesAreBackInTimeByOneWriteEach);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The store is away for a second and comes back without any instance's object. Instances that
    /// stay missing are unknown to those that start, and callers aren't sent to them; all that
    /// write at once, or more than once, exceed what the store takes.
    void allEntriesAreBackInTimeByOneWriteEach()
    {
        const int count = instanceCount();
        small_store store(storeConnections);
        store.put(wire::configKind, wire::configName, test::configSpec(4));
        store.put(wire::runnerKind, "i-1", test::runnerSpec("in_service", 4));
        const auto copy = store.current();
        std::vector<std::unique_ptr<platform_gateway>> instances;
        for (int i = 0; i < count; ++i) {
            instances.push_back(std::make_unique<platform_gateway>(settingsOf(i, store)));
            CPPUNIT_ASSERT(succeeded(instances.back()->start()));
        }
        const bool haveStarted = waitForAll(store, count, startTime) < startTime;
        std::this_thread::sleep_for(quietTime);
        store.takeCalls();
        store.goAway();
        std::this_thread::sleep_for(awayTime);
        const auto backAt = steady_clock::now();
        store.comeBackAs(copy);
        const milliseconds entriesBack = waitForAll(store, count, observedTime);
        std::this_thread::sleep_until(backAt + observedTime);
        const herd_figures figures = figuresOf(store.takeCalls(), backAt);
        for (auto &each : instances)
            each->leave();
        print(figures, count, entriesBack);
        CPPUNIT_ASSERT(haveStarted);
        CPPUNIT_ASSERT_LESS(entriesBackTime.count(), entriesBack.count());
        CPPUNIT_ASSERT_EQUAL(std::size_t(count), figures.writes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, figures.mostWrites());
    }

private:
    /// @returns The time that it took until all instances' objects were there.
    static milliseconds waitForAll(small_store &store, int count, milliseconds most)
    {
        const auto from = steady_clock::now();
        int next = 0;
        while (steady_clock::now() - from < most) {
            while (next < count && store.has(wire::instanceKind, nameOf(next)))
                ++next;
            if (next == count)
                return std::chrono::ceil<milliseconds>(steady_clock::now() - from);
            std::this_thread::sleep_for(5ms);
        }
        return most;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(older_copy_herd_test);

} // namespace poplarspool::adapter
