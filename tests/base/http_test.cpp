#include "base/http_fixture.h"

#include <functional>
#include <optional>

using namespace poplarspool;
using namespace poplarspool::test;

namespace {

const endpoint anyPort{"127.0.0.1", 0};

http_reply textReply(std::string body)
{
    http_reply reply;
    reply.status = 200;
    reply.contentType = "text/plain";
    reply.body = std::move(body);
    return reply;
}

http_request post(std::string path, std::string body)
{
    http_request request;
    request.method = "POST";
    request.path = std::move(path);
    request.body = std::move(body);
    return request;
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class http_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_test);
    CPPUNIT_TEST(returnsCompleteReply);
    CPPUNIT_TEST(forwardsHeadersUnchanged);
    CPPUNIT_TEST(streamsReply);
    CPPUNIT_TEST(reusesConnection);
    CPPUNIT_TEST(servesPipelinedRequests);
    CPPUNIT_TEST(readsChunkedRequest);
    CPPUNIT_TEST(throwingHandlerYieldsInternalError);
    CPPUNIT_TEST(truncatedReplyIsBroken);
    CPPUNIT_TEST(truncatedHttp10ReplyIsReset);
    CPPUNIT_TEST(slowRequestTimesOut);
    CPPUNIT_TEST(oversizedInputIsRejected);
    CPPUNIT_TEST(malformedInputIsRejected);
    CPPUNIT_TEST(halfClosedCallerGetsItsReply);
    CPPUNIT_TEST(connectionAboveLimitIsRejected);
    CPPUNIT_TEST(stopServesRunningRequests);
    CPPUNIT_TEST(stopClosesIdleConnections);
    CPPUNIT_TEST(serverNoticesCancelledCall);
    CPPUNIT_TEST(listensAgainAfterAcceptFails);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        limits = defaultHttpLimits();
        limits.headerBytes = 4096;
        limits.bodyBytes = 8192;
    }

    void tearDown() override
    {
        pool.stop();
        server.reset();
    }

    void returnsCompleteReply()
    {
        start([](const http_request &request, http_sink &) {
            return textReply(request.method + " " + request.path + " " + request.body);
        });
        const auto reply = pool.send(at, post("/a/b?c=%20d", "text"), testTimeout);
        CPPUNIT_ASSERT(succeeded(reply));
        CPPUNIT_ASSERT_EQUAL(200, valueOf(reply).status);
        CPPUNIT_ASSERT_EQUAL(std::string("POST /a/b?c=%20d text"), valueOf(reply).body);
        CPPUNIT_ASSERT_EQUAL(std::string("text/plain"), valueOf(reply).contentType);
        http_request request = post("/", "");
        request.method = "HEAD";
        const auto head = pool.send(at, request, testTimeout);
        CPPUNIT_ASSERT(headerOf(valueOf(head).headers, "content-length") == "7");
        CPPUNIT_ASSERT(valueOf(head).body.empty());
    }

    void forwardsHeadersUnchanged()
    {
        start([](const http_request &request, http_sink &) {
            http_reply reply = textReply(request.contentType);
            reply.status = 207;
            reply.headers.emplace_back("X-Key", headerOf(request.headers, "x-key"));
            reply.headers.emplace_back("X-Bad", "a\r\nX-Smuggled: 1");
            return reply;
        });
        http_request request = post("/", "{}");
        request.contentType = "application/x-www-form-urlencoded";
        request.headers = {{"Content-Length", "1"},
                           {"Transfer-Encoding", "chunked"},
                           {"X-Key", "a%0d%0aX-Smuggled: 1"},
                           {"Range", "bytes=0-1"},
                           {"Accept-Encoding", "gzip"}};
        const auto reply = pool.send(at, request, testTimeout);
        CPPUNIT_ASSERT(succeeded(reply));
        CPPUNIT_ASSERT_EQUAL(207, valueOf(reply).status);
        CPPUNIT_ASSERT_EQUAL(request.contentType, valueOf(reply).body);
        const http_headers &headers = valueOf(reply).headers;
        CPPUNIT_ASSERT(headerOf(headers, "x-key") == "a%0d%0aX-Smuggled: 1");
        CPPUNIT_ASSERT(headerOf(headers, "x-smuggled").empty());
        request.headers = {{"X-Key", "a\r\nX-Smuggled: 1"}};
        const auto refused = pool.send(at, request, testTimeout);
        CPPUNIT_ASSERT(errorOf(refused).code == error_code::BadRequest);
        CPPUNIT_ASSERT(errorOf(refused).ran == verdict::NotRun);
    }

    void streamsReply()
    {
        start([](const http_request &, http_sink &sink) -> std::optional<http_reply> {
            sink.begin(200, {{"X-Kind", "stream"}}, "text/event-stream");
            sink.write("one ");
            sink.write("");
            sink.write("two");
            sink.end();
            return std::nullopt;
        });
        http_reply head;
        std::string body;
        const auto outcome = pool.stream(
                at, post("/", ""), testTimeout,
                [&](const http_reply &seen) {
                    head = seen;
                    return true;
                },
                [&](std::string_view piece) {
                    body += piece;
                    return true;
                });
        CPPUNIT_ASSERT(succeeded(outcome));
        CPPUNIT_ASSERT_EQUAL(200, head.status);
        CPPUNIT_ASSERT(headerOf(head.headers, "x-kind") == "stream");
        CPPUNIT_ASSERT(head.isDelimited);
        CPPUNIT_ASSERT_EQUAL(std::string("one two"), body);
    }

    void reusesConnection()
    {
        start([](const http_request &request, http_sink &) { return textReply(request.body); });
        for (int i = 0; i < 5; ++i) {
            const std::string text = std::to_string(i);
            const auto reply = pool.send(at, post("/", text), testTimeout);
            CPPUNIT_ASSERT_EQUAL(text, valueOf(reply).body);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), countOf("poplarspool_pool_connects_total"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), server->openConnections());
    }

    // The body of a GET must not be parsed as the next request.
    void servesPipelinedRequests()
    {
        start([](const http_request &request, http_sink &) {
            return textReply("<" + request.path + request.body + ">");
        });
        raw_caller caller(at);
        caller.send("GET /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /"
                    "POST /b HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx");
        const std::string replies = caller.readToEnd();
        CPPUNIT_ASSERT(contains(replies, "</aGET />"));
        CPPUNIT_ASSERT(contains(replies, "</bx>"));
    }

    void readsChunkedRequest()
    {
        start([](const http_request &request, http_sink &) { return textReply(request.body); });
        raw_caller caller(at);
        caller.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n"
                    "Expect: 100-continue\r\n\r\n");
        CPPUNIT_ASSERT(contains(caller.readTo("\r\n\r\n"), "100 Continue"));
        caller.send("3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n");
        CPPUNIT_ASSERT(contains(caller.readToEnd(), "\r\n\r\nabcde"));
    }

    void throwingHandlerYieldsInternalError()
    {
        start([](const http_request &, http_sink &) -> std::optional<http_reply> {
            throw std::runtime_error("fault");
        });
        const auto reply = pool.send(at, post("/", ""), testTimeout);
        CPPUNIT_ASSERT_EQUAL(500, valueOf(reply).status);
        CPPUNIT_ASSERT(contains(valueOf(reply).body, "\"verdict\":\"may_have_run\""));
    }

    // The server's handler gives up in the middle of a reply, and the connection ends. The client
    // must report Broken, or the truncated reply would be forwarded as complete.
    void truncatedReplyIsBroken()
    {
        start([](const http_request &, http_sink &sink) -> std::optional<http_reply> {
            sink.begin(200, {}, "text/plain");
            sink.write("half");
            return std::nullopt;
        });
        const auto reply = pool.send(at, post("/", ""), testTimeout);
        CPPUNIT_ASSERT(!succeeded(reply));
        CPPUNIT_ASSERT(errorOf(reply).code == error_code::Broken);
        CPPUNIT_ASSERT(errorOf(reply).ran == verdict::MayHaveRun);
    }

    // For an HTTP/1.0 caller, a reply ends with the connection. If the handler gives up, a graceful
    // close would make the truncated reply appear complete, so the connection must be reset.
    void truncatedHttp10ReplyIsReset()
    {
        std::promise<void> release;
        std::shared_future<void> released = release.get_future().share();
        start([released](const http_request &request,
                         http_sink &sink) -> std::optional<http_reply> {
            sink.begin(200, {}, "text/plain");
            sink.write("half");
            released.wait_for(testTimeout);
            if (request.path == "/whole")
                sink.end();
            return std::nullopt;
        });
        raw_caller cut(at);
        raw_caller whole(at);
        cut.send("GET /cut HTTP/1.0\r\n\r\n");
        whole.send("GET /whole HTTP/1.0\r\n\r\n");
        CPPUNIT_ASSERT(!contains(cut.readTo("half"), "chunked"));
        whole.readTo("half");
        release.set_value();
        char byte = 0;
        CPPUNIT_ASSERT(!receiveSome(cut.fd(), &byte, 1, testDeadline(), -1).isEnd);
        CPPUNIT_ASSERT(receiveSome(whole.fd(), &byte, 1, testDeadline(), -1).isEnd);
    }

    // A caller sends single bytes, so that no single read times out. The time limit applies to the
    // whole request, so the caller gets 408 and its thread becomes free. Others are served
    // meanwhile.
    void slowRequestTimesOut()
    {
        limits.readTimeout = 300ms;
        start([](const http_request &, http_sink &) { return textReply("served"); });
        raw_caller slow(at);
        std::string reply;
        std::array<char, 512> bytes{};
        slow.send("GET /");
        while (reply.empty()) {
            slow.send("a");
            CPPUNIT_ASSERT_EQUAL(200, valueOf(pool.send(at, post("/", ""), testTimeout)).status);
            const receive_result some = receiveSome(slow.fd(), bytes.data(), bytes.size(),
                                                    socket_clock::now() + 20ms, -1);
            CPPUNIT_ASSERT(some.fault != socket_fault::Closed);
            reply.assign(bytes.data(), some.bytes);
        }
        CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 408"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), serverCount("timeouts_total"));
    }

    void oversizedInputIsRejected()
    {
        start([](const http_request &, http_sink &) { return textReply("served"); });
        const std::string large(limits.bodyBytes + 1, 'x');
        const std::string chunk = "2000\r\n" + large.substr(0, 0x2000) + "\r\n";
        const std::string head = "POST / HTTP/1.1\r\n";
        expectRejection("GET / HTTP/1.1\r\nX-Large: " + large + "\r\n\r\n", 431, "too_large");
        expectRejection(head + "Content-Length: 8193\r\n\r\n" + large, 413, "too_large");
        expectRejection(head + "Content-Length: 99999999999\r\n\r\n", 413, "too_large");
        expectRejection(head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk, 413,
                        "too_large");
    }

    void malformedInputIsRejected()
    {
        start([](const http_request &, http_sink &) { return textReply("served"); });
        const std::string head = "POST / HTTP/1.1\r\n";
        const std::vector<std::string> malformed{
                "nonsense\r\n\r\n",
                "GET / HTTP/1.1\n\n",
                "GET  HTTP/1.1\r\n\r\n",
                "GET /\x01 HTTP/1.1\r\n\r\n",
                "GET / HTTP/1.1\r\nNo colon\r\n\r\n",
                "GET / HTTP/1.1\r\nBlank : 1\r\n\r\n",
                "GET / HTTP/1.1\r\nA: 1\r\n folded\r\n\r\n",
                head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                head + "Content-Length: -1\r\n\r\n",
                head + "Content-Length: 1x\r\n\r\na",
                head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
                head + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
        };
        for (const std::string &bytes : malformed)
            expectRejection(bytes, 400, "bad_request");
        expectRejection("GET / HTTP/2.0\r\n\r\n", 505, "bad_request");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(malformed.size() + 1),
                             serverCount("bad_requests_total"));
    }

    // A caller that shuts down its sending side after the request is not gone and must get its
    // whole reply. If it does so in the middle of a request, it must get an error.
    void halfClosedCallerGetsItsReply()
    {
        start([](const http_request &, http_sink &sink) {
            return textReply(sink.isGone() ? "gone" : "there");
        });
        raw_caller caller(at);
        caller.send("GET / HTTP/1.1\r\n\r\n");
        caller.endSending();
        CPPUNIT_ASSERT(caller.readToEnd().ends_with("there"));
        raw_caller half(at);
        half.send("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n");
        half.endSending();
        CPPUNIT_ASSERT(half.readToEnd().starts_with("HTTP/1.1 400"));
    }

    // All connections are in use. The next caller must be rejected immediately, without waiting for
    // one to become free.
    void connectionAboveLimitIsRejected()
    {
        limits.connections = 1;
        std::promise<void> entered;
        std::promise<void> release;
        start([&](const http_request &, http_sink &) {
            entered.set_value();
            release.get_future().wait_for(testTimeout);
            return textReply("served");
        });
        auto first = std::async(std::launch::async,
                                [&] { return pool.send(at, post("/", ""), testTimeout); });
        auto isIn = entered.get_future();
        await(isIn);
        raw_caller second(at);
        const std::string refusal = second.readToEnd();
        release.set_value();
        CPPUNIT_ASSERT(refusal.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(contains(refusal, "Retry-After: 1\r\n"));
        CPPUNIT_ASSERT(contains(refusal, "\"verdict\":\"not_run\""));
        CPPUNIT_ASSERT_EQUAL(std::string("served"), valueOf(await(first)).body);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), serverCount("refused_total"));
    }

    // The server is stopped while a request runs. Its caller still gets the whole reply, and a new
    // connection is refused with the verdict NotRun.
    void stopServesRunningRequests()
    {
        std::promise<void> entered;
        std::promise<void> release;
        start([&](const http_request &, http_sink &) {
            entered.set_value();
            release.get_future().wait_for(testTimeout);
            return textReply("served");
        });
        auto running = std::async(std::launch::async,
                                  [&] { return pool.send(at, post("/", ""), testTimeout); });
        auto isIn = entered.get_future();
        await(isIn);
        auto stopping = std::async(std::launch::async, [&] { server->stop(); });
        const socket_deadline end = testDeadline();
        while (succeeded(connectTo(at, end, -1)) && socket_clock::now() < end)
            std::this_thread::yield();
        const auto refused = pool.send(at, post("/", ""), testTimeout);
        release.set_value();
        await(stopping);
        CPPUNIT_ASSERT(errorOf(refused).ran == verdict::NotRun);
        CPPUNIT_ASSERT_EQUAL(std::string("served"), valueOf(await(running)).body);
    }

    // An idle connection is closed by its server, which is replaced by another on the same port.
    // The next call must notice this before it sends its request.
    void stopClosesIdleConnections()
    {
        const http_handler echo = [](const http_request &request, http_sink &) {
            return textReply(request.body);
        };
        start(echo);
        CPPUNIT_ASSERT(succeeded(pool.send(at, post("/", "1"), testTimeout)));
        server->stop();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), server->openConnections());
        server = std::make_unique<http_server>("test", at, limits, echo, metrics);
        CPPUNIT_ASSERT(succeeded(server->start()));
        const auto reply = pool.send(at, post("/", "2"), testTimeout);
        CPPUNIT_ASSERT(succeeded(reply));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), countOf("poplarspool_pool_connects_total"));
    }

    // The client cancels the call after the first piece. The server must notice it, or an engine
    // would continue to generate an unwanted reply.
    void serverNoticesCancelledCall()
    {
        std::promise<void> gone;
        start([&](const http_request &, http_sink &sink) -> std::optional<http_reply> {
            sink.begin(200, {}, "text/plain");
            sink.write("first");
            const socket_deadline end = testDeadline();
            while (!sink.isGone() && socket_clock::now() < end)
                std::this_thread::yield();
            if (sink.isGone() && !sink.write("second"))
                gone.set_value();
            return std::nullopt;
        });
        const auto outcome = pool.stream(
                at, post("/", ""), testTimeout, [](const http_reply &) { return true; },
                [](std::string_view) { return false; });
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Cancelled);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
        auto isGone = gone.get_future();
        await(isGone);
    }

    // accept() fails with an error on which the library stops listening. The server must bind its
    // address again, or the instance would run without being reachable. Open connections must
    // continue to be served.
    void listensAgainAfterAcceptFails()
    {
        start([](const http_request &request, http_sink &) { return textReply(request.body); });
        raw_caller open(at);
        open.send("GET /1 HTTP/1.1\r\n\r\n");
        open.readTo("\r\n\r\n");
        failAccept();
        const socket_deadline end = testDeadline();
        result<http_reply> reply = pool.send(at, post("/", "2"), testTimeout);
        while (!succeeded(reply) && socket_clock::now() < end)
            reply = pool.send(at, post("/", "2"), testTimeout);
        CPPUNIT_ASSERT(succeeded(reply));
        open.send("GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(open.readToEnd().starts_with("HTTP/1.1 200"));
    }

private:
    /// Makes the pending accept() of the server fail.
    void failAccept()
    {
        for (int fd = 0; fd < 1024; ++fd) {
            int isListening = 0;
            socklen_t size = sizeof isListening;
            sockaddr_in bound{};
            socklen_t boundSize = sizeof bound;
            getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &isListening, &size);
            if (isListening == 0
                || getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &boundSize) != 0
                || ntohs(bound.sin_port) != at.port)
                continue;
            shutdown(fd, SHUT_RDWR);
            return;
        }
        CPPUNIT_FAIL("no listening socket");
    }

    void start(http_handler handler)
    {
        server =
                std::make_unique<http_server>("test", anyPort, limits, std::move(handler), metrics);
        const auto started = server->start();
        CPPUNIT_ASSERT(succeeded(started));
        at = valueOf(started);
    }

    std::uint64_t countOf(std::string_view name) { return metrics.counterOf(name).get(); }

    std::uint64_t serverCount(const std::string &name)
    {
        return countOf("poplarspool_http_" + name + "{server=\"test\"}");
    }

    void expectRejection(const std::string &bytes, int status, const std::string &code)
    {
        raw_caller caller(at);
        caller.send(bytes);
        const std::string reply = caller.readToEnd();
        CPPUNIT_ASSERT_MESSAGE(bytes + reply,
                               reply.starts_with("HTTP/1.1 " + std::to_string(status)));
        CPPUNIT_ASSERT_MESSAGE(reply, contains(reply, "\"code\":\"" + code + "\""));
        CPPUNIT_ASSERT_MESSAGE(reply, contains(reply, "\"verdict\":\"not_run\""));
        CPPUNIT_ASSERT_MESSAGE(reply, contains(reply, "Connection: close\r\n"));
        // A reset could discard the reply before a caller that is still sending reads it.
        CPPUNIT_ASSERT_MESSAGE(reply, !caller.wasReset());
    }

    http_limits limits{};
    metrics_registry metrics;
    http_pool pool{4, 2s, metrics};
    std::unique_ptr<http_server> server;
    endpoint at;
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_test);
