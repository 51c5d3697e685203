#include "gateway/route_outcomes.h"

#include "poplarspool/gateway/limits.h"
#include "proxy_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::scripted_runner;
using test::sealed;

route routeNamed(const std::string &name, bool isStream = false)
{
    route made;
    made.name = name;
    made.isStream = isStream;
    made.latencyObjective = 500ms;
    return made;
}

ended_request streamEnd(std::chrono::nanoseconds untilFirstByte, std::string_view fault = {})
{
    return {0, false, fault, untilFirstByte, 9s};
}

std::uint64_t requestsOf(metrics_registry &registry, const std::string &name)
{
    return registry.counterOf("poplarspool_gateway_route_requests_total{route=\"" + name + "\"}")
            .get();
}

std::uint64_t answersOf(metrics_registry &registry, const std::string &name, const std::string &end)
{
    return registry
            .counterOf("poplarspool_gateway_route_answers_total{route=\"" + name + "\",end=\"" + end
                       + "\"}")
            .get();
}

} // namespace

class route_outcomes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_outcomes_test);
    CPPUNIT_TEST(streamIsMeasuredToItsFirstByte);
    CPPUNIT_TEST(plainAnswerIsMeasuredToItsEnd);
    CPPUNIT_TEST(brokenStreamIsFailed);
    CPPUNIT_TEST(onlyErrorsThatHaveNotRunAreRefused);
    CPPUNIT_TEST(callersThatLeftAreOnlyAsked);
    CPPUNIT_TEST(routesBeyondTheLimitAreCombined);
    CPPUNIT_TEST(namesAreEscaped);
    CPPUNIT_TEST(requestsAreCountedAtTheirEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against long streams that count as late although they began in time.
    void streamIsMeasuredToItsFirstByte()
    {
        const route stream = routeNamed("a", true);
        CPPUNIT_ASSERT(outcomeOf(stream, streamEnd(500ms)) == route_outcome::InTime);
        CPPUNIT_ASSERT(outcomeOf(stream, streamEnd(500ms + 1ns)) == route_outcome::Late);
    }

    /// Guards against plain answers that count as in time by their first byte.
    void plainAnswerIsMeasuredToItsEnd()
    {
        const route plain = routeNamed("a");
        CPPUNIT_ASSERT(outcomeOf(plain, {200, true, "", 1ms, 500ms}) == route_outcome::InTime);
        CPPUNIT_ASSERT(outcomeOf(plain, {200, true, "", 1ms, 500ms + 1ns}) == route_outcome::Late);
        CPPUNIT_ASSERT(outcomeOf(plain, {0, false, "", 1ms, 501ms}) == route_outcome::Late);
        CPPUNIT_ASSERT(outcomeOf(plain, {404, true, "", 1ms, 2ms}) == route_outcome::InTime);
    }

    /// Guards against streams that broke off but count as in time by their first byte.
    void brokenStreamIsFailed()
    {
        CPPUNIT_ASSERT(outcomeOf(routeNamed("a", true), streamEnd(1ms, "closed"))
                       == route_outcome::Failed);
    }

    /// Guards against errors of requests that may have run, or a runner's own 503, that count as
    /// refused.
    void onlyErrorsThatHaveNotRunAreRefused()
    {
        const route plain = routeNamed("a");
        for (const int status : {400, 401, 408, 421, 429, 503}) {
            const ended_request refused{status, false, "no_room", 0ms, 1ms};
            CPPUNIT_ASSERT(outcomeOf(plain, refused) == route_outcome::Refused);
        }
        for (const int status : {502, 504}) {
            const ended_request failed{status, false, "closed", 0ms, 1ms};
            CPPUNIT_ASSERT(outcomeOf(plain, failed) == route_outcome::Failed);
        }
        const ended_request runnersError{503, true, "runner_503", 1ms, 1ms};
        CPPUNIT_ASSERT(outcomeOf(plain, runnersError) == route_outcome::Failed);
    }

    /// Guards against callers that left being counted as served or failed.
    void callersThatLeftAreOnlyAsked()
    {
        metrics_registry registry;
        route_outcomes outcomes(registry);
        const route stream = routeNamed("a", true);
        outcomes.record(&stream, streamEnd(1ms, callerGoneFault));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, requestsOf(registry, "a"));
        for (const char *end : {"in_time", "late", "refused", "failed"})
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, answersOf(registry, "a", end));
    }

    /// Guards against a configuration with many routes that makes the metrics grow without limit.
    void routesBeyondTheLimitAreCombined()
    {
        metrics_registry registry;
        route_outcomes outcomes(registry);
        for (std::size_t turn = 0; turn < 2; ++turn) {
            for (std::size_t i = 0; i < config::maxCountedRoutes + 10; ++i) {
                const route owner = routeNamed("r" + std::to_string(i), true);
                outcomes.record(&owner, streamEnd(1ms));
            }
        }
        const std::string last = "r" + std::to_string(config::maxCountedRoutes - 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, answersOf(registry, last, "in_time"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, answersOf(registry, "other", "in_time"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, requestsOf(registry, "other"));
        const std::string beyond = "\"r" + std::to_string(config::maxCountedRoutes) + "\"";
        CPPUNIT_ASSERT(registry.text().find(beyond) == std::string::npos);
    }

    /// Guards against a route name that makes the metrics unreadable.
    void namesAreEscaped()
    {
        metrics_registry registry;
        route_outcomes outcomes(registry);
        const route owner = routeNamed("a\"b\\c\nd");
        outcomes.record(&owner, {200, true, "", 1ms, 1ms});
        CPPUNIT_ASSERT(registry.text().find(R"({route="a\"b\\c\nd"} 1)") != std::string::npos);
    }

    /// Guards against a proxy that does not record its requests, or takes a runner's answer for a
    /// refusal.
    void requestsAreCountedAtTheirEnd()
    {
        scripted_runner runner({{sealed("404 Gone Fishing", "body")}});
        test::proxy_fixture test({&runner});
        CPPUNIT_ASSERT_EQUAL(404, test.sendRequest("/once/1")->status);
        CPPUNIT_ASSERT_EQUAL(404, test.sendRequest("/unknown/1")->status);
        test::proxy_fixture empty({});
        CPPUNIT_ASSERT_EQUAL(503, empty.sendRequest("/once/1")->status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, requestsOf(test.registry, "once"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, answersOf(test.registry, "once", "in_time"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, answersOf(empty.registry, "once", "refused"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_outcomes_test);

} // namespace poplarspool::gateway
