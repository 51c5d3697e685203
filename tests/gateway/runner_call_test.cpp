#include "gateway/runner_call.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <thread>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

struct socket_pair
{
    descriptor ours;
    descriptor theirs;

    socket_pair()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
        ours = descriptor(ends[0]);
        theirs = descriptor(ends[1]);
    }

    void sendReply(std::string_view bytes) const
    {
        sendAll(theirs.get(), bytes, socket_clock::now() + 20s, -1);
    }
};

socket_deadline testDeadline()
{
    return socket_clock::now() + 20s;
}

std::string bodyOf(runner_call &call, call_fault &fault)
{
    std::string body;
    body_piece piece;
    while (!piece.isLast && piece.fault == call_fault::None) {
        piece = call.readBody(testDeadline());
        body += piece.bytes;
    }
    fault = piece.fault;
    return body;
}

} // namespace

class runner_call_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(runner_call_test);
    CPPUNIT_TEST(connectionIsReusableAfterCompleteReply);
    CPPUNIT_TEST(surplusBytesPreventReuse);
    CPPUNIT_TEST(chunkedBodyIsReadToItsEnd);
    CPPUNIT_TEST(missingLastChunkIsAFault);
    CPPUNIT_TEST(earlyReplyPreventsReuse);
    CPPUNIT_TEST(failedFirstSendIsReportedAsNotArrived);
    CPPUNIT_TEST_SUITE_END();

public:
    void connectionIsReusableAfterCompleteReply()
    {
        socket_pair runner;
        runner_call call(std::move(runner.ours), -1);
        CPPUNIT_ASSERT(call.send("GET / HTTP/1.1\r\n\r\n", testDeadline()) == call_fault::None);
        runner.sendReply(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        CPPUNIT_ASSERT_EQUAL(200, std::get<reply_head>(call.readHead(testDeadline())).status);
        call_fault fault = call_fault::None;
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), bodyOf(call, fault));
        CPPUNIT_ASSERT(call.takeConnection().isOpen());
    }

    /// A faulty runner sends bytes after a complete reply. If the connection were reused, they
    /// would be read as the answer to another request.
    void surplusBytesPreventReuse()
    {
        socket_pair runner;
        runner_call call(std::move(runner.ours), -1);
        call.send("GET / HTTP/1.1\r\n\r\n", testDeadline());
        runner.sendReply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
        call.readHead(testDeadline());
        call_fault fault = call_fault::None;
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), bodyOf(call, fault));
        CPPUNIT_ASSERT(!call.takeConnection().isOpen());
    }

    void chunkedBodyIsReadToItsEnd()
    {
        socket_pair runner;
        runner_call call(std::move(runner.ours), -1);
        call.send("GET / HTTP/1.1\r\n\r\n", testDeadline());
        runner.sendReply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n");
        call.readHead(testDeadline());
        call_fault fault = call_fault::None;
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), bodyOf(call, fault));
        CPPUNIT_ASSERT(fault == call_fault::None);
        CPPUNIT_ASSERT(call.takeConnection().isOpen());
    }

    void missingLastChunkIsAFault()
    {
        socket_pair runner;
        runner_call call(std::move(runner.ours), -1);
        call.send("GET / HTTP/1.1\r\n\r\n", testDeadline());
        runner.sendReply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        runner.theirs.reset();
        call.readHead(testDeadline());
        call_fault fault = call_fault::None;
        bodyOf(call, fault);
        CPPUNIT_ASSERT(fault == call_fault::Closed);
    }

    /// A runner answers before it has read a long body and goes on reading. If the connection were
    /// reused, the next request would be read as the rest of the body.
    void earlyReplyPreventsReuse()
    {
        socket_pair runner;
        runner_call call(std::move(runner.ours), -1);
        runner.sendReply("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        const std::string longBody(64UL * 1024 * 1024, 'x');
        CPPUNIT_ASSERT(call.send(longBody, testDeadline()) == call_fault::None);
        CPPUNIT_ASSERT_EQUAL(503, std::get<reply_head>(call.readHead(testDeadline())).status);
        CPPUNIT_ASSERT(call.readBody(testDeadline()).isLast);
        CPPUNIT_ASSERT(!call.takeConnection().isOpen());
    }

    void failedFirstSendIsReportedAsNotArrived()
    {
        socket_pair runner;
        runner.theirs.reset();
        runner_call call(std::move(runner.ours), -1);
        CPPUNIT_ASSERT(call.send("GET / HTTP/1.1\r\n\r\n", testDeadline()) == call_fault::Closed);
        CPPUNIT_ASSERT(!call.mayHaveArrived());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(runner_call_test);

} // namespace poplarspool::gateway
