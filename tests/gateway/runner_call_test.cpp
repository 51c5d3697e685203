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

/// A runner that never reads. It sends the head, and then the same bytes as fast as they are taken,
/// until it is stopped or has sent more than any call may read.
class endless_runner
{
public:
    endless_runner(const socket_pair &pair, const std::string &head, const std::string &bytes)
        : thread([this, &pair, head, bytes] { run(pair.theirs.get(), head, bytes); })
    { }
    ~endless_runner()
    {
        stopping.raise();
        thread.join();
    }
    endless_runner(const endless_runner &) = delete;
    endless_runner &operator=(const endless_runner &) = delete;

private:
    void run(int fd, const std::string &head, const std::string &bytes)
    {
        sendAll(fd, head, testDeadline(), stopping.descriptorNumber());
        // Large writes keep the runner ahead of its reader.
        std::string piece;
        while (piece.size() < maxSentBytes / 256)
            piece += bytes;
        std::size_t sent = 0;
        while (sent < maxSentBytes
               && sendAll(fd, piece, testDeadline(), stopping.descriptorNumber()).fault
                       == socket_fault::None)
            sent += piece.size();
        shutdown(fd, SHUT_WR);
    }

    static constexpr std::size_t maxSentBytes = 16UL * 1024 * 1024;

    pollable_flag stopping;
    std::thread thread;
};

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
    CPPUNIT_TEST(headAndBodyArriveAsOneRequest);
    CPPUNIT_TEST(bytesWithoutEndWhileTheRequestIsSentEndTheCall);
    CPPUNIT_TEST(interimRepliesWithoutEndEndTheCall);
    CPPUNIT_TEST(trailersWithoutEndEndTheCall);
    CPPUNIT_TEST(chunksWithoutEndLastNoLongerThanTheLimit);
    CPPUNIT_TEST(bodyWithoutEndLastsNoLongerThanTheLimit);
    CPPUNIT_TEST(readyAnswerIsTakenAfterTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void connectionIsReusableAfterCompleteReply()
    {
        socket_pair runner;
        runner_call call(std::move(runner.ours), -1);
        CPPUNIT_ASSERT(call.send({"GET / HTTP/1.1\r\n\r\n"}, testDeadline()) == call_fault::None);
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
        call.send({"GET / HTTP/1.1\r\n\r\n"}, testDeadline());
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
        call.send({"GET / HTTP/1.1\r\n\r\n"}, testDeadline());
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
        call.send({"GET / HTTP/1.1\r\n\r\n"}, testDeadline());
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
        CPPUNIT_ASSERT(call.send({longBody}, testDeadline()) == call_fault::None);
        CPPUNIT_ASSERT_EQUAL(503, std::get<reply_head>(call.readHead(testDeadline())).status);
        CPPUNIT_ASSERT(call.readBody(testDeadline()).isLast);
        CPPUNIT_ASSERT(!call.takeConnection().isOpen());
    }

    /// Guards against bytes that are lost or sent twice where the kernel takes a part of either.
    void headAndBodyArriveAsOneRequest()
    {
        std::string head = "POST / HTTP/1.1\r\nMore: ";
        std::string body;
        for (std::size_t i = 0; i < 500'000; ++i) {
            head += static_cast<char>('a' + i % 23);
            body += static_cast<char>('A' + i % 19);
        }
        const std::string request = head + body;
        socket_pair runner;
        std::string arrived;
        std::thread reader([&runner, &arrived, size = request.size()] {
            std::array<char, 4099> bytes{};
            while (arrived.size() < size) {
                const auto some = receiveSome(runner.theirs.get(), bytes.data(), bytes.size(),
                                              testDeadline(), -1);
                if (some.fault != socket_fault::None)
                    return;
                arrived.append(bytes.data(), some.bytes);
            }
        });
        runner_call call(std::move(runner.ours), -1);
        const call_fault fault = call.send({head, body}, testDeadline());
        reader.join();
        CPPUNIT_ASSERT(fault == call_fault::None);
        CPPUNIT_ASSERT(request == arrived);
    }

    void failedFirstSendIsReportedAsNotArrived()
    {
        socket_pair runner;
        runner.theirs.reset();
        runner_call call(std::move(runner.ours), -1);
        CPPUNIT_ASSERT(call.send({"GET / HTTP/1.1\r\n\r\n"}, testDeadline()) == call_fault::Closed);
        CPPUNIT_ASSERT(!call.mayHaveArrived());
    }

    /// Guards against a call that reads for ever what a runner sends instead of reading its
    /// request.
    void bytesWithoutEndWhileTheRequestIsSentEndTheCall()
    {
        socket_pair runner;
        runner_call call(std::move(runner.ours), -1);
        const endless_runner endless(runner, "", "these bytes are no answer ");
        const std::string longBody(8UL * 1024 * 1024, 'x');
        CPPUNIT_ASSERT(call.send({longBody}, testDeadline()) == call_fault::Malformed);
        CPPUNIT_ASSERT(call.mayHaveArrived());
    }

    /// Guards against a call that a runner prolongs to its limit with replies that are not final.
    void interimRepliesWithoutEndEndTheCall()
    {
        socket_pair runner;
        runner_call call(std::move(runner.ours), -1);
        const endless_runner endless(runner, "", "HTTP/1.1 102 Processing\r\n\r\n");
        CPPUNIT_ASSERT(call.send({"GET / HTTP/1.1\r\n\r\n"}, testDeadline()) == call_fault::None);
        CPPUNIT_ASSERT(std::get<call_fault>(call.readHead(testDeadline()))
                       == call_fault::Malformed);
    }

    /// Guards against the same after the last chunk.
    void trailersWithoutEndEndTheCall()
    {
        socket_pair runner;
        runner_call call(std::move(runner.ours), -1);
        const endless_runner endless(
                runner, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
                "T: 1\r\n");
        call.send({"GET / HTTP/1.1\r\n\r\n"}, testDeadline());
        call.readHead(testDeadline());
        call_fault fault = call_fault::None;
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), bodyOf(call, fault));
        CPPUNIT_ASSERT(fault == call_fault::Malformed);
    }

    /// Guards against a limit that is looked at only when the runner has nothing to say: no step
    /// may take bytes after it.
    void chunksWithoutEndLastNoLongerThanTheLimit()
    {
        expectNothingAfterTheLimit("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                   "2\r\nok\r\n");
    }

    void bodyWithoutEndLastsNoLongerThanTheLimit()
    {
        expectNothingAfterTheLimit("HTTP/1.1 200 OK\r\n\r\n", "bytes ");
    }

    /// Guards against an answer that is lost because its reader runs late.
    void readyAnswerIsTakenAfterTheLimit()
    {
        socket_pair runner;
        runner_call call(std::move(runner.ours), -1);
        call.send({"GET / HTTP/1.1\r\n\r\n"}, testDeadline());
        runner.sendReply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        const socket_deadline past = socket_clock::now() - 1ms;
        CPPUNIT_ASSERT_EQUAL(200, std::get<reply_head>(call.readHead(past)).status);
        const body_piece piece = call.readBody(past);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), piece.bytes);
        CPPUNIT_ASSERT(piece.isLast);
    }

private:
    /// Everything is there before it is read, so that the call never waits.
    static void expectNothingAfterTheLimit(std::string head, const std::string &bytes)
    {
        socket_pair runner;
        runner_call call(std::move(runner.ours), -1);
        call.send({"GET / HTTP/1.1\r\n\r\n"}, testDeadline());
        while (head.size() < 2 * maxBytesAfterLimit)
            head += bytes;
        runner.sendReply(head);
        call.readHead(testDeadline());
        const socket_deadline past = socket_clock::now() - 1ms;
        body_piece piece;
        std::size_t taken = 0;
        while (piece.fault == call_fault::None && taken < maxBytesAfterLimit) {
            piece = call.readBody(past);
            taken += piece.bytes.size() + 1;
        }
        CPPUNIT_ASSERT_EQUAL(std::string("timed_out"), std::string(nameOf(piece.fault)));
    }

    /// An answer that is ready may be taken after the limit; this is more than any such answer.
    static constexpr std::size_t maxBytesAfterLimit = 64UL * 1024;
};

CPPUNIT_TEST_SUITE_REGISTRATION(runner_call_test);

} // namespace poplarspool::gateway
