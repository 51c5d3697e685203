#include "gateway/byte_carrier.h"

#include "connected_pair.h"
#include "poplarspool/gateway/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::connectedPair;

socket_deadline soon()
{
    return socket_clock::now() + 5s;
}

/// A tunnel between a caller and a runner.
class tunnel
{
public:
    tunnel()
    {
        auto near = connectedPair();
        auto far = connectedPair();
        caller = std::move(near[0]);
        runner = std::move(far[1]);
        thread = std::thread([this, a = std::move(near[1]), b = std::move(far[0])]() mutable {
            carryBytes(std::move(a), std::move(b), stopping.descriptorNumber(), bytes);
        });
    }

    ~tunnel()
    {
        stopping.raise();
        thread.join();
    }

    descriptor caller;
    descriptor runner;
    counter bytes;

private:
    pollable_flag stopping;
    std::thread thread;
};

void sendText(const descriptor &from, const std::string &text)
{
    CPPUNIT_ASSERT_EQUAL(text.size(), sendAll(from.get(), text, soon(), -1).bytes);
}

std::string receiveText(const descriptor &at, std::size_t size)
{
    std::string text;
    std::array<char, 4096> bytes{};
    while (text.size() < size) {
        const receive_result some = receiveSome(at.get(), bytes.data(), bytes.size(), soon(), -1);
        if (some.fault != socket_fault::None)
            break;
        text.append(bytes.data(), some.bytes);
    }
    return text;
}

} // namespace

class byte_carrier_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(byte_carrier_test);
    CPPUNIT_TEST(bytesPassInBothDirections);
    CPPUNIT_TEST(orderlyCloseFollowsTheBytesBeforeIt);
    CPPUNIT_TEST(resetOfTheCallerReachesTheRunnerAtOnce);
    CPPUNIT_TEST(resetOfTheRunnerReachesTheCallerAtOnce);
    CPPUNIT_TEST(slowReceiverSlowsTheSenderDown);
    CPPUNIT_TEST(runnerThatHasNotEndedIsNotClosedInAnOrderlyWay);
    CPPUNIT_TEST_SUITE_END();

public:
    void bytesPassInBothDirections()
    {
        const tunnel t;
        sendText(t.caller, "request");
        CPPUNIT_ASSERT_EQUAL(std::string("request"), receiveText(t.runner, 7));
        sendText(t.runner, "reply");
        CPPUNIT_ASSERT_EQUAL(std::string("reply"), receiveText(t.caller, 5));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, t.bytes.get());
    }

    void orderlyCloseFollowsTheBytesBeforeIt()
    {
        tunnel t;
        const std::string text(300'000, 'x');
        std::thread sender([&] {
            sendText(t.runner, text);
            t.runner.reset();
        });
        CPPUNIT_ASSERT_EQUAL(text.size(), receiveText(t.caller, text.size() + 1).size());
        sender.join();
        char byte = 0;
        CPPUNIT_ASSERT(receiveSome(t.caller.get(), &byte, 1, soon(), -1).isEnd);
    }

    /// Guards against runners that go on working for callers that have left.
    void resetOfTheCallerReachesTheRunnerAtOnce()
    {
        tunnel t;
        sendText(t.caller, "request");
        receiveText(t.runner, 7);
        abortOnClose(t.caller.get());
        t.caller.reset();
        CPPUNIT_ASSERT(waitForSocket(t.runner.get(), POLLIN, soon(), -1) == socket_fault::None);
        CPPUNIT_ASSERT(isPeerGone(t.runner.get()));
    }

    /// Guards against a broken reply that looks complete.
    void resetOfTheRunnerReachesTheCallerAtOnce()
    {
        tunnel t;
        sendText(t.runner, "half");
        CPPUNIT_ASSERT_EQUAL(std::string("half"), receiveText(t.caller, 4));
        abortOnClose(t.runner.get());
        t.runner.reset();
        char byte = 0;
        const receive_result end = receiveSome(t.caller.get(), &byte, 1, soon(), -1);
        CPPUNIT_ASSERT(end.fault == socket_fault::Closed && !end.isEnd);
    }

    /// Guards against a carrier whose memory fills up with the answers of slow callers.
    void slowReceiverSlowsTheSenderDown()
    {
        const tunnel t;
        const std::string text(64 * 1024 * 1024, 'x');
        const send_result sent = sendAll(t.runner.get(), text, socket_clock::now() + 500ms, -1);
        CPPUNIT_ASSERT(sent.fault == socket_fault::TimedOut);
        CPPUNIT_ASSERT(sent.bytes < text.size());
    }

    /// Guards against an answer that looks complete because its carrier gave it up.
    void runnerThatHasNotEndedIsNotClosedInAnOrderlyWay()
    {
        tunnel t;
        sendText(t.runner, "half");
        CPPUNIT_ASSERT_EQUAL(std::string("half"), receiveText(t.caller, 4));
        shutdown(t.caller.get(), SHUT_WR);
        char byte = 0;
        const receive_result end = receiveSome(t.caller.get(), &byte, 1, soon(), -1);
        CPPUNIT_ASSERT(end.fault == socket_fault::Closed && !end.isEnd);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(byte_carrier_test);

} // namespace poplarspool::gateway
