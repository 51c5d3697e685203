#include "fixture.h"
#include "poplarspool/policy/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace poplarspool::policy {

using namespace fixture;

class routing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_test);
    CPPUNIT_TEST(unknownModelIsNotFound);
    CPPUNIT_TEST(unavailableRunnersAreReported);
    CPPUNIT_TEST(requestThatWouldBeLateIsRefused);
    CPPUNIT_TEST(requestBeyondKvMemoryIsRefused);
    CPPUNIT_TEST(singleInstanceChoosesLeastLoaded);
    CPPUNIT_TEST(manyInstancesDoNotHerd);
    CPPUNIT_TEST(staleReportIsNotIdle);
    CPPUNIT_TEST(burstIsSpreadBetweenReports);
    CPPUNIT_TEST(reportedWorkIsNotCountedTwice);
    CPPUNIT_TEST(fullKvMemoryDelaysRequests);
    CPPUNIT_TEST(lowPriorityQueueDoesNotBlockHighPriority);
    CPPUNIT_TEST(samePrefixIsRoutedToSameEngine);
    CPPUNIT_TEST(prefixAffinityYieldsToLoad);
    CPPUNIT_TEST(ownZoneIsPreferredUnlessMoreLoaded);
    CPPUNIT_TEST(requestsMatchEngineRoles);
    CPPUNIT_TEST(indexOfOtherInventoryIsIgnored);
    CPPUNIT_TEST(longListsAreScoredPartially);
    CPPUNIT_TEST(servicesAreRouted);
    CPPUNIT_TEST_SUITE_END();

    std::vector<sent_work> sent{100};

    result<route_choice> tryRoute(const view &now, const route_request &wanted,
                                  std::uint64_t tieBreak = 7) const
    {
        return route(now, wanted, sent, startTime, tieBreak);
    }

    std::uint32_t chosen(const view &now, const route_request &wanted,
                         std::uint64_t tieBreak = 7) const
    {
        return valueOf(tryRoute(now, wanted, tieBreak)).runner.index;
    }

    error refusal(const view &now, const route_request &wanted) const
    {
        error refused = errorOf(tryRoute(now, wanted));
        CPPUNIT_ASSERT(refused.ran == verdict::NotRun);
        return refused;
    }

    std::map<std::uint32_t, int> countChoices(const view &now, const route_request &wanted,
                                              int draws) const
    {
        std::map<std::uint32_t, int> counts;
        for (int i = 0; i < draws; ++i)
            ++counts[chosen(now, wanted, i)];
        return counts;
    }

public:
    void unknownModelIsNotFound()
    {
        route_request wanted = readerRequest();
        wanted.model = "unknown";
        CPPUNIT_ASSERT(refusal(makeView(makeFleet(2)), wanted).code == error_code::NotFound);
    }

    void unavailableRunnersAreReported()
    {
        const auto fleet = makeFleet(6);
        fleet->runners[0].isDraining = true;
        view now = makeView(fleet);
        now.runners[1].isReserved = true;
        now.runners[2].report.isChanging = true;
        now.runners[3].health = runner_health::Down;
        now.runners[4].report.models.clear();
        route_request wanted = readerRequest();
        CPPUNIT_ASSERT_EQUAL(5u, chosen(now, wanted));
        wanted.avoid = {runner_handle{5}};
        const error refused = refusal(now, wanted);
        CPPUNIT_ASSERT(refused.code == error_code::Unavailable);
        CPPUNIT_ASSERT(refused.retryAfter == config::noRunnerRetryAfter);
    }

    void requestThatWouldBeLateIsRefused()
    {
        view now = makeView(makeFleet(2));
        for (auto &runner : now.runners)
            setStreams(runner, 60);
        route_request wanted = readerRequest();
        const milliseconds end = valueOf(tryRoute(now, wanted)).expectedEnd;
        wanted.timeLeft = end - milliseconds(500);
        const error refused = refusal(now, wanted);
        CPPUNIT_ASSERT(refused.code == error_code::Overloaded);
        CPPUNIT_ASSERT(refused.retryAfter == milliseconds(500));
    }

    void requestBeyondKvMemoryIsRefused()
    {
        route_request wanted = readerRequest();
        wanted.promptTokens = 16 * 1000;
        CPPUNIT_ASSERT(refusal(makeView(makeFleet(2)), wanted).code == error_code::TooLarge);
    }

    void singleInstanceChoosesLeastLoaded()
    {
        view now = makeView(makeFleet(9));
        for (std::uint32_t i = 0; i < 9; ++i)
            setStreams(now.runners[i], i == 4 ? 20 : 40);
        CPPUNIT_ASSERT_EQUAL(1000, countChoices(now, readerRequest(), 1000)[4]);
    }

    /// Guards against late first tokens after an engine has become idle: until its next report all
    /// instances have the same report of it, and if each sent its next requests there, it would be
    /// the most loaded one. The more instances there are, the more of them must choose another
    /// engine.
    void manyInstancesDoNotHerd()
    {
        view now = makeView(makeFleet(9), 30);
        for (std::uint32_t i = 0; i < 9; ++i) {
            setStreams(now.runners[i], i == 4 ? 25 : 30);
            now.runners[i].reportedAt = startTime - milliseconds(500);
            sent[i].open = 1;
        }
        const auto counts = countChoices(now, readerRequest(), 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, counts.size());
        CPPUNIT_ASSERT(counts.at(4) > 1000 / 9);
        CPPUNIT_ASSERT(counts.at(4) < 1000 / 2);
    }

    /// Guards against requests that queue at one engine while others are idle: its reports stopped
    /// while it was idle, and a stale report taken as current attracts all requests.
    void staleReportIsNotIdle()
    {
        view now = makeView(makeFleet(2));
        setStreams(now.runners[1], 20);
        now.runners[0].reportedAt = startTime - config::loadReportExpiry - milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(1u, chosen(now, readerRequest()));
        setStreams(now.runners[1], 50);
        CPPUNIT_ASSERT_EQUAL(0u, chosen(now, readerRequest()));
    }

    void burstIsSpreadBetweenReports()
    {
        const view now = makeView(makeFleet(5));
        for (int i = 0; i < 50; ++i) {
            sent_work &at = sent[chosen(now, readerRequest(), i)];
            ++at.open;
            ++at.openSinceReport;
            at.prefillTokensSinceReport += readerRequest().promptTokens;
        }
        for (std::uint32_t i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(sent[i].open >= 8);
            CPPUNIT_ASSERT(sent[i].open <= 12);
        }
    }

    void reportedWorkIsNotCountedTwice()
    {
        view now = makeView(makeFleet(1));
        setStreams(now.runners[0], 30);
        const milliseconds alone = valueOf(tryRoute(now, readerRequest())).expectedEnd;
        sent[0] = {30, 0, 0};
        CPPUNIT_ASSERT(valueOf(tryRoute(now, readerRequest())).expectedEnd == alone);
        sent[0] = {30, 10, 0};
        CPPUNIT_ASSERT(valueOf(tryRoute(now, readerRequest())).expectedEnd > alone);
    }

    void fullKvMemoryDelaysRequests()
    {
        view now = makeView(makeFleet(2));
        setStreams(now.runners[0], 20);
        const milliseconds startWithRoom = valueOf(tryRoute(now, readerRequest())).expectedStart;
        now.runners[0].report.kvPiecesUsed = 980;
        setStreams(now.runners[1], 21);
        CPPUNIT_ASSERT_EQUAL(1u, chosen(now, readerRequest()));
        now.runners[1].isReserved = true;
        CPPUNIT_ASSERT(valueOf(tryRoute(now, readerRequest())).expectedStart > startWithRoom);
        now.runners[1].isReserved = false;
        route_request small = readerRequest();
        small.promptTokens = 50;
        small.outputTokens = 50;
        CPPUNIT_ASSERT_EQUAL(0u, chosen(now, small));
    }

    /// Guards against refusing interactive requests while batch work runs: low-priority requests
    /// with minutes left fill the engines' queues. A high-priority request with seconds left is
    /// served before them, but by the length of the queue alone it would seem to be late.
    void lowPriorityQueueDoesNotBlockHighPriority()
    {
        view now = makeView(makeFleet(1));
        setStreams(now.runners[0], 20);
        now.runners[0].report.queued = 200;
        now.runners[0].report.prefillTokensQueued = 200'000;
        route_request wanted = readerRequest();
        wanted.timeLeft = std::chrono::seconds(5);
        CPPUNIT_ASSERT(refusal(now, wanted).code == error_code::Overloaded);
        wanted.rank = 0;
        CPPUNIT_ASSERT_EQUAL(0u, chosen(now, wanted));
    }

    void samePrefixIsRoutedToSameEngine()
    {
        view now = makeView(makeFleet(9), 8);
        route_request wanted = readerRequest();
        wanted.prefixHash = 12345;
        const std::uint32_t home = chosen(now, wanted);
        CPPUNIT_ASSERT_EQUAL(1000, countChoices(now, wanted, 1000)[home]);
        const std::uint32_t other = home == 0 ? 1 : 0;
        now.runners[other].isReserved = true;
        CPPUNIT_ASSERT_EQUAL(home, chosen(now, wanted));
        std::map<std::uint32_t, int> homes;
        for (std::uint64_t prefix = 1; prefix <= 900; ++prefix) {
            wanted.prefixHash = prefix * 0x9e3779b97f4a7c15u;
            ++homes[chosen(now, wanted)];
        }
        for (const auto &[engine, prefixes] : homes)
            CPPUNIT_ASSERT(prefixes > 50 && prefixes < 200);
    }

    /// Guards against an overloaded engine while eight are idle: if all requests share one prompt
    /// prefix and its load is not bounded, affinity sends them all to the engine that has the
    /// prefix cached.
    void prefixAffinityYieldsToLoad()
    {
        view now = makeView(makeFleet(9), 8);
        route_request wanted = readerRequest();
        wanted.prefixHash = 12345;
        const std::uint32_t home = chosen(now, wanted);
        setStreams(now.runners[home], 30);
        const std::uint32_t second = chosen(now, wanted);
        CPPUNIT_ASSERT(second != home);
        CPPUNIT_ASSERT_EQUAL(100, countChoices(now, wanted, 100)[second]);
        setStreams(now.runners[second], 30);
        CPPUNIT_ASSERT(countChoices(now, wanted, 100).size() > 1);
    }

    void ownZoneIsPreferredUnlessMoreLoaded()
    {
        view now = makeView(makeFleet(4));
        for (std::uint32_t i = 0; i < 4; ++i)
            setStreams(now.runners[i], 20);
        route_request wanted = readerRequest();
        wanted.zone = {"b"};
        for (const auto &[engine, count] : countChoices(now, wanted, 100))
            CPPUNIT_ASSERT(now.fleet->runners[engine].zone == wanted.zone);
        setStreams(now.runners[1], 40);
        setStreams(now.runners[3], 40);
        for (const auto &[engine, count] : countChoices(now, wanted, 100))
            CPPUNIT_ASSERT(now.fleet->runners[engine].zone != wanted.zone);
    }

    void requestsMatchEngineRoles()
    {
        view now = makeView(makeFleet(3));
        for (std::uint32_t i = 0; i < 3; ++i)
            setStreams(now.runners[i], 15);
        now.runners[0].report.role = engine_role::Prefill;
        now.runners[1].report.role = engine_role::Decode;
        route_request wanted = readerRequest();
        wanted.promptTokens = 6000;
        wanted.outputTokens = 4;
        CPPUNIT_ASSERT_EQUAL(0u, chosen(now, wanted));
        wanted.promptTokens = 100;
        wanted.outputTokens = 400;
        CPPUNIT_ASSERT_EQUAL(2u, chosen(now, wanted));
        wanted.avoid = {runner_handle{0}, runner_handle{2}};
        CPPUNIT_ASSERT_EQUAL(1u, chosen(now, wanted));
    }

    /// Guards against requests sent to a runner without their model: if the inventory is replaced
    /// without its index, handles from the old index refer to other runners.
    void indexOfOtherInventoryIsIgnored()
    {
        view now = makeView(makeFleet(3));
        const auto smaller = makeFleet(3);
        smaller->runners.erase(smaller->runners.begin());
        now.fleet = smaller;
        now.runners.erase(now.runners.begin());
        setStreams(now.runners[0], 40);
        const std::uint32_t without = chosen(now, readerRequest());
        CPPUNIT_ASSERT_EQUAL(1u, without);
        now.index = std::make_shared<const view_index>(indexOf(now.fleet));
        CPPUNIT_ASSERT_EQUAL(without, chosen(now, readerRequest()));
    }

    void longListsAreScoredPartially()
    {
        view now = makeView(makeFleet(300), 1);
        const auto counts = countChoices(now, readerRequest(), 3000);
        CPPUNIT_ASSERT(counts.size() > 200);
        for (std::uint32_t i = 0; i < 299; ++i)
            now.runners[i].isReserved = true;
        CPPUNIT_ASSERT_EQUAL(299u, chosen(now, readerRequest()));
    }

    void servicesAreRouted()
    {
        const view now = makeView(makeFleet(2));
        route_request wanted;
        wanted.service = "portal";
        wanted.timeLeft = std::chrono::seconds(1);
        CPPUNIT_ASSERT_EQUAL(2u, chosen(now, wanted));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_test);

} // namespace poplarspool::policy
