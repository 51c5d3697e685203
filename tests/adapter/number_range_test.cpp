#include "gateway/caller_limits.h"
#include "platform/decode.h"
#include "platform/dialect.h"
#include "platform/store_wire.h"
#include "poplarspool/gateway/catalogue_updater.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// @param pointer JSON pointer to the number that is replaced.
json routesWith(const std::string &pointer, const json &number)
{
    json spec = json::parse(R"({"version":7,
        "routes":[{"host":"h","pathPrefix":"/a/","kind":"idempotent","timeoutMs":3000,
                   "targetLatencyMs":1000,"priority":1,"attempts":1,
                   "split":[{"service":"s","weight":1}]}],
        "services":[{"name":"s","engine":{"slots":8,"kvCapacity":10,"kvTokenBytes":10}}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                  "idleTimeoutMs":15000}})");
    spec[json::json_pointer(pointer)] = number;
    return spec;
}

constexpr std::array pointers{"/version",
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

class number_range_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(number_range_test);
    CPPUNIT_TEST(negativeNumbersAreRejected);
    CPPUNIT_TEST(timesBeyondADayAreClamped);
    CPPUNIT_TEST(numbersBeyondTheirTypeAreClamped);
    CPPUNIT_TEST(fractionsAreTruncated);
    CPPUNIT_TEST(leasesAndReportsHandleOutOfRangeNumbers);
    CPPUNIT_TEST(negativeRevisionsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Decoded as a huge number, a negative version would keep all later routes from taking effect.
    void negativeNumbersAreRejected()
    {
        for (const char *pointer : pointers) {
            for (const json &number : {json(-1), json(-1.5), json(-1e300)}) {
                const auto decoded = decodeRoutes(routesWith(pointer, number));
                CPPUNIT_ASSERT_MESSAGE(pointer,
                                       !succeeded(decoded) || !valueOf(decoded).rejected.empty());
            }
        }
    }

    /// Guards against overflow: added to the time of day, such a time gave one long past, and each
    /// request timed out at once.
    void timesBeyondADayAreClamped()
    {
        for (const json &number : {json(1LL << 62), json(1e300), json(86'400'001)}) {
            const auto withTimeLimit =
                    valueOf(decodeRoutes(routesWith("/routes/0/timeoutMs", number))).table;
            CPPUNIT_ASSERT(withTimeLimit.routes[0].timeLimit == 24h);
            const auto withIdleTimeout =
                    valueOf(decodeRoutes(routesWith("/limits/idleTimeoutMs", number))).table;
            CPPUNIT_ASSERT(gateway::callerLimitsOf(withIdleTimeout.callerLimits).keepAliveTimeout
                           >= 24h);
            CPPUNIT_ASSERT(succeeded(gateway::encode(withTimeLimit, {})));
            CPPUNIT_ASSERT(valueOf(gateway::decodeRouteTable(
                                   valueOf(gateway::encode(withTimeLimit, {})), {}))
                           == withTimeLimit);
        }
    }

    void numbersBeyondTheirTypeAreClamped()
    {
        for (const json &number : {json(std::numeric_limits<std::uint64_t>::max()), json(1e300)}) {
            const auto withPriority =
                    valueOf(decodeRoutes(routesWith("/routes/0/priority", number))).table;
            CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint32_t>::max(),
                                 withPriority.routes[0].rank);
            const auto withBodyLimit =
                    valueOf(decodeRoutes(routesWith("/limits/maxBodyBytes", number))).table;
            CPPUNIT_ASSERT_EQUAL(std::size_t{std::numeric_limits<std::uint32_t>::max()},
                                 withBodyLimit.callerLimits.bodyBytes);
        }
    }

    void fractionsAreTruncated()
    {
        const auto table = valueOf(decodeRoutes(routesWith("/routes/0/timeoutMs", 1500.9))).table;
        CPPUNIT_ASSERT(table.routes[0].timeLimit == 1500ms);
    }

    void leasesAndReportsHandleOutOfRangeNumbers()
    {
        CPPUNIT_ASSERT(!succeeded(decodeLease({{"holder", "a"}, {"fence", -1}}, {})));
        CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint64_t>::max(),
                             valueOf(decodeLease({{"holder", "a"}, {"fence", 1e300}}, {})).fence);
        CPPUNIT_ASSERT(!platformDialect().parseReport(R"({"busy":false,"seq":-1})"));
    }

    void negativeRevisionsAreRejected()
    {
        CPPUNIT_ASSERT(!pageOf(json::parse(R"({"items":[],"currentRev":-1.5})"), 0));
        CPPUNIT_ASSERT(!changesOf(json::parse(R"({"events":[],"currentRev":-1})"), 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(number_range_test);

} // namespace poplarspool::adapter
