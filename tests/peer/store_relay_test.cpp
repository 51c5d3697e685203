#include "poplarspool/peer/store_relay.h"

#include "poplarspool/config.h"

#include <atomic>
#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>

namespace poplarspool::peer {

namespace {

using namespace std::chrono_literals;

constexpr milliseconds turnTime{20};

/// A relay that tells news with its turn as revision, and keeps what it hears.
struct relay_run
{
    relay_run(const std::string &name, std::uint16_t port)
        : relay(
                {{name}, 1, {"127.0.0.1", port}, "key-of-the-test-fleet"},
                [this] { return nextTurn(); },
                [this](std::uint64_t, const store_news &news) { take(news); }, metrics, events)
    { }

    relay_turn nextTurn()
    {
        if (++turns <= throwingTurns)
            throw std::length_error("too many");
        kind_news told;
        if (turns <= throwingTurns + untoldTurns)
            told.changes.emplace_back(config::maxChangeBytes + 1, 'a');
        return {store_news{{told}}, turnTime};
    }

    void take(const store_news &news)
    {
        const std::lock_guard lock(guard);
        if (throwingNews-- > 0)
            throw std::length_error("too many");
        heard = news;
        changed.notify_all();
    }

    bool hears()
    {
        std::unique_lock lock(guard);
        return changed.wait_for(lock, 20s, [this] { return heard.has_value(); });
    }

    std::size_t failedSteps() const { return events.events({"step_failed", {}, {}}).size(); }

    int turns = 0;
    int throwingTurns = 0;
    int untoldTurns = 0; ///< After those that throw; they break a bound.
    int throwingNews = 0;
    metrics_registry metrics;
    journal events{{"test"}, systemClock(), 16};
    std::mutex guard;
    std::condition_variable changed;
    std::optional<store_news> heard;
    store_relay relay;
};

} // namespace

class store_relay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_relay_test);
    CPPUNIT_TEST(whatThrowsOrCannotBeToldEndsNoThread);
    CPPUNIT_TEST_SUITE_END();

public:
    void whatThrowsOrCannotBeToldEndsNoThread()
    {
        std::unique_ptr<relay_run> first;
        std::unique_ptr<relay_run> second;
        bool isStarted = false;
        // Busy ports are passed over.
        for (std::uint16_t port = 23600; port < 23800 && !isStarted; port += 2) {
            const auto other = static_cast<std::uint16_t>(port + 1);
            first = std::make_unique<relay_run>("a", port);
            second = std::make_unique<relay_run>("b", other);
            first->throwingTurns = 2;
            first->untoldTurns = 2;
            second->throwingNews = 2;
            first->relay.setPeers({{"127.0.0.1", other}});
            isStarted = succeeded(second->relay.start()) && succeeded(first->relay.start());
        }
        CPPUNIT_ASSERT(isStarted);
        CPPUNIT_ASSERT(second->hears());
        first->relay.stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first->failedSteps());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second->failedSteps());
        counter &untold =
                first->metrics.counterOf("poplarspool_store_news_total{direction=\"untold\"}");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, untold.get());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_relay_test);

} // namespace poplarspool::peer
