#include "gateway/caller_limits.h"
#include "platform/decode.h"
#include "platform/dialect.h"
#include "platform/store_wire.h"
#include "poplarspool/gateway/catalogue_keeper.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// Routes in which one number is replaced.
json routesWith(const std::string &place, const json &number)
{
    json spec = json::parse(R"({"version":7,
        "routes":[{"host":"h","pathPrefix":"/a/","kind":"idempotent","timeoutMs":3000,
                   "targetLatencyMs":1000,"priority":1,"attempts":1,
                   "split":[{"service":"s","weight":1}]}],
        "services":[{"name":"s","engine":{"slots":8,"kvCapacity":10,"kvTokenBytes":10}}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                  "idleTimeoutMs":15000}})");
    spec[json::json_pointer(place)] = number;
    return spec;
}

constexpr std::array places{"/version",
                            "/routes/0/timeoutMs",
                            "/routes/0/targetLatencyMs",
                            "/routes/0/priority",
                            "/routes/0/attempts",
                            "/routes/0/split/0/weight",
                            "/services/0/engine/slots",
                            "/services/0/engine/kvCapacity",
                            "/services/0/engine/kvTokenBytes",
                            "/limits/maxHeaderBytes",
                            "/limits/maxBodyBytes",
                            "/limits/headerTimeoutMs",
                            "/limits/idleTimeoutMs"};

} // namespace

class odd_numbers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_numbers_test);
    CPPUNIT_TEST(whatIsBelowZeroIsNoCount);
    CPPUNIT_TEST(timesBeyondADayCountAsOne);
    CPPUNIT_TEST(numbersThatFitNowhereAreTakenAsTheMost);
    CPPUNIT_TEST(fractionsCountAsTheirWholePart);
    CPPUNIT_TEST(leasesAndReportsHaveNoOddNumbers);
    CPPUNIT_TEST(revisionsAreCounts);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Read as a huge number, a version below zero would keep all later routes out of force.
    void whatIsBelowZeroIsNoCount()
    {
        for (const char *place : places) {
            for (const json &number : {json(-1), json(-1.5), json(-1e300)}) {
                const auto read = decodeRoutes(routesWith(place, number));
                CPPUNIT_ASSERT_MESSAGE(place, !succeeded(read) || !valueOf(read).refused.empty());
            }
        }
    }

    /// Added to the time of day, they came out as a time long ago: each request was over at once.
    void timesBeyondADayCountAsOne()
    {
        for (const json &number : {json(1LL << 62), json(1e300), json(86'400'001)}) {
            const auto slow =
                    valueOf(decodeRoutes(routesWith("/routes/0/timeoutMs", number))).table;
            CPPUNIT_ASSERT(slow.routes[0].timeLimit == 24h);
            const auto idle =
                    valueOf(decodeRoutes(routesWith("/limits/idleTimeoutMs", number))).table;
            CPPUNIT_ASSERT(gateway::callerLimitsOf(idle.bounds).keepAliveTime >= 24h);
            CPPUNIT_ASSERT(succeeded(gateway::encode(slow, {})));
            CPPUNIT_ASSERT(
                    valueOf(gateway::decodeRouteTable(valueOf(gateway::encode(slow, {})), {}))
                    == slow);
        }
    }

    void numbersThatFitNowhereAreTakenAsTheMost()
    {
        for (const json &number : {json(std::numeric_limits<std::uint64_t>::max()), json(1e300)}) {
            const auto ranked =
                    valueOf(decodeRoutes(routesWith("/routes/0/priority", number))).table;
            CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint32_t>::max(), ranked.routes[0].rank);
            const auto wide =
                    valueOf(decodeRoutes(routesWith("/limits/maxBodyBytes", number))).table;
            CPPUNIT_ASSERT_EQUAL(std::size_t{std::numeric_limits<std::uint32_t>::max()},
                                 wide.bounds.bodyBytes);
        }
    }

    void fractionsCountAsTheirWholePart()
    {
        const auto table = valueOf(decodeRoutes(routesWith("/routes/0/timeoutMs", 1500.9))).table;
        CPPUNIT_ASSERT(table.routes[0].timeLimit == 1500ms);
    }

    void leasesAndReportsHaveNoOddNumbers()
    {
        CPPUNIT_ASSERT(!succeeded(decodeLease({{"holder", "a"}, {"fence", -1}}, {})));
        CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint64_t>::max(),
                             valueOf(decodeLease({{"holder", "a"}, {"fence", 1e300}}, {})).fence);
        CPPUNIT_ASSERT(!platformDialect().readReport(R"({"busy":false,"seq":-1})"));
    }

    void revisionsAreCounts()
    {
        CPPUNIT_ASSERT(!pageOf(json::parse(R"({"items":[],"currentRev":-1.5})"), 0));
        CPPUNIT_ASSERT(!changesOf(json::parse(R"({"events":[],"currentRev":-1})"), 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_numbers_test);

} // namespace poplarspool::adapter
