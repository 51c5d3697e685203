#include "poplarspool/fairness/work_share.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::fairness {

namespace {

using namespace std::chrono_literals;

const mono_time start{1000s};
const std::string service = "chat";
constexpr std::uint32_t light = 1;
constexpr std::uint32_t heavy = 2;

/// Requests of one workspace.
work_counts requests(std::uint32_t asked, std::uint32_t sends, std::uint64_t workEach = 100)
{
    return {asked, sends, sends * workEach};
}

work_table tableOf(const work_counts &ofLight, const work_counts &ofHeavy)
{
    work_table table;
    addCounts(table, {service, light}, start, ofLight);
    addCounts(table, {service, heavy}, start, ofHeavy);
    return table;
}

bool isAbove(const work_table &table, std::uint32_t workspace,
             const std::vector<work_report> &reports = {}, mono_time now = start)
{
    return shareOf(mergeLoads(table, reports, service, now), workspace).withinPart < 1;
}

} // namespace

class work_share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(work_share_test);
    CPPUNIT_TEST(windowForgetsOldWork);
    CPPUNIT_TEST(levelMeetsSmallDemandsInFull);
    CPPUNIT_TEST(heavyWorkspaceIsAboveItsShare);
    CPPUNIT_TEST(equalWorkspacesThatGetWhatTheyAskAreNotAbove);
    CPPUNIT_TEST(requestsForTheShareAreWithinIt);
    CPPUNIT_TEST(workspaceAloneIsNotAbove);
    CPPUNIT_TEST(refusedRetriesRaiseNoShare);
    CPPUNIT_TEST(fewRequestsDecideNothing);
    CPPUNIT_TEST(reportsCount);
    CPPUNIT_TEST(oldReportsExpire);
    CPPUNIT_TEST(youngInstanceScalesItsRequests);
    CPPUNIT_TEST(reportIsSplitByService);
    CPPUNIT_TEST(lightestWorkspacesAreEvicted);
    CPPUNIT_TEST(reportHasTheHeaviestFirst);
    CPPUNIT_TEST(unknownWorkspaceIsNotAbove);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a workspace that is held back for work long done.
    void windowForgetsOldWork()
    {
        work_window window;
        addCounts(window, start, requests(3, 2));
        CPPUNIT_ASSERT(countsIn(window, start + 3700ms) == requests(3, 2));
        CPPUNIT_ASSERT(countsIn(window, start + 4s) == work_counts{});
        addCounts(window, start + 10s, requests(1, 1));
        CPPUNIT_ASSERT(countsIn(window, start + 10s) == requests(1, 1));
    }

    /// Guards against a level that leaves capacity unused or cuts a demand below it.
    void levelMeetsSmallDemandsInFull()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(40, maxMinLevel({100, 20, 90}, 100), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30, maxMinLevel({10, 30}, 100), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, maxMinLevel({}, 100), 1e-9);
    }

    /// Guards against a heavy workspace that takes the capacity of a light one.
    void heavyWorkspaceIsAboveItsShare()
    {
        const work_table table = tableOf(requests(15, 15), requests(500, 85));
        CPPUNIT_ASSERT(isAbove(table, heavy));
        CPPUNIT_ASSERT(!isAbove(table, light));
    }

    /// Guards against workspaces that are made late by noise in the counts.
    void equalWorkspacesThatGetWhatTheyAskAreNotAbove()
    {
        const work_table table = tableOf(requests(52, 52), requests(48, 48));
        CPPUNIT_ASSERT(!isAbove(table, light));
        CPPUNIT_ASSERT(!isAbove(table, heavy));
    }

    /// Guards against a workspace that gets less than its own share by asking for more.
    void requestsForTheShareAreWithinIt()
    {
        const work_table table = tableOf(requests(50, 50), requests(500, 50));
        const auto verdict = shareOf(mergeLoads(table, {}, service, start), heavy);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(config::guaranteedSharePart * 50, 500 * verdict.withinPart,
                                     1e-9);
        CPPUNIT_ASSERT(!isAboveShare(verdict, 0.08));
        CPPUNIT_ASSERT(isAboveShare(verdict, 0.1));
    }

    /// Guards against late requests where nobody competes for the capacity.
    void workspaceAloneIsNotAbove()
    {
        CPPUNIT_ASSERT(!isAbove(tableOf({}, requests(500, 85)), heavy));
    }

    /// Guards against refused retries that raise the fair share or the work of a workspace.
    void refusedRetriesRaiseNoShare()
    {
        const auto verdictAt = [](std::uint32_t asked, std::uint32_t workspace) {
            const work_table table = tableOf(requests(15, 15), requests(asked, 85));
            return shareOf(mergeLoads(table, {}, service, start), workspace);
        };
        const share_verdict once = verdictAt(500, heavy);
        const share_verdict often = verdictAt(2000, heavy);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500 * once.withinPart, 2000 * often.withinPart, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(once.fairShare, often.fairShare, 1e-9);
        CPPUNIT_ASSERT(verdictAt(500, light) == verdictAt(2000, light));
    }

    /// Guards against decisions by chance on an instance that has just started.
    void fewRequestsDecideNothing()
    {
        CPPUNIT_ASSERT(!isAbove(tableOf(requests(2, 2), requests(17, 10)), heavy));
        CPPUNIT_ASSERT(isAbove(tableOf(requests(2, 2), requests(18, 10)), heavy));
    }

    /// Guards against an instance that doesn't see that others serve a workspace.
    void reportsCount()
    {
        const work_table table = tableOf(requests(30, 20), requests(15, 10));
        CPPUNIT_ASSERT(!isAbove(table, heavy));
        CPPUNIT_ASSERT(isAbove(table, light));
        const std::vector<work_report> reports{{start, {{heavy, 8000}}}};
        CPPUNIT_ASSERT(isAbove(table, heavy, reports));
        CPPUNIT_ASSERT(!isAbove(table, light, reports));
    }

    /// Guards against counts of an instance that is gone or cut off.
    void oldReportsExpire()
    {
        work_table table;
        const mono_time later = start + 4001ms;
        addCounts(table, {service, light}, later, requests(30, 20));
        addCounts(table, {service, heavy}, later, requests(15, 10));
        const std::vector<work_report> reports{{start, {{heavy, 8000}}}};
        CPPUNIT_ASSERT(!isAbove(table, heavy, reports, later));
        CPPUNIT_ASSERT(isAbove(table, heavy, {{later - 4s, reports[0].totals}}, later));
    }

    /// Guards against an instance that has just started and lets a heavy workspace in for several
    /// windows, since it has refused few of its requests yet.
    void youngInstanceScalesItsRequests()
    {
        const work_table table = tableOf(requests(5, 5), requests(45, 45));
        const std::vector<work_report> reports{{start, {{heavy, 8500}, {light, 1500}}}};
        const auto loads = mergeLoads(table, reports, service, start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, shareOf(loads, heavy).withinPart, 1e-9);
        const count_origin young{500ms, 4};
        CPPUNIT_ASSERT(shareOf(loads, heavy, young).withinPart < 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, shareOf(loads, light, young).withinPart, 1e-9);
    }

    /// Guards against a workspace that is held back at one service for its work at another.
    void reportIsSplitByService()
    {
        work_table table = tableOf(requests(20, 20), requests(20, 20));
        addCounts(table, {"batch", heavy}, start, requests(60, 60));
        const auto loads = mergeLoads(table, std::vector<work_report>{{start, {{heavy, 4000}}}},
                                      service, start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3000, loads.back().work, 1e-9);
    }

    /// Guards against a table that grows without bound or forgets the heavy workspaces.
    void lightestWorkspacesAreEvicted()
    {
        work_table table;
        addCounts(table, {service, heavy}, start, requests(10, 10));
        for (std::uint32_t i = 0; i < 20000; ++i)
            addCounts(table, {service, 10 + i}, start, requests(1, 1));
        CPPUNIT_ASSERT_EQUAL(config::maxShareWorkspaces, table.size());
        CPPUNIT_ASSERT(table.contains({service, heavy}));
    }

    /// Guards against reports that leave out the workspaces that matter.
    void reportHasTheHeaviestFirst()
    {
        work_table table = tableOf(requests(1, 1), requests(9, 9));
        addCounts(table, {"batch", light}, start, requests(2, 2));
        addCounts(table, {service, 3}, start, requests(1, 0));
        const std::vector<workspace_total> both{{heavy, 900}, {light, 300}};
        CPPUNIT_ASSERT(heaviestOf(table, start, 16) == both);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heaviestOf(table, start, 1).size());
    }

    /// Guards against a new workspace that is held back before it has sent anything.
    void unknownWorkspaceIsNotAbove()
    {
        CPPUNIT_ASSERT(!isAbove(tableOf(requests(15, 15), requests(500, 85)), 77));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(work_share_test);

} // namespace poplarspool::fairness
