#include "base/http_fixture.h"
#include "poplarspool/base/limits.h"

using namespace poplarspool;
using namespace poplarspool::test;

namespace {

const http_request get{"GET", "/", {}, "", ""};

/// Serves one connection on its own thread.
class one_connection_server
{
public:
    explicit one_connection_server(const std::function<void(descriptor)> &serve)
        : listener(listenOnLoopback(at)),
          thread([this, serve] { serve(descriptor(accept(listener.get(), nullptr, nullptr))); })
    { }
    ~one_connection_server() { thread.join(); }
    one_connection_server(const one_connection_server &) = delete;
    one_connection_server &operator=(const one_connection_server &) = delete;

    endpoint at;

private:
    descriptor listener;
    std::thread thread;
};

/// A server that sends only the head of a reply until released, for tests that interrupt a call.
class blocking_server
{
public:
    explicit blocking_server(metrics_registry &metrics)
        : server(
                "held", {"127.0.0.1", 0}, defaultHttpLimits(),
                [this](const http_request &, http_sink &sink) { return block(sink); }, metrics)
    {
        at = valueOf(server.start());
    }

    ~blocking_server()
    {
        release.set_value();
        server.stop();
    }

    std::promise<void> entered;
    std::promise<void> release;
    endpoint at;

private:
    std::optional<http_reply> block(http_sink &sink)
    {
        sink.begin(200, {}, "text/plain");
        entered.set_value();
        release.get_future().wait_for(testTimeout);
        return std::nullopt;
    }

    http_server server;
};

} // namespace

class http_pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_pool_test);
    CPPUNIT_TEST(closedPortYieldsNotRun);
    CPPUNIT_TEST(hostNamesAreRejected);
    CPPUNIT_TEST(stopInterruptsCalls);
    CPPUNIT_TEST(interimRepliesWithoutEndEndTheCall);
    CPPUNIT_TEST(chunkLineWithoutEndEndsTheCall);
    CPPUNIT_TEST(timeLimitHoldsForEndlessReply);
    CPPUNIT_TEST(deadlineHoldsWhenDataIsAvailable);
    CPPUNIT_TEST(ambiguousReplyIsBroken);
    CPPUNIT_TEST(replyWithoutLengthIsMarked);
    CPPUNIT_TEST(repliesWithoutBodyEndAfterHead);
    CPPUNIT_TEST(surplusBytesCloseTheConnection);
    CPPUNIT_TEST(sentRequestIsNotRepeated);
    CPPUNIT_TEST(replyCutInItsHeadIsBroken);
    CPPUNIT_TEST(resetWhileTheRequestIsSentIsNoEndOfAReply);
    CPPUNIT_TEST(statusThatIsNoneIsBroken);
    CPPUNIT_TEST_SUITE_END();

public:
    void closedPortYieldsNotRun()
    {
        endpoint closed;
        {
            const scripted_server taken("");
            closed = taken.address();
        }
        const auto outcome = pool.send(closed, get, testTimeout);
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Unavailable);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
    }

    void hostNamesAreRejected()
    {
        const auto outcome = pool.send({"localhost", 1}, get, testTimeout);
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::BadRequest);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
    }

    // The pool is stopped while a call waits for its reply. The call ends immediately with
    // MayHaveRun; later calls fail without being sent.
    void stopInterruptsCalls()
    {
        blocking_server server(metrics);
        auto call = std::async(std::launch::async,
                               [&] { return pool.send(server.at, get, testTimeout * 2); });
        auto isIn = server.entered.get_future();
        await(isIn);
        pool.stop();
        const auto outcome = await(call);
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Unavailable);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
        CPPUNIT_ASSERT(errorOf(pool.send(server.at, get, testTimeout)).ran == verdict::NotRun);
    }

    /// Guards against a call that a server prolongs to its limit with replies that are not final.
    void interimRepliesWithoutEndEndTheCall()
    {
        std::string reply;
        while (reply.size() < 2 * config::maxReplyHeaderBytes)
            reply += "HTTP/1.1 102 Processing\r\n\r\n";
        expectBroken(reply + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }

    /// Guards against memory that grows for as long as a server sends a line without end.
    void chunkLineWithoutEndEndsTheCall()
    {
        expectBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;"
                     + std::string(2 * config::maxReplyHeaderBytes, 'x') + "\r\nok\r\n0\r\n\r\n");
    }

    // The server writes endlessly and faster than the client reads, so no single read blocks. The
    // time limit must apply to the whole call.
    void timeLimitHoldsForEndlessReply()
    {
        http_server server(
                "endless", {"127.0.0.1", 0}, defaultHttpLimits(),
                [](const http_request &, http_sink &sink) -> std::optional<http_reply> {
                    sink.begin(200, {}, "text/plain");
                    const std::string piece(64 * 1024, 'x');
                    const socket_deadline end = testDeadline();
                    while (sink.write(piece) && socket_clock::now() < end) { }
                    return std::nullopt;
                },
                metrics);
        const auto started = server.start();
        const auto outcome = pool.stream(
                valueOf(started), get, 100ms, [](const http_reply &) { return true; },
                [](std::string_view) { return true; });
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::TimedOut);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
    }

    // Data is always available, so a read never blocks. The deadline must still apply, or a peer
    // that keeps sending would occupy the thread forever.
    void deadlineHoldsWhenDataIsAvailable()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
        const descriptor reader(ends[0]);
        const descriptor writer(ends[1]);
        sendAll(writer.get(), "bytes", testDeadline(), -1);
        char byte = 0;
        const receive_result late = receiveSome(reader.get(), &byte, 1, socket_clock::now(), -1);
        CPPUNIT_ASSERT(late.fault == socket_fault::TimedOut);
        const receive_result inTime = receiveSome(reader.get(), &byte, 1, testDeadline(), -1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), inTime.bytes);
    }

    // A lenient parser would accept each of these replies as complete.
    void ambiguousReplyIsBroken()
    {
        const std::string head = "HTTP/1.1 200 OK\r\n";
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        const std::vector<std::string> replies{
                "",
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/9.9 200 OK\r\nContent-Length: 0\r\n\r\n",
                head + "Content-Length: 5\r\n\r\nhalf",
                head + "Content-Length: x\r\n\r\n",
                head + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nhalf",
                head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nhalf",
                chunked + "4\r\nhalf\r\n",
                chunked + "4\r\nhalf\r\n0",
                chunked + "4\r\nhalf\r\n0\r\n",
                chunked + "10\r\nhalf",
                chunked + "x\r\nhalf\r\n0\r\n\r\n",
        };
        for (const std::string &reply : replies) {
            scripted_server server(reply);
            const auto outcome = pool.send(server.address(), get, testTimeout);
            CPPUNIT_ASSERT_MESSAGE(reply, !succeeded(outcome));
            CPPUNIT_ASSERT_MESSAGE(reply, errorOf(outcome).code == error_code::Broken);
            CPPUNIT_ASSERT_MESSAGE(reply, errorOf(outcome).ran == verdict::MayHaveRun);
        }
    }

    void replyWithoutLengthIsMarked()
    {
        scripted_server server("HTTP/1.0 200 OK\r\n\r\nbody");
        const auto outcome = pool.send(server.address(), get, testTimeout);
        CPPUNIT_ASSERT(succeeded(outcome));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), valueOf(outcome).body);
        CPPUNIT_ASSERT(!valueOf(outcome).isDelimited);
    }

    void repliesWithoutBodyEndAfterHead()
    {
        http_request request = get;
        for (const std::string status : {"204", "304", "200"}) {
            request.method = status == "200" ? "HEAD" : "GET";
            scripted_server server("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status
                                   + "\r\nContent-Length: 7\r\nConnection: close\r\n\r\n");
            const auto outcome = pool.send(server.address(), request, testTimeout);
            CPPUNIT_ASSERT_MESSAGE(status, succeeded(outcome));
            CPPUNIT_ASSERT_EQUAL(std::stoi(status), valueOf(outcome).status);
            CPPUNIT_ASSERT(valueOf(outcome).body.empty());
        }
    }

    // A server sends a second, unrequested reply. If the connection were reused, the next call
    // would receive it as its own reply.
    void surplusBytesCloseTheConnection()
    {
        const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine";
        scripted_server server(reply + reply);
        CPPUNIT_ASSERT(succeeded(pool.send(server.address(), get, testTimeout)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), metrics.gaugeOf("poplarspool_pool_idle").get());
    }

    /// Guards against a reply that stops in its head and is taken for a whole one.
    void replyCutInItsHeadIsBroken()
    {
        const std::string names = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
        for (const std::string &head : {names + "Content-Length: 4\r\n\r\n", names + "\r\n",
                                        "HTTP/1.1 103 Early Hints\r\n\r\n" + names + "\r\n"}) {
            for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
                expectBroken(head.substr(0, bytes));
                const one_connection_server resetting([&head, bytes](descriptor connection) {
                    readUntil(connection.get(), "\r\n\r\n");
                    sendAll(connection.get(), head.substr(0, bytes), testDeadline(), -1);
                    abortOnClose(connection.get());
                });
                CPPUNIT_ASSERT(!succeeded(pool.send(resetting.at, get, testTimeout)));
            }
        }
    }

    /// Guards against a part of a reply that is taken for the whole: the failed send has already
    /// reported the reset.
    void resetWhileTheRequestIsSentIsNoEndOfAReply()
    {
        const one_connection_server resetting([](descriptor connection) {
            readUntil(connection.get(), "\r\n\r\n");
            sendAll(connection.get(), "HTTP/1.1 200 OK\r\n\r\npart", testDeadline(), -1);
            abortOnClose(connection.get());
        });
        const http_request large{"POST", "/", {}, std::string(16UL * 1024 * 1024, 'x'), ""};
        CPPUNIT_ASSERT(!succeeded(pool.send(resetting.at, large, testTimeout)));
    }

    /// Guards against a server in trouble whose reply, of status 000, is taken for one.
    void statusThatIsNoneIsBroken()
    {
        for (const char *status : {"000", "001", "099", "600", "999"})
            expectBroken("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nok");
    }

    // A reused connection breaks after the request was sent and before any reply. The library must
    // not send it again, because a non-idempotent request would run twice.
    void sentRequestIsNotRepeated()
    {
        std::atomic<int> runs{0};
        http_server server(
                "broken", {"127.0.0.1", 0}, defaultHttpLimits(),
                [&](const http_request &, http_sink &) -> std::optional<http_reply> {
                    http_reply reply;
                    reply.status = 200;
                    return ++runs == 1 ? std::optional(reply) : std::nullopt;
                },
                metrics);
        const endpoint at = valueOf(server.start());
        CPPUNIT_ASSERT(succeeded(pool.send(at, get, testTimeout)));
        const auto outcome = pool.send(at, get, testTimeout);
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Broken);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
        CPPUNIT_ASSERT_EQUAL(2, runs.load());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             metrics.counterOf("poplarspool_pool_connects_total").get());
    }

private:
    void expectBroken(const std::string &reply)
    {
        scripted_server server(reply);
        const auto outcome = pool.send(server.address(), get, testTimeout);
        CPPUNIT_ASSERT(!succeeded(outcome));
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Broken);
    }

    metrics_registry metrics;
    http_pool pool{4, 2s, metrics};
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_pool_test);
