#include "proxy_fixture.h"

namespace poplarspool::gateway {

namespace {

using test::chunkedStream;
using test::proxy_fixture;
using test::script_end;
using test::scripted_runner;
using test::streamHead;

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: b\n\n";
/// An answer that is lost after its first event, and the rest.
const std::vector<test::script> scripts{{streamHead + firstEvent, script_end::Reset},
                                        {chunkedStream(secondEvent)}};

} // namespace

class earlier_run_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(earlier_run_test);
    CPPUNIT_TEST(streamGoesOnOnceItsRunHasEnded);
    CPPUNIT_TEST(streamIsCutIfItsRunOutlastsTheLimit);
    CPPUNIT_TEST(streamGoesOnAtOnceIfNobodyWorksOnIt);
    CPPUNIT_TEST(streamOfARunnerWithoutReportsGoesOn);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a request that two runners work on: the first one has lost its answer only.
    void streamGoesOnOnceItsRunHasEnded()
    {
        scripted_runner runner(scripts);
        runner.workOnFor(3);
        proxy_fixture test({&runner});
        CPPUNIT_ASSERT(!test.sendRequest("/stream/1"));
        CPPUNIT_ASSERT_EQUAL(firstEvent + secondEvent, test.caller.body);
        CPPUNIT_ASSERT(test.caller.isWhole);
        CPPUNIT_ASSERT(runner.reportCount() > 3);
        CPPUNIT_ASSERT(!test.lastFieldOf("run_awaited", "waited_ms").empty());
    }

    void streamIsCutIfItsRunOutlastsTheLimit()
    {
        scripted_runner runner(scripts);
        runner.workOnFor(1000);
        proxy_fixture test({&runner});
        CPPUNIT_ASSERT(!test.sendRequest("/stream/1", "600"));
        CPPUNIT_ASSERT(!test.caller.isWhole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runner.requests().size());
    }

    void streamGoesOnAtOnceIfNobodyWorksOnIt()
    {
        const scripted_runner runner(scripts);
        proxy_fixture test({&runner});
        CPPUNIT_ASSERT(!test.sendRequest("/stream/1"));
        CPPUNIT_ASSERT(test.caller.isWhole);
        CPPUNIT_ASSERT_EQUAL(std::string(), test.lastFieldOf("run_awaited", "waited_ms"));
    }

    /// Guards against a stream that waits for a runner that says nothing of its runs.
    void streamOfARunnerWithoutReportsGoesOn()
    {
        const scripted_runner runner(scripts, {}, {});
        proxy_fixture test({&runner});
        CPPUNIT_ASSERT(!test.sendRequest("/stream/1"));
        CPPUNIT_ASSERT(test.caller.isWhole);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(earlier_run_test);

} // namespace poplarspool::gateway
