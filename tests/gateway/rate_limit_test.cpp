#include "poplarspool/gateway/rate_limit.h"

#include "gateway/rate_limit_table.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/load_exchange.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

rate_limit_reading readingOf(const std::string &value)
{
    return readRateLimit({{"Other", "3"}, {"rate", value}}, "Rate");
}

constexpr mono_time start{std::chrono::hours(1)};

rate_limit_observation observed(std::optional<double> perSecond, milliseconds askedAt,
                                milliseconds heardAt, std::uint64_t startedAtMs = 1)
{
    rate_limit_observation made;
    made.startedAtMs = startedAtMs;
    made.perSecond = perSecond;
    made.askedAt = start + askedAt;
    made.heardAt = start + heardAt;
    return made;
}

} // namespace

class rate_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rate_limit_test);
    CPPUNIT_TEST(decimalNumbersAreRead);
    CPPUNIT_TEST(zeroLeavesOneRequestInTenSeconds);
    CPPUNIT_TEST(hugeLimitIsBounded);
    CPPUNIT_TEST(otherTextNeitherBeginsNorEndsALimit);
    CPPUNIT_TEST(lowestOfSeveralValuesCounts);
    CPPUNIT_TEST(answerAskedForLaterHolds);
    CPPUNIT_TEST(overtakenAnswerNeitherEndsNorRenewsALimit);
    CPPUNIT_TEST(stricterOfOverlappingAnswersHolds);
    CPPUNIT_TEST(newIncarnationHasNoLimit);
    CPPUNIT_TEST(changesAreReportedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void decimalNumbersAreRead()
    {
        for (const auto &[text, value] : {std::pair{"8", 8.0}, {"8.1", 8.1}, {" 0.5 ", 0.5}}) {
            const rate_limit_reading reading = readingOf(text);
            CPPUNIT_ASSERT(reading.kind == rate_limit_kind::Limited);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(value, reading.perSecond, 1e-9);
        }
        CPPUNIT_ASSERT(readRateLimit({{"Other", "3"}}, "Rate").kind == rate_limit_kind::None);
    }

    void zeroLeavesOneRequestInTenSeconds()
    {
        CPPUNIT_ASSERT((readingOf("0") == rate_limit_reading{rate_limit_kind::Limited, 0.1}));
    }

    void hugeLimitIsBounded()
    {
        CPPUNIT_ASSERT_EQUAL(config::maxRateLimit, readingOf("99999999999999").perSecond);
    }

    void otherTextNeitherBeginsNorEndsALimit()
    {
        for (const std::string &text :
             {std::string("-1"), std::string("nan"), std::string("inf"), std::string("8,1"),
              std::string("8 a second"), std::string("1e3"), std::string("0x10"), std::string(),
              std::string(33, '1')})
            CPPUNIT_ASSERT_MESSAGE(text, readingOf(text).kind == rate_limit_kind::Unreadable);
    }

    void lowestOfSeveralValuesCounts()
    {
        const http_headers headers{{"Rate", "9"}, {"Rate", "x"}, {"RATE", "7"}, {"Rate", "8"}};
        CPPUNIT_ASSERT((readRateLimit(headers, "Rate")
                        == rate_limit_reading{rate_limit_kind::Limited, 7}));
    }

    void answerAskedForLaterHolds()
    {
        const auto limited = observed(8, 0ms, 10ms);
        for (const std::optional<double> later : {std::optional<double>(), std::optional(9.0)}) {
            const auto next = observed(later, 10ms, 20ms);
            CPPUNIT_ASSERT(validOf(limited, next) == next);
            CPPUNIT_ASSERT(validOf(next, limited) == next);
        }
    }

    /// Guards against a long answer, whose head was written before the runner was in need, that
    /// ends the limit; and one that renews it.
    void overtakenAnswerNeitherEndsNorRenewsALimit()
    {
        const auto limited = observed(8, 100ms, 110ms);
        CPPUNIT_ASSERT(validOf(limited, observed(std::nullopt, 0ms, 500ms)) == limited);
        const auto ended = observed(std::nullopt, 200ms, 210ms);
        CPPUNIT_ASSERT(validOf(ended, observed(8, 90ms, 200ms)) == ended);
    }

    void stricterOfOverlappingAnswersHolds()
    {
        const auto low = observed(7, 0ms, 20ms);
        const auto high = observed(9, 10ms, 30ms);
        CPPUNIT_ASSERT(validOf(low, high) == low);
        CPPUNIT_ASSERT(validOf(high, low) == low);
    }

    void newIncarnationHasNoLimit()
    {
        rate_limit_table table;
        runner target;
        target.id.text = "r";
        target.startedAtMs = 100;
        table.record(peer::runnerKey(target.id), observed(8, 0ms, 10ms, 100));
        CPPUNIT_ASSERT(table.limitOf(target).has_value());
        target.startedAtMs = 200;
        CPPUNIT_ASSERT(!table.limitOf(target).has_value());
        const auto ofNext = observed(3, 0ms, 5ms, 200);
        CPPUNIT_ASSERT(validOf(observed(8, 50ms, 60ms, 100), ofNext) == ofNext);
        CPPUNIT_ASSERT(validOf(ofNext, observed(8, 50ms, 60ms, 100)) == ofNext);
    }

    void changesAreReportedOnce()
    {
        rate_limit_table table;
        CPPUNIT_ASSERT(!table.record(5, observed(std::nullopt, 0ms, 1ms)));
        CPPUNIT_ASSERT(
                (table.record(5, observed(8, 10ms, 20ms)) == rate_limit_change{std::nullopt, 8}));
        CPPUNIT_ASSERT(!table.record(5, observed(8, 30ms, 40ms)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.limitedCount());
        CPPUNIT_ASSERT((table.record(5, observed(std::nullopt, 50ms, 60ms))
                        == rate_limit_change{8, std::nullopt}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.limitedCount());
        CPPUNIT_ASSERT(!table.record(5, observed(8, 45ms, 49ms)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_limit_test);

} // namespace poplarspool::gateway
