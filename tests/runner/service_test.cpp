#include "poplarspool/runner/service.h"
#include "standin/service.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::runner {

namespace {

constexpr milliseconds testTimeout{20000};

struct service_fixture
{
    service_fixture() : address(valueOf(service.start())) { }

    result<http_reply> call(const std::string &key, std::string &body)
    {
        const http_request request{"POST",
                                   "/orders?x=1",
                                   {{"Idempotency-Key", key}, {"Connection", "close"}},
                                   "abc",
                                   "text/plain"};
        return api.call(
                address, request, testTimeout, [](const http_reply &) { return true; },
                [&](std::string_view piece) {
                    body.append(piece);
                    return true;
                });
    }

    metrics_registry metrics;
    service_api api = httpServiceApi(std::make_shared<http_pool>(4, milliseconds(1000), metrics));
    standin::service_standin service{{}};
    endpoint address;
};

} // namespace

class service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(service_test);
    CPPUNIT_TEST(requestIsForwarded);
    CPPUNIT_TEST(lostAnswerMayHaveRun);
    CPPUNIT_TEST(refusalIsForwarded);
    CPPUNIT_TEST(unreachableServiceIsNotRun);
    CPPUNIT_TEST(hopByHopHeadersAreDropped);
    CPPUNIT_TEST(serviceWithoutLoadPathCountsAsUp);
    CPPUNIT_TEST_SUITE_END();

    void requestIsForwarded()
    {
        service_fixture fixture;
        std::string body;
        const auto reply = fixture.call("k", body);
        CPPUNIT_ASSERT(succeeded(reply));
        CPPUNIT_ASSERT_EQUAL(200, valueOf(reply).status);
        CPPUNIT_ASSERT(body.find("\"path\":\"/orders?x=1\"") != std::string::npos);
        CPPUNIT_ASSERT(body.find("\"body_bytes\":3") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("k"), fixture.service.records().records.at(0).key);
    }

    // The service processes an order and crashes before it replies. With the verdict NotRun, the
    // caller would send the order again, and it would be processed twice.
    void lostAnswerMayHaveRun()
    {
        service_fixture fixture;
        fixture.service.setFault({standin::service_fault_mode::DieAfterRun, 1});
        std::string body;
        const auto reply = fixture.call("k", body);
        CPPUNIT_ASSERT(!succeeded(reply));
        CPPUNIT_ASSERT(errorOf(reply).ran == verdict::MayHaveRun);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.service.records().runs);
    }

    void refusalIsForwarded()
    {
        service_fixture fixture;
        fixture.service.setFault({standin::service_fault_mode::Refuse, 1});
        std::string body;
        const auto reply = fixture.call("k", body);
        CPPUNIT_ASSERT_EQUAL(503, valueOf(reply).status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.service.records().runs);
    }

    void unreachableServiceIsNotRun()
    {
        service_fixture fixture;
        fixture.service.stop();
        std::string body;
        const auto reply = fixture.call("k", body);
        CPPUNIT_ASSERT(errorOf(reply).ran == verdict::NotRun);
    }

    void hopByHopHeadersAreDropped()
    {
        const http_headers headers = {
                {"Connection", "close, X-Hop"},
                {"x-hop", "1"},
                {"Keep-Alive", "timeout=5"},
                {"X-Kept", "2"},
                {"Upgrade", "h2c"},
                {"connection", " x-two "},
                {"X-Two", "3"},
        };
        CPPUNIT_ASSERT(endToEndHeaders(headers) == http_headers({{"X-Kept", "2"}}));
    }

    void serviceWithoutLoadPathCountsAsUp()
    {
        service_fixture fixture;
        CPPUNIT_ASSERT(valueOf(fixture.api.load(fixture.address)).incarnation > 0);
        metrics_registry metrics;
        int status = 404;
        http_server other(
                "other", {"127.0.0.1", 0}, defaultHttpLimits(),
                [&](const http_request &, http_sink &) {
                    return http_reply{status, {}, "no", "text/plain"};
                },
                metrics);
        const endpoint address = valueOf(other.start());
        CPPUNIT_ASSERT(succeeded(fixture.api.load(address)));
        status = 503;
        CPPUNIT_ASSERT(!succeeded(fixture.api.load(address)));
        other.stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_test);

} // namespace poplarspool::runner
