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

struct world
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
    CPPUNIT_TEST(aReportNamesHolderAndFence);
    CPPUNIT_TEST(whatIsNotTakenIsAnError);
    CPPUNIT_TEST(nothingIsSentAfterTheTerm);
    CPPUNIT_TEST(aCallWithoutAnswerIsReset);
    CPPUNIT_TEST_SUITE_END();

public:
    void aReportNamesHolderAndFence()
    {
        scripted_runner platform({{replyOf("200 OK")}});
        world test;
        CPPUNIT_ASSERT(succeeded(test.report(platform)));
        const std::string seen = platform.requests()[0];
        CPPUNIT_ASSERT(seen.starts_with("POST /usage HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(seen.find("X-Duty-Holder: me\r\n") != std::string::npos);
        CPPUNIT_ASSERT(seen.find("X-Fencing-Token: 12\r\n") != std::string::npos);
    }

    void whatIsNotTakenIsAnError()
    {
        scripted_runner platform({{replyOf("429 Too Many Requests")},
                                  {replyOf("409 Conflict")},
                                  {replyOf("503 Service Unavailable")}});
        world test;
        CPPUNIT_ASSERT(errorOf(test.report(platform)).code == error_code::Throttled);
        CPPUNIT_ASSERT(errorOf(test.report(platform)).code == error_code::Conflict);
        CPPUNIT_ASSERT(errorOf(test.report(platform)).code == error_code::Unavailable);
    }

    void nothingIsSentAfterTheTerm()
    {
        scripted_runner platform({});
        world test;
        test.now += 1500ms;
        CPPUNIT_ASSERT(errorOf(test.report(platform)).ran == verdict::NotRun);
    }

    /// What is still queued would arrive in another holder's term.
    void aCallWithoutAnswerIsReset()
    {
        scripted_runner platform({{"", script_end::Stay}});
        world test;
        CPPUNIT_ASSERT(errorOf(test.report(platform)).ran == verdict::MayHaveRun);
        while (!platform.wasLeft())
            std::this_thread::sleep_for(1ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(duty_client_test);

} // namespace poplarspool::adapter
