#include "poplarspool/config.h"
#include "poplarspool/peer/load_exchange.h"

#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>

namespace poplarspool::peer {

namespace {

using namespace std::chrono_literals;

load_news sampleNews()
{
    return {{{1, 2, 300, 4000, 50000}}, {{1, 77, true}, {2, 88, false}}};
}

/// An exchange that tells the sample, and keeps what it hears.
struct speaker
{
    speaker(const std::string &name, std::uint16_t port, const std::string &key)
        : exchange(
                {{name}, 1, {"127.0.0.1", port}, key},
                [this](news_audience) {
                    throwIfDue(throwingTurns);
                    return sampleNews();
                },
                [this](std::uint64_t, const load_news &news) {
                    const std::lock_guard lock(guard);
                    throwIfDue(throwingNews);
                    heard = news;
                    told.notify_all();
                },
                systemClock(), metrics, events)
    { }

    static void throwIfDue(int &left)
    {
        if (left-- > 0)
            throw std::length_error("too many");
    }

    std::size_t failedSteps() const { return events.events({"step_failed", {}, {}}).size(); }

    bool hearsWithin(milliseconds time)
    {
        std::unique_lock lock(guard);
        return told.wait_for(lock, time, [this] { return heard.has_value(); });
    }

    int throwingTurns = 0; ///< So many of the first turns,
    int throwingNews = 0; ///< and of the first news, end by an exception.
    metrics_registry metrics;
    journal events{{"test"}, systemClock(), 16};
    std::mutex guard;
    std::condition_variable told;
    std::optional<load_news> heard;
    load_exchange exchange;
};

} // namespace

class load_news_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_news_test);
    CPPUNIT_TEST(newsSurviveTheWire);
    CPPUNIT_TEST(malformedNewsAreRefused);
    CPPUNIT_TEST(instancesHearEachOther);
    CPPUNIT_TEST(whatThrowsDoesNotEndTheExchange);
    CPPUNIT_TEST(newsBeyondABoundAreRefused);
    CPPUNIT_TEST(theFleetsDatagramsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void newsSurviveTheWire()
    {
        CPPUNIT_ASSERT(valueOf(decodeLoadNews(valueOf(encode(sampleNews())))) == sampleNews());
        CPPUNIT_ASSERT(valueOf(decodeLoadNews(valueOf(encode({})))) == load_news{});
    }

    void malformedNewsAreRefused()
    {
        const std::string bytes = valueOf(encode(sampleNews()));
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeLoadNews(bytes.substr(0, size))));
        CPPUNIT_ASSERT(!succeeded(decodeLoadNews(bytes + "x")));
        CPPUNIT_ASSERT(!succeeded(decodeLoadNews("\xff\xff\xff\xff\x0f")));
    }

    void instancesHearEachOther()
    {
        speaker first("a", 39471, "key-of-the-test-fleet");
        speaker second("b", 39472, "key-of-the-test-fleet");
        first.exchange.setPeers({{"127.0.0.1", 39472}}, {});
        CPPUNIT_ASSERT(succeeded(second.exchange.start()));
        CPPUNIT_ASSERT(succeeded(first.exchange.start()));
        CPPUNIT_ASSERT(second.hearsWithin(20s));
        CPPUNIT_ASSERT(*second.heard == sampleNews());
    }

    void whatThrowsDoesNotEndTheExchange()
    {
        std::unique_ptr<speaker> first;
        std::unique_ptr<speaker> second;
        bool isStarted = false;
        // Busy ports are passed over.
        for (std::uint16_t port = 23400; port < 23600 && !isStarted; port += 2) {
            const auto other = static_cast<std::uint16_t>(port + 1);
            first = std::make_unique<speaker>("a", port, "key-of-the-test-fleet");
            second = std::make_unique<speaker>("b", other, "key-of-the-test-fleet");
            first->throwingTurns = 2;
            second->throwingNews = 2;
            first->exchange.setPeers({{"127.0.0.1", other}}, {});
            isStarted = succeeded(second->exchange.start()) && succeeded(first->exchange.start());
        }
        CPPUNIT_ASSERT(isStarted);
        CPPUNIT_ASSERT(second->hearsWithin(20s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first->failedSteps());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second->failedSteps());
    }

    void newsBeyondABoundAreRefused()
    {
        load_news news;
        news.work.resize(config::maxLoadItems + 1);
        CPPUNIT_ASSERT(errorOf(encode(news)).code == error_code::TooLarge);
        news.work.pop_back();
        CPPUNIT_ASSERT(succeeded(encode(news)));
    }

    /// At 295 instances in six zones, each told each other one: 206,000 datagrams a second went out
    /// and came in again, requests waited for the processor, and a day took longer to serve than it
    /// lasted. Now the fleet sends what 97 do; smaller ones tell as often as before.
    void theFleetsDatagramsAreBounded()
    {
        const auto sentBy = [](std::size_t near, std::size_t far) {
            const auto perSecond = [&](std::size_t peers, std::size_t budget) {
                return 1000.0 * static_cast<double>(peers)
                        / static_cast<double>(loadNewsInterval(peers, near + far, budget).count());
            };
            return static_cast<double>(near + far + 1)
                    * (perSecond(near, config::loadNewsPerSecond)
                       + perSecond(far, config::farLoadNewsPerSecond));
        };
        CPPUNIT_ASSERT(sentBy(49, 245) < 1.05 * sentBy(16, 80));
        CPPUNIT_ASSERT(sentBy(99, 900) < 1.05 * sentBy(16, 80));
        CPPUNIT_ASSERT(loadNewsInterval(16, 66, config::loadNewsPerSecond) == config::loadNewsTime);
        CPPUNIT_ASSERT(loadNewsInterval(50, 66, config::farLoadNewsPerSecond) == 166ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_news_test);

} // namespace poplarspool::peer
