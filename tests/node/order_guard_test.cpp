#include "node/order_guard.h"
#include "node/order_sender.h"

#include "poplarspool/base/http.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <thread>

using namespace poplarspool;
using namespace poplarspool::node;

namespace {

constexpr milliseconds shortWindow{100};
constexpr milliseconds longWindow{30000};
constexpr milliseconds testTimeout{30000};

/// Simulates a process that is stopped here and resumed after its window has ended.
void sleepUntilWindowEnds()
{
    const auto deadline = std::chrono::steady_clock::now() + testTimeout;
    while (!order_guard::current()->hasEnded() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(milliseconds(1));
}

} // namespace

/// Sends orders over HTTP to a server that counts those that arrive.
class order_guard_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(order_guard_test);
    CPPUNIT_TEST(orderWithinWindowArrives);
    CPPUNIT_TEST(pausedWriterSendsNothing);
    CPPUNIT_TEST(waitForAnswerEndsWithWindow);
    CPPUNIT_TEST(nothingIsSentOutsideWindow);
    CPPUNIT_TEST(signalOfEarlierGuardDoesNotEndNextGuard);
    CPPUNIT_TEST_SUITE_END();

    metrics_registry metrics;
    std::atomic<int> arrived{0};
    std::atomic<bool> answers{true};
    std::atomic<bool> isEnding{false};
    http_server server{"engine",
                       {"127.0.0.1", 0},
                       defaultHttpLimits(),
                       [this](const http_request &, http_sink &) { return serve(); },
                       metrics};
    endpoint address;
    runner::engine_order order;

    http_reply serve()
    {
        ++arrived;
        while (!answers && !isEnding)
            std::this_thread::sleep_for(milliseconds(1));
        http_reply reply;
        reply.status = 200;
        reply.body = "{}";
        return reply;
    }

    result<unit> send(const before_send &hook = {})
    {
        return withGuardedOrders({}, hook).order(address, order, testTimeout);
    }

    /// Waits until the engine has read everything that reached it.
    void waitForClosedConnections()
    {
        const auto deadline = std::chrono::steady_clock::now() + testTimeout;
        while (server.openConnections() > 0 && std::chrono::steady_clock::now() < deadline)
            std::this_thread::sleep_for(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(0U, server.openConnections());
    }

    static mono_time endOf(milliseconds window) { return systemClock().mono() + window; }

public:
    void setUp() override
    {
        const auto started = server.start();
        CPPUNIT_ASSERT(succeeded(started));
        address = valueOf(started);
        order.fence = 1;
    }

    void tearDown() override
    {
        isEnding = true;
        server.stop();
    }

    void orderWithinWindowArrives()
    {
        const order_guard guard(endOf(longWindow));
        CPPUNIT_ASSERT(succeeded(send()));
        CPPUNIT_ASSERT_EQUAL(1, arrived.load());
    }

    // The writer checks its window, is stopped right before it sends, and resumes when the window
    // has ended. The engine receives no byte, because the guard's signal handler runs before the
    // thread continues, and aborts the connection.
    void pausedWriterSendsNothing()
    {
        {
            const order_guard guard(endOf(shortWindow));
            const auto outcome = send(sleepUntilWindowEnds);
            CPPUNIT_ASSERT(!succeeded(outcome));
            CPPUNIT_ASSERT(guard.hasEnded());
        }
        waitForClosedConnections();
        CPPUNIT_ASSERT_EQUAL(0, arrived.load());
    }

    // The engine receives the order and does not answer. The writer's call ends with its window,
    // not at the call's longer time limit.
    void waitForAnswerEndsWithWindow()
    {
        answers = false;
        const order_guard guard(endOf(shortWindow));
        const auto outcome = send();
        CPPUNIT_ASSERT(!succeeded(outcome));
        CPPUNIT_ASSERT(guard.hasEnded());
    }

    void nothingIsSentOutsideWindow()
    {
        CPPUNIT_ASSERT(errorOf(send()).ran == verdict::NotRun);
        const order_guard over(endOf(milliseconds(-1)));
        CPPUNIT_ASSERT(errorOf(send()).ran == verdict::NotRun);
        CPPUNIT_ASSERT_EQUAL(0, arrived.load());
    }

    void signalOfEarlierGuardDoesNotEndNextGuard()
    {
        for (int round = 0; round < 50; ++round) {
            const order_guard over(endOf(milliseconds(round % 3)));
        }
        const order_guard guard(endOf(longWindow));
        CPPUNIT_ASSERT(succeeded(send()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_guard_test);
