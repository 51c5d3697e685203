#include "gateway/link_table.h"
#include "poplarspool/gateway/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

struct fixture
{
    mono_time now{1h};
    link_table links{{[this] { return now; }, [] { return wall_time{}; }}};

    bool breakLink(const std::string &runner, connect_end end = connect_end::Silent)
    {
        return links.recordBroken({runner}, end);
    }
};

} // namespace

class link_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(link_table_test);
    CPPUNIT_TEST(oneBrokenLinkConcernsItsRunnerOnly);
    CPPUNIT_TEST(severalBrokenLinksInARowConcernAllRunners);
    CPPUNIT_TEST(linksThatBreakBetweenSoundOnesConcernTheirRunnersOnly);
    CPPUNIT_TEST(oneReachedRunnerEndsTheCut);
    CPPUNIT_TEST(unlistedRunnersDontKeepAnInstanceCutOff);
    CPPUNIT_TEST(callsOverRefusingLinksGoOn);
    CPPUNIT_TEST(oneSilentRunnerIsNotChecked);
    CPPUNIT_TEST(silentRunnersAreNotCheckedWhileOthersAnswer);
    CPPUNIT_TEST(eachBrokenLinkIsProbedOncePerInterval);
    CPPUNIT_TEST(tenThousandRunnersNeedTwoBrokenLinks);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneBrokenLinkConcernsItsRunnerOnly()
    {
        fixture t;
        CPPUNIT_ASSERT(t.breakLink("r1"));
        CPPUNIT_ASSERT(!t.breakLink("r1"));
        CPPUNIT_ASSERT(t.links.isBroken({"r1"}));
        CPPUNIT_ASSERT(!t.links.isBroken({"r2"}));
        CPPUNIT_ASSERT(!t.links.isCutOff());
    }

    /// Guards against requests that each find out anew, one runner after the other, that none can
    /// be reached.
    void severalBrokenLinksInARowConcernAllRunners()
    {
        fixture t;
        t.breakLink("r1");
        t.breakLink("r2");
        CPPUNIT_ASSERT(t.links.isCutOff());
        CPPUNIT_ASSERT(t.links.isBroken({"r3"}));
        CPPUNIT_ASSERT(t.links.isSilent({"r3"}));
    }

    /// Guards against an instance that counts itself cut off because it lacks some links.
    void linksThatBreakBetweenSoundOnesConcernTheirRunnersOnly()
    {
        fixture t;
        for (const char *runner : {"r1", "r2", "r3"}) {
            t.breakLink(runner);
            t.links.recordReached({"sound"});
        }
        CPPUNIT_ASSERT(!t.links.isCutOff());
        CPPUNIT_ASSERT(!t.links.isBroken({"r4"}));
        CPPUNIT_ASSERT(t.links.isBroken({"r3"}));
    }

    void oneReachedRunnerEndsTheCut()
    {
        fixture t;
        t.breakLink("r1");
        t.breakLink("r2");
        CPPUNIT_ASSERT(t.links.recordReached({"r1"}));
        CPPUNIT_ASSERT(!t.links.isCutOff());
        CPPUNIT_ASSERT(!t.links.isBroken({"r1"}));
        CPPUNIT_ASSERT(t.links.isBroken({"r2"}));
    }

    void unlistedRunnersDontKeepAnInstanceCutOff()
    {
        fixture t;
        t.breakLink("r1");
        t.breakLink("r2");
        t.links.remove({"r1"});
        CPPUNIT_ASSERT(t.links.isCutOff());
        t.links.remove({"r2"});
        CPPUNIT_ASSERT(!t.links.isCutOff());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, t.links.brokenCount());
    }

    /// Guards against calls that are given up although their connections still work.
    void callsOverRefusingLinksGoOn()
    {
        fixture t;
        t.breakLink("r1", connect_end::Refused);
        t.breakLink("r2", connect_end::Refused);
        CPPUNIT_ASSERT(t.links.isBroken({"r1"}));
        CPPUNIT_ASSERT(!t.links.isSilent({"r1"}));
        CPPUNIT_ASSERT(!t.links.isSilent({"r3"}));
    }

    void oneSilentRunnerIsNotChecked()
    {
        fixture t;
        CPPUNIT_ASSERT(!t.links.recordSilentCall({"r1"}));
        CPPUNIT_ASSERT(!t.links.recordSilentCall({"r1"}));
        CPPUNIT_ASSERT(t.links.takeSilentRunners().empty());
    }

    /// Guards against probes on calm days, when a long prompt takes its time.
    void silentRunnersAreNotCheckedWhileOthersAnswer()
    {
        fixture t;
        t.links.recordSilentCall({"r1"});
        t.links.recordHeard();
        CPPUNIT_ASSERT(!t.links.recordSilentCall({"r2"}));
        CPPUNIT_ASSERT(t.links.recordSilentCall({"r3"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, t.links.takeSilentRunners().size());
        CPPUNIT_ASSERT(t.links.takeSilentRunners().empty());
    }

    void eachBrokenLinkIsProbedOncePerInterval()
    {
        fixture t;
        for (std::size_t i = 0; i < config::maxLinkProbes + 2; ++i)
            t.breakLink("r" + std::to_string(i));
        CPPUNIT_ASSERT(t.links.takeDueProbes().empty());
        t.now += config::linkProbeInterval;
        CPPUNIT_ASSERT_EQUAL(config::maxLinkProbes, t.links.takeDueProbes().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, t.links.takeDueProbes().size());
        CPPUNIT_ASSERT(t.links.takeDueProbes().empty());
    }

    /// Guards against a state that grows with the fleet: what is known of two links decides for
    /// all.
    void tenThousandRunnersNeedTwoBrokenLinks()
    {
        fixture t;
        t.breakLink("r1");
        t.breakLink("r2");
        for (int i = 0; i < 10'000; ++i)
            CPPUNIT_ASSERT(t.links.isBroken({"runner-" + std::to_string(i)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, t.links.brokenCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_table_test);

} // namespace poplarspool::gateway
