#include "poplarspool/withdrawals/limits.h"
#include "poplarspool/withdrawals/withdrawal_registry.h"
#include "withdrawals/life_map.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::withdrawals {

namespace {

using namespace std::chrono_literals;

const runner_life first{{"i-1"}, 1000};

} // namespace

class withdrawal_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(withdrawal_registry_test);
    CPPUNIT_TEST(runnerLeavesUntilItsIncarnationEnds);
    CPPUNIT_TEST(answerWithoutTheWordDoesNotEndALeave);
    CPPUNIT_TEST(wrongWordIsForgottenInTheEnd);
    CPPUNIT_TEST(leaveGoesBeforeARest);
    CPPUNIT_TEST(nextIncarnationDoesNotRest);
    CPPUNIT_TEST(refusalsInARestAreLoggedOnce);
    CPPUNIT_TEST(runnerThatHasReturnedIsForgotten);
    CPPUNIT_TEST(sendsAgainstARunnersWordAreCounted);
    CPPUNIT_TEST(firstRequestsAfterARestAreAdmittedOneByOne);
    CPPUNIT_TEST(mapEvictsWhatWasSetFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    void runnerLeavesUntilItsIncarnationEnds()
    {
        answer(first, 200, {{"Leaves", "1"}});
        now += 1s;
        CPPUNIT_ASSERT((registry.find(first) == withdrawal{withdrawal_kind::Leaves, 1s, 0ms}));
        CPPUNIT_ASSERT(kindOf({{"i-1"}, 0}) == withdrawal_kind::Leaves);
        CPPUNIT_ASSERT(kindOf({{"i-1"}, 2000}) == withdrawal_kind::None);
        CPPUNIT_ASSERT(kindOf({{"i-2"}, 1000}) == withdrawal_kind::None);
    }

    void answerWithoutTheWordDoesNotEndALeave()
    {
        answer(first, 200, {{"Leaves", "1"}});
        answer(first, 200, {});
        CPPUNIT_ASSERT(kindOf(first) == withdrawal_kind::Leaves);
    }

    void wrongWordIsForgottenInTheEnd()
    {
        answer(first, 200, {{"Leaves", "1"}});
        now += config::leaveRetention + 1s;
        answer({{"i-2"}, 1}, 200, {{"Leaves", "1"}});
        CPPUNIT_ASSERT(kindOf(first) == withdrawal_kind::None);
    }

    void leaveGoesBeforeARest()
    {
        answer(first, 503, {{"Leaves", "1"}, {"Retry-After", "3"}});
        CPPUNIT_ASSERT(kindOf(first) == withdrawal_kind::Leaves);
    }

    void nextIncarnationDoesNotRest()
    {
        answer(first, 503, {{"Retry-After", "3"}});
        CPPUNIT_ASSERT(kindOf(first) == withdrawal_kind::Rests);
        CPPUNIT_ASSERT(kindOf({{"i-1"}, 2000}) == withdrawal_kind::None);
    }

    void refusalsInARestAreLoggedOnce()
    {
        for (int i = 0; i < 100; ++i) {
            answer(first, 503, {{"Retry-After", "3"}});
            now += 1ms;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.events({"runner_rest", {}, {}}).size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100},
                             metrics.counterOf("poplarspool_runner_rests_total").get());
    }

    void runnerThatHasReturnedIsForgotten()
    {
        answer(first, 503, {{"Retry-After", "3"}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, restingCount());
        now += 3s;
        for (std::uint32_t i = 0; i < config::acceptancesToReturn; ++i)
            answer(first, 200, {});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, restingCount());
    }

    void sendsAgainstARunnersWordAreCounted()
    {
        answer(first, 503, {{"Retry-After", "3"}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, unwanted("rests"));
        now += 1s;
        answer(first, 503, {{"Retry-After", "3"}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, unwanted("rests"));
        answer(first, 200, {{"Leaves", "1"}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, unwanted("leaves"));
        now += 1s;
        answer(first, 200, {});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, unwanted("leaves"));
    }

    void firstRequestsAfterARestAreAdmittedOneByOne()
    {
        answer(first, 503, {{"Retry-After", "3"}});
        CPPUNIT_ASSERT(registry.admit(first).kind == withdrawal_kind::Rests);
        now += 3s;
        CPPUNIT_ASSERT(registry.admit(first).kind == withdrawal_kind::None);
        CPPUNIT_ASSERT(registry.admit(first).kind == withdrawal_kind::Returns);
        CPPUNIT_ASSERT(kindOf(first) == withdrawal_kind::Returns);
        answer(first, 200, {});
        CPPUNIT_ASSERT(registry.admit(first).kind == withdrawal_kind::None);
    }

    void mapEvictsWhatWasSetFirst()
    {
        life_map<int> map(2);
        map.set({{"a"}, 1}, 1, now);
        map.set({{"b"}, 1}, 2, now + 1s);
        map.set({{"c"}, 1}, 3, now + 2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, map.size());
        CPPUNIT_ASSERT(map.find({{"a"}, 1}) == nullptr);
        CPPUNIT_ASSERT_EQUAL(3, *map.find({{"c"}, 1}));
    }

private:
    void answer(const runner_life &from, int status, const http_headers &headers)
    {
        const auto kind = status == 200 ? answer_kind::Accepted : answer_kind::Refused;
        registry.recordAnswer({from, status, headers, kind, now, "q", {}});
    }

    withdrawal_kind kindOf(const runner_life &runner) const { return registry.find(runner).kind; }
    std::uint64_t unwanted(const std::string &why)
    {
        return metrics.counterOf("poplarspool_unwanted_sends_total{runner=\"" + why + "\"}").get();
    }
    std::int64_t restingCount() { return metrics.gaugeOf("poplarspool_resting_runners").get(); }

    mono_time now{1h};
    metrics_registry metrics;
    const clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    journal events{{"test"}, clock, 1024};
    const peer::fleet_view fleet{{{"edge-0"}, {"10.0.0.1", 7000}}};
    withdrawal_registry registry{{{"edge-0"},
                                  "Leaves",
                                  [](const std::vector<endpoint> &, const result<std::string> &) {},
                                  {[](const runner_life &) {}},
                                  fleet,
                                  clock,
                                  metrics,
                                  events}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(withdrawal_registry_test);

} // namespace poplarspool::withdrawals
