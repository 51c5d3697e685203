#include "base/allocation_limit.h"
#include "base/http_fixture.h"
#include "clean_exit.h"

#include <limits>

namespace poplarspool {

namespace {

using namespace std::chrono_literals;

using test::allocation_limit;
using test::expectCleanExit;
using test::raw_caller;

/// A running server that replies "served" to each request.
struct running_server
{
    explicit running_server(std::size_t bodyBytes)
        : server("test", {"127.0.0.1", 0}, limitsOf(bodyBytes), serve, metrics),
          at(valueOf(server.start()))
    { }

    static http_limits limitsOf(std::size_t bodyBytes)
    {
        http_limits limits = defaultHttpLimits();
        limits.bodyBytes = bodyBytes;
        return limits;
    }

    static std::optional<http_reply> serve(const http_request & /*request*/, http_sink & /*sink*/)
    {
        return http_reply{200, {}, "served", "text/plain"};
    }

    /// @returns The whole reply to a caller that shuts down its sending side after the request.
    std::string answerTo(const std::string &bytes) const
    {
        raw_caller caller(at);
        caller.send(bytes);
        caller.endSending();
        return caller.readToEnd();
    }

    bool serves() const { return answerTo("GET / HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"); }

    metrics_registry metrics;
    http_server server;
    const endpoint at;
};

} // namespace

class request_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_reader_test);
    CPPUNIT_TEST(largestChunkSizeIsAccepted);
    CPPUNIT_TEST(exceptionEndsOnlyItsConnection);
    CPPUNIT_TEST_SUITE_END();

public:
    /// With an unlimited body size, adding the line end to the largest chunk size overflowed, and
    /// the resulting exception terminated the process.
    void largestChunkSizeIsAccepted()
    {
        expectCleanExit([] {
            const running_server run(std::numeric_limits<std::size_t>::max());
            const std::string reply = run.answerTo("POST / HTTP/1.1\r\n"
                                                   "Transfer-Encoding: chunked\r\n\r\n"
                                                   "ffffffffffffffff\r\nabc");
            return reply.starts_with("HTTP/1.1 400") && run.serves();
        });
    }

    /// A body within the size limit exceeds the available memory. The exception must end only this
    /// connection.
    void exceptionEndsOnlyItsConnection()
    {
        expectCleanExit([] {
            constexpr std::size_t bodyBytes = 4'000'000;
            running_server run(bodyBytes);
            const std::string request = "POST / HTTP/1.1\r\nContent-Length: "
                    + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
            const allocation_limit limit(bodyBytes / 4);
            const bool hasNoReply = run.answerTo(request).empty();
            const auto faults =
                    run.metrics.counterOf("poplarspool_http_faults_total{server=\"test\"}").get();
            return hasNoReply && run.serves() && faults == 1;
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_reader_test);

} // namespace poplarspool
