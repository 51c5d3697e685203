#include "poplarspool/withdrawals/limits.h"
#include "poplarspool/withdrawals/withdrawal.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::withdrawals {

namespace {

using namespace std::chrono_literals;

constexpr char leavingHeader[] = "Leaves";
constexpr mono_time start{1h};

withdrawal_reading read(int status, const http_headers &headers)
{
    return readWithdrawal(status, headers, leavingHeader);
}

std::optional<milliseconds> restIn(const std::string &text)
{
    return read(503, {{"Retry-After", text}}).rest;
}

rest_state restOf(milliseconds rest)
{
    return afterRest({}, rest, start);
}

} // namespace

class withdrawal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(withdrawal_test);
    CPPUNIT_TEST(readsThatARunnerLeaves);
    CPPUNIT_TEST(readsRests);
    CPPUNIT_TEST(unreadableRestsSayNothing);
    CPPUNIT_TEST(onlyRefusalsForWantOfRoomAskForRest);
    CPPUNIT_TEST(answersOfOtherRunnersSayNothing);
    CPPUNIT_TEST(shorterRestDoesNotShortenAnother);
    CPPUNIT_TEST(restEndsAtItsTime);
    CPPUNIT_TEST(oneRequestIsSentAtTheEndOfARest);
    CPPUNIT_TEST(moreRequestsAreSentAsTheRunnerAccepts);
    CPPUNIT_TEST(refusedTryPermitsAnother);
    CPPUNIT_TEST(tryWithoutAnswerPermitsAnotherAfterAWhile);
    CPPUNIT_TEST(answersFromBeforeTheEndDoNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsThatARunnerLeaves()
    {
        CPPUNIT_ASSERT(read(200, {{"leaves", " 1 "}}).isLeaving);
        CPPUNIT_ASSERT(read(503, {{"Leaves", "0"}, {"Leaves", "1"}}).isLeaving);
        for (const char *value : {"", "0", "11", "yes", "-1"})
            CPPUNIT_ASSERT(!read(200, {{"Leaves", value}}).isLeaving);
        CPPUNIT_ASSERT(!readWithdrawal(200, {{"", "1"}}, "").isLeaving);
    }

    void readsRests()
    {
        CPPUNIT_ASSERT(restIn("3") == 3000ms);
        CPPUNIT_ASSERT(restIn(" 0.25 ") == 250ms);
        CPPUNIT_ASSERT(restIn("0.0001") == 1ms);
        CPPUNIT_ASSERT(restIn("1000000000000") == config::maxRest);
        const http_headers two{{"Retry-After", "2"}, {"Retry-After", "5"}};
        CPPUNIT_ASSERT(read(503, two).rest == 5000ms);
        const http_headers oneReadable{{"Retry-After", "x"}, {"Retry-After", "2"}};
        CPPUNIT_ASSERT(read(503, oneReadable).rest == 2000ms);
    }

    void unreadableRestsSayNothing()
    {
        for (const char *value : {"", "0", "-3", "nan", "inf", "1e12", "3s", "3 4", "0x3",
                                  "Wed, 21 Oct 2026 07:28:00 GMT"})
            CPPUNIT_ASSERT_MESSAGE(value, !restIn(value));
        CPPUNIT_ASSERT(!restIn(std::string(config::maxRestDigits + 1, '1')));
    }

    void onlyRefusalsForWantOfRoomAskForRest()
    {
        for (const int status : {200, 429, 500, 502, 504})
            CPPUNIT_ASSERT(!read(status, {{"Retry-After", "3"}}).rest);
    }

    void answersOfOtherRunnersSayNothing()
    {
        const http_headers both{{"Leaves", "1"}, {"Retry-After", "3"}};
        CPPUNIT_ASSERT(read(421, both) == withdrawal_reading{});
    }

    void shorterRestDoesNotShortenAnother()
    {
        const rest_state shorter = afterRest(restOf(3s), 1s, start + 500ms);
        CPPUNIT_ASSERT(shorter.endsAt == start + 3s);
        const rest_state longer = afterRest(restOf(3s), 5s, start + 500ms);
        CPPUNIT_ASSERT(longer.endsAt == start + 5500ms);
    }

    void restEndsAtItsTime()
    {
        const rest_state resting = restOf(3s);
        const withdrawal before = withdrawalIn(resting, start + 2999ms);
        CPPUNIT_ASSERT((before == withdrawal{withdrawal_kind::Rests, 2999ms, 1ms}));
        CPPUNIT_ASSERT(withdrawalIn(resting, start + 3s).kind == withdrawal_kind::None);
    }

    /// Guards against the requests of all callers at once at the end of a rest.
    void oneRequestIsSentAtTheEndOfARest()
    {
        const rest_state tried = afterTry(restOf(3s), start + 3s);
        CPPUNIT_ASSERT(withdrawalIn(tried, start + 3001ms).kind == withdrawal_kind::Returns);
    }

    void moreRequestsAreSentAsTheRunnerAccepts()
    {
        rest_state state = restOf(3s);
        std::uint32_t sent = 0;
        for (std::uint32_t accepted = 0; accepted < config::acceptancesToReturn; ++accepted) {
            while (withdrawalIn(state, start + 3s).kind == withdrawal_kind::None) {
                state = afterTry(state, start + 3s);
                ++sent;
            }
            CPPUNIT_ASSERT(!hasReturned(state));
            CPPUNIT_ASSERT_EQUAL(1 + accepted * (config::triesPerAcceptance + 1), sent);
            state = afterAnswer(state, true, start + 3s);
        }
        CPPUNIT_ASSERT(hasReturned(state));
        CPPUNIT_ASSERT(withdrawalIn(state, start + 3s).kind == withdrawal_kind::None);
    }

    void refusedTryPermitsAnother()
    {
        const rest_state tried = afterTry(restOf(3s), start + 3s);
        const rest_state refused = afterAnswer(tried, false, start + 3s);
        CPPUNIT_ASSERT(withdrawalIn(refused, start + 3s).kind == withdrawal_kind::None);
        CPPUNIT_ASSERT_EQUAL(0U, refused.acceptances);
    }

    void tryWithoutAnswerPermitsAnotherAfterAWhile()
    {
        const rest_state tried = afterTry(restOf(3s), start + 3s);
        const mono_time later = start + 3s + config::returnTryTime;
        CPPUNIT_ASSERT(withdrawalIn(tried, later).kind == withdrawal_kind::None);
        CPPUNIT_ASSERT_EQUAL(1U, afterTry(tried, later).openTries);
    }

    void answersFromBeforeTheEndDoNotCount()
    {
        const rest_state tried = afterTry(restOf(3s), start + 3s);
        CPPUNIT_ASSERT(afterAnswer(tried, true, start + 2999ms) == tried);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(withdrawal_test);

} // namespace poplarspool::withdrawals
