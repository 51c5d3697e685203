#include "platform/duty_client.h"

#include "gateway/scripted_runner.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using gateway::test::script_end;
using gateway::test::scripted_runner;

std::string replyOf(const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

struct client_fixture
{
    mono_time now{std::chrono::hours(1)};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};

    result<unit> report(const scripted_runner &platform)
    {
        return duty_client(platform.address(), {"me"}, clock)
                .sendUsage({7, {{{"a"}, 2}}}, {12, mono_time(std::chrono::hours(1)) + 1500ms});
    }
};

} // namespace

class duty_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(duty_client_test);
    CPPUNIT_TEST(usageReportHasHolderAndFencingToken);
    CPPUNIT_TEST(rejectedReportIsAnError);
    CPPUNIT_TEST(nothingIsSentAfterTheLeaseEnds);
    CPPUNIT_TEST(unansweredCallIsReset);
    CPPUNIT_TEST_SUITE_END();

public:
    void usageReportHasHolderAndFencingToken()
    {
        scripted_runner platform({{replyOf("200 OK")}});
        client_fixture fixture;
        CPPUNIT_ASSERT(succeeded(fixture.report(platform)));
        const std::string request = platform.requests()[0];
        CPPUNIT_ASSERT(request.starts_with("POST /usage HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(request.find("X-Duty-Holder: me\r\n") != std::string::npos);
        CPPUNIT_ASSERT(request.find("X-Fencing-Token: 12\r\n") != std::string::npos);
    }

    void rejectedReportIsAnError()
    {
        scripted_runner platform({{replyOf("429 Too Many Requests")},
                                  {replyOf("409 Conflict")},
                                  {replyOf("503 Service Unavailable")}});
        client_fixture fixture;
        CPPUNIT_ASSERT(errorOf(fixture.report(platform)).code == error_code::Throttled);
        CPPUNIT_ASSERT(errorOf(fixture.report(platform)).code == error_code::Conflict);
        CPPUNIT_ASSERT(errorOf(fixture.report(platform)).code == error_code::Unavailable);
    }

    void nothingIsSentAfterTheLeaseEnds()
    {
        scripted_runner platform({});
        client_fixture fixture;
        fixture.now += 1500ms;
        CPPUNIT_ASSERT(errorOf(fixture.report(platform)).ran == verdict::NotRun);
    }

    /// Guards against a request that is still queued and arrives in the next holder's term.
    void unansweredCallIsReset()
    {
        scripted_runner platform({{"", script_end::Stay}});
        client_fixture fixture;
        CPPUNIT_ASSERT(errorOf(fixture.report(platform)).ran == verdict::MayHaveRun);
        while (!platform.wasDisconnected())
            std::this_thread::sleep_for(1ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(duty_client_test);

} // namespace poplarspool::adapter
