#include "poplarspool/duties/usage_exchange.h"

#include "duties/usage_update.h"
#include "poplarspool/duties/limits.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace poplarspool::duties {

namespace {

using namespace std::chrono_literals;

/// A UDP port that is free on the first loopback address.
std::uint16_t freePort()
{
    const int fd = ::socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *raw = reinterpret_cast<sockaddr *>(&address);
    socklen_t size = sizeof address;
    CPPUNIT_ASSERT(bind(fd, raw, size) == 0);
    getsockname(fd, raw, &size);
    close(fd);
    return ntohs(address.sin_port);
}

policy::member memberAt(const std::string &name, const std::string &host)
{
    policy::member made;
    made.id = {name};
    made.peerAddress = {host, 1};
    return made;
}

/// An instance with its own loopback address.
struct test_instance
{
    test_instance(const std::string &name, std::uint64_t incarnation, std::uint16_t port,
                  const std::vector<policy::member> &all, const std::string &host)
        : table(incarnation),
          exchange(
                  {{name}, 1, {host, port}, "key"}, incarnation, {table, time, 5s},
                  [all] { return all; }, systemClock(), metrics, events)
    {
        CPPUNIT_ASSERT(succeeded(exchange.start()));
    }

    metrics_registry metrics;
    journal events{{"test"}, systemClock(), 64};
    fleet_clock time{systemClock()};
    usage_table table;
    usage_exchange exchange;
};

template <class Condition>
bool becomesTrue(const Condition &holds)
{
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

} // namespace

class usage_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(usage_exchange_test);
    CPPUNIT_TEST(updateSurvivesEncoding);
    CPPUNIT_TEST(malformedUpdatesAreRejected);
    CPPUNIT_TEST(replicasHoldCountsOfAllInstances);
    CPPUNIT_TEST(stoppingInstanceSendsRemainingCounts);
    CPPUNIT_TEST_SUITE_END();

public:
    void updateSurvivesEncoding()
    {
        const usage_update update{wall_time(7ms),
                                  {wall_time(9ms), 40},
                                  true,
                                  {UINT64_MAX, 340'000'000, {{{"a"}, 1}, {{"\u0c15"}, 1'000'000}}}};
        CPPUNIT_ASSERT(valueOf(decodeUsageUpdate(valueOf(encode(update)))) == update);
    }

    void malformedUpdatesAreRejected()
    {
        const std::string text =
                valueOf(encode(usage_update{wall_time(7ms), {}, false, {1, 2, {}}}));
        for (std::size_t size = 0; size < text.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeUsageUpdate(text.substr(0, size))));
        CPPUNIT_ASSERT(!succeeded(decodeUsageUpdate(text + "x")));
        CPPUNIT_ASSERT(!succeeded(decodeUsageUpdate(
                valueOf(encode(usage_update{wall_time(-1ms), {}, false, {1, 2, {}}})))));
    }

    void replicasHoldCountsOfAllInstances()
    {
        const std::uint16_t port = freePort();
        const std::vector<policy::member> all{memberAt("a", "127.0.0.1"),
                                              memberAt("b", "127.0.0.2")};
        test_instance a("a", 1, port, all, "127.0.0.1");
        test_instance b("b", 2, port, all, "127.0.0.2");
        const window_number window = windowAt(a.time.now().at, 5s);
        a.table.recordRequestStart(window, {"x"});
        b.table.recordRequestStart(window, {"x"});
        const usage_counts both{{{"x"}, 2}};
        CPPUNIT_ASSERT(becomesTrue([&] { return a.table.totalOf(window) == both; }));
        CPPUNIT_ASSERT(becomesTrue([&] { return b.table.totalOf(window) == both; }));
        CPPUNIT_ASSERT(becomesTrue([&] { return a.time.now().clocks == 2; }));
    }

    /// Guards against counts that are lost when an instance shuts down cleanly.
    void stoppingInstanceSendsRemainingCounts()
    {
        const std::uint16_t port = freePort();
        const std::vector<policy::member> all{memberAt("a", "127.0.0.1"),
                                              memberAt("b", "127.0.0.2")};
        test_instance a("a", 1, port, all, "127.0.0.1");
        test_instance b("b", 2, port, all, "127.0.0.2");
        const window_number window = windowAt(a.time.now().at, 5s);
        a.table.recordRequestStart(window, {"x"});
        CPPUNIT_ASSERT(becomesTrue([&] { return b.table.totalOf(window).contains({"x"}); }));
        a.table.recordRequestStart(window, {"x"});
        a.exchange.stop();
        CPPUNIT_ASSERT(becomesTrue([&] { return b.table.totalOf(window).at({"x"}) == 2; }));
        // The other instance no longer waits for counts of the stopped one.
        CPPUNIT_ASSERT(
                becomesTrue([&] { return b.table.isComplete(window, endOf(window + 9, 5s)); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_exchange_test);

} // namespace poplarspool::duties
