#include "gateway/envelope.h"

#include "fixture.h"
#include "gateway/event_splitter.h"
#include "poplarspool/gateway/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

using test::requestOf;
using test::testDialect;

class envelope_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(envelope_test);
    CPPUNIT_TEST(promptPartChainDependsOnAllPrecedingParts);
    CPPUNIT_TEST(linesNameAllPartsButTheLast);
    CPPUNIT_TEST(unparsableValuesCountAsAbsent);
    CPPUNIT_TEST(reservedHeadersOfCallersAreDropped);
    CPPUNIT_TEST(methodPathAndBodyAreForwardedUnchanged);
    CPPUNIT_TEST(onlyCompleteEventsAreReturned);
    CPPUNIT_TEST(attemptsOfOneRequestShareADigest);
    CPPUNIT_TEST_SUITE_END();

public:
    void attemptsOfOneRequestShareADigest()
    {
        const auto digestWith = [](const std::string &path, const std::string &body,
                                   const std::string &id) {
            return digestOf(
                    requestOf("POST", path, {{"Host", "h"}, {"Id", id}, {"Limit", id}}, body), 7);
        };
        const std::uint64_t one = digestWith("/p/1", "body", "1");
        CPPUNIT_ASSERT_EQUAL(one, digestWith("/p/1", "body", "2"));
        CPPUNIT_ASSERT(one != digestWith("/p/2", "body", "1"));
        CPPUNIT_ASSERT(one != digestWith("/p/1", "other", "1"));
        CPPUNIT_ASSERT(one != digestWith("/p/1b", "ody", "1"));
        CPPUNIT_ASSERT(one != digestOf(requestOf("POST", "/p/1", {{"Host", "i"}}, "body"), 7));
        CPPUNIT_ASSERT(one != digestOf(requestOf("PUT", "/p/1", {{"Host", "h"}}, "body"), 7));
        CPPUNIT_ASSERT(one != digestOf(requestOf("POST", "/p/1", {{"Host", "h"}}, "body"), 8));
        CPPUNIT_ASSERT_EQUAL(std::string("00000000000000ff"), digestText(255));
    }

    void promptPartChainDependsOnAllPrecedingParts()
    {
        const dialect names = testDialect();
        const auto chainsOf = [&names](const std::string &parts) {
            return readEnvelope(requestOf("POST", "/", {{"Parts", parts}}), names).prompt;
        };
        const auto first = chainsOf("a:800, b:410,c:250");
        const auto second = chainsOf("a:800,b:410,d:1");
        const auto other = chainsOf("x:800,b:410");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.size());
        CPPUNIT_ASSERT_EQUAL(410U, first[1].tokens);
        CPPUNIT_ASSERT(first[1] == second[1]);
        CPPUNIT_ASSERT(first[2].chain != second[2].chain);
        CPPUNIT_ASSERT(first[1].chain != other[1].chain);
    }

    void linesNameAllPartsButTheLast()
    {
        const auto textOf = [](const std::string &parts) {
            return sharedPartsText(requestOf("POST", "/", {{"Parts", parts}}), testDialect());
        };
        CPPUNIT_ASSERT_EQUAL(std::string("a,b"), textOf("a:800,b:410,c:250"));
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf("a:800"));
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(""));
        std::string many;
        for (std::size_t i = 0; i < 1000; ++i)
            many += std::string(100, 'x') + ":1,";
        CPPUNIT_ASSERT(textOf(many).size()
                       <= config::maxLoggedParts * (config::maxLoggedPartBytes + 1));
    }

    void unparsableValuesCountAsAbsent()
    {
        const auto read = readEnvelope(
                requestOf("POST", "/",
                          {{"Limit", "soon"}, {"Tokens", "12,x"}, {"Parts", "a,b:c,:"}}),
                testDialect());
        CPPUNIT_ASSERT(!read.timeLimit);
        CPPUNIT_ASSERT_EQUAL(12U, read.promptTokens);
        CPPUNIT_ASSERT_EQUAL(0U, read.outputTokens);
        CPPUNIT_ASSERT(read.id.empty());
    }

    /// Guards against callers that set a header reserved for the gateway, here the one that orders
    /// an engine to take over another request's KV cache. Passed on, the caller would get an
    /// answer made from another caller's prompt.
    void reservedHeadersOfCallersAreDropped()
    {
        send_extras extras;
        extras.runner = "r-1";
        extras.timeLeft = milliseconds(42);
        const std::string text = runnerRequestHead(requestOf("GET", "/p",
                                                             {{"Host", "h"},
                                                              {"source", "10.0.0.1:1/stolen"},
                                                              {"RUNNER", "r-9"},
                                                              {"Limit", "5000"},
                                                              {"Connection", "keep-alive, X-Mine"},
                                                              {"X-Mine", "1"},
                                                              {"X-Other", "2"}}),
                                                   {"10.0.0.1", 80}, testDialect(), extras);
        CPPUNIT_ASSERT_EQUAL(std::string("GET /p HTTP/1.1\r\nHost: h\r\nX-Other: 2\r\n"
                                         "Limit: 42\r\nRunner: r-1\r\n\r\n"),
                             text);
    }

    void methodPathAndBodyAreForwardedUnchanged()
    {
        const std::string body("a\0\r\n\r\nGET / HTTP/1.1\r\n\r\n", 23);
        send_extras extras;
        extras.isPrefillOnly = true;
        extras.lastEventId = "7";
        extras.kvFetch = "10.0.0.2:80";
        const http_request request =
                requestOf("POST", "/%7e/../x?a=%20b", {{"Host", "h"}, {"Last", "3"}}, body);
        const std::string text =
                runnerRequestHead(request, {"10.0.0.1", 80}, testDialect(), extras) + request.body;
        CPPUNIT_ASSERT(text.starts_with("POST /%7e/../x?a=%20b HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(text.ends_with("Content-Length: 23\r\n\r\n" + body));
        CPPUNIT_ASSERT(text.find("Last: 7\r\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Last: 3\r\n") == std::string::npos);
        CPPUNIT_ASSERT(text.find("Stage: prefill\r\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Fetch: 10.0.0.2:80\r\n") != std::string::npos);
    }

    void onlyCompleteEventsAreReturned()
    {
        event_splitter events;
        events.add("id: 1\ndata: a\n");
        CPPUNIT_ASSERT(!events.next());
        events.add("\nversion: 2\r\nid:2\r\ndata: b\r\n\r\ndata: c");
        CPPUNIT_ASSERT(events.next() == (stream_event{"id: 1\ndata: a\n\n", 1}));
        CPPUNIT_ASSERT(events.next() == (stream_event{"version: 2\r\nid:2\r\ndata: b\r\n\r\n", 2}));
        CPPUNIT_ASSERT(!events.next());
        CPPUNIT_ASSERT(!events.isAtBoundary());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(envelope_test);

} // namespace poplarspool::gateway
