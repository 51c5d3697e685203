#include "poplarspool/peer/store_update_exchange.h"

#include "poplarspool/peer/limits.h"

#include <atomic>
#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>

namespace poplarspool::peer {

namespace {

using namespace std::chrono_literals;

constexpr milliseconds iterationInterval{20};

/// An exchange that sends an update in every iteration and stores what it receives.
struct test_exchange
{
    test_exchange(const std::string &name, std::uint16_t port)
        : exchange(
                {{name}, 1, {"127.0.0.1", port}, "key-of-the-test-fleet"},
                [this] { return nextIteration(); },
                [this](std::uint64_t, const store_update &update) { onReceived(update); }, metrics,
                events)
    { }

    relay_iteration nextIteration()
    {
        if (++iterations <= throwingIterations)
            throw std::length_error("too many");
        kind_update update;
        if (iterations <= throwingIterations + oversizedIterations)
            update.changes.emplace_back(config::maxChangeBytes + 1, 'a');
        return {{{{update}, 0, {}}}, iterationInterval};
    }

    void onReceived(const store_update &update)
    {
        const std::lock_guard lock(guard);
        if (throwingUpdates-- > 0)
            throw std::length_error("too many");
        received = update;
        changed.notify_all();
    }

    bool receivesUpdate()
    {
        std::unique_lock lock(guard);
        return changed.wait_for(lock, 20s, [this] { return received.has_value(); });
    }

    std::size_t failedSteps() const { return events.events({"step_failed", {}, {}}).size(); }

    int iterations = 0;
    int throwingIterations = 0;
    int oversizedIterations = 0; ///< Iterations after the throwing ones with oversized updates.
    int throwingUpdates = 0;
    metrics_registry metrics;
    journal events{{"test"}, systemClock(), 16};
    std::mutex guard;
    std::condition_variable changed;
    std::optional<store_update> received;
    store_update_exchange exchange;
};

} // namespace

class store_update_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_update_exchange_test);
    CPPUNIT_TEST(exceptionsAndOversizedUpdatesDoNotEndThreads);
    CPPUNIT_TEST_SUITE_END();

public:
    void exceptionsAndOversizedUpdatesDoNotEndThreads()
    {
        std::unique_ptr<test_exchange> first;
        std::unique_ptr<test_exchange> second;
        bool isStarted = false;
        // Skips ports that are in use.
        for (std::uint16_t port = 23600; port < 23800 && !isStarted; port += 2) {
            const auto other = static_cast<std::uint16_t>(port + 1);
            first = std::make_unique<test_exchange>("a", port);
            second = std::make_unique<test_exchange>("b", other);
            first->throwingIterations = 2;
            first->oversizedIterations = 2;
            second->throwingUpdates = 2;
            first->exchange.setPeers({{"127.0.0.1", other}});
            isStarted = succeeded(second->exchange.start()) && succeeded(first->exchange.start());
        }
        CPPUNIT_ASSERT(isStarted);
        CPPUNIT_ASSERT(second->receivesUpdate());
        first->exchange.stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first->failedSteps());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second->failedSteps());
        counter &notSent =
                first->metrics.counterOf("poplarspool_store_news_total{direction=\"untold\"}");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, notSent.get());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_update_exchange_test);

} // namespace poplarspool::peer
