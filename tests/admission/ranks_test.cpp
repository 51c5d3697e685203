#include "poplarspool/admission/ranks.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace poplarspool::admission {

using namespace std::chrono_literals;

class ranks_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ranks_test);
    CPPUNIT_TEST(equalWorkspaceRanksLeaveTheOrderToRoutes);
    CPPUNIT_TEST(lowerRanksAreNotAhead);
    CPPUNIT_TEST(roundedLowerRanksDoNotMakeWorkNegative);
    CPPUNIT_TEST(oneInFiveIsPromotable);
    CPPUNIT_TEST(sharesAreThoseOfHigherRanks);
    CPPUNIT_TEST(oldWorkIsForgotten);
    CPPUNIT_TEST(promotionLeavesHalfToOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against serving all classes of requests alike because all workspaces have the same
    /// rank.
    void equalWorkspaceRanksLeaveTheOrderToRoutes()
    {
        CPPUNIT_ASSERT_EQUAL(0U, rankOf(1, 0, false));
        CPPUNIT_ASSERT_EQUAL(2U, rankOf(1, 2, false));
        CPPUNIT_ASSERT_EQUAL(1U, rankOf(1, 2, true));
        CPPUNIT_ASSERT_EQUAL(2U, rankOf(std::nullopt, 2, true));
    }

    /// Guards against judging a request late by work that engines serve after it.
    void lowerRanksAreNotAhead()
    {
        const waiting_work urgent{10, 100};
        const lower_ranks lower{{{1, 20}, {2, 30}, {4, 40}}};
        CPPUNIT_ASSERT((workAhead(urgent, lower, 0) == waiting_work{3, 10}));
        CPPUNIT_ASSERT((workAhead(urgent, lower, 1) == waiting_work{4, 30}));
        CPPUNIT_ASSERT((workAhead(urgent, lower, 2) == waiting_work{6, 60}));
        CPPUNIT_ASSERT((workAhead(urgent, lower, 3) == urgent));
        CPPUNIT_ASSERT((workAhead(urgent, lower, 9) == urgent));
        CPPUNIT_ASSERT((workAhead(urgent, {}, 0) == urgent));
    }

    /// Guards against a negative or overflowing wait: load updates round totals and ranks apart,
    /// and an update may be malformed.
    void roundedLowerRanksDoNotMakeWorkNegative()
    {
        const lower_ranks lower{{{2, 9.6}, {UINT32_MAX, 5}, {}}};
        CPPUNIT_ASSERT((workAhead({2, 9}, lower, 0) == waiting_work{0, 0}));
    }

    /// Guards against a share of promoted requests other than the documented one.
    void oneInFiveIsPromotable()
    {
        int promoted = 0;
        for (int i = 0; i < 10000; ++i)
            promoted += isPromotable("request-" + std::to_string(i)) ? 1 : 0;
        CPPUNIT_ASSERT(promoted > 1850 && promoted < 2150);
        CPPUNIT_ASSERT_EQUAL(isPromotable("request-1"), isPromotable("request-1"));
    }

    /// Guards against a wait of rank 0 that grows by the work of others, and against an infinite
    /// wait of the last rank.
    void sharesAreThoseOfHigherRanks()
    {
        rank_mix mix;
        const mono_time now{1h};
        CPPUNIT_ASSERT((mix.shares() == overtaking_shares{}));
        mix.record(0, 0, 60, now);
        mix.record(1, 1, 20, now);
        mix.record(7, 7, 20, now);
        const overtaking_shares shares = mix.shares();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, overtakingFactor(shares, 0), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, overtakingFactor(shares, 1), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, overtakingFactor(shares, 2), 1e-9);
        mix.record(0, 0, 1e6, now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, overtakingFactor(mix.shares(), 3), 1e-9);
    }

    /// Guards against judging low ranks by a burst of high ones that is over.
    void oldWorkIsForgotten()
    {
        rank_mix mix;
        mix.record(0, 0, 100, mono_time{1h});
        mix.record(1, 1, 100, mono_time{1h} + 10s);
        CPPUNIT_ASSERT(mix.shares()[1] < 0.01);
    }

    /// Guards against promoted requests that take all capacity from rank 0.
    void promotionLeavesHalfToOthers()
    {
        rank_mix mix;
        const mono_time now{1h};
        CPPUNIT_ASSERT(mix.hasRoomForPromotion());
        mix.record(0, 0, 100, now);
        mix.record(0, 2, 100, now);
        CPPUNIT_ASSERT(mix.hasRoomForPromotion());
        mix.record(0, 1, 10, now);
        CPPUNIT_ASSERT(!mix.hasRoomForPromotion());
        mix.record(2, 2, 30, now);
        CPPUNIT_ASSERT(mix.hasRoomForPromotion());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ranks_test);

} // namespace poplarspool::admission
