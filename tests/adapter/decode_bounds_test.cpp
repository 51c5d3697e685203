#include "platform/decode.h"
#include "platform/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

json routeEntry(const std::string &name)
{
    json entry{{"name", name},      {"host", "h"},    {"pathPrefix", "/" + name + "/"},
               {"timeoutMs", 3000}, {"service", "s"}, {"kind", "idempotent"},
               {"attempts", 2},     {"priority", 1}};
    return json::parse(entry.dump());
}

json specOf(const std::vector<json> &routes)
{
    json spec = json::parse(R"({"version":7,"services":[{"name":"s"}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                  "idleTimeoutMs":15000}})");
    spec["routes"] = routes;
    return spec;
}

/// Decodes a table of three routes, the second of which is the given entry.
decoded_routes decodeWith(const json &entry)
{
    return valueOf(decodeRoutes(specOf({routeEntry("a"), entry, routeEntry("c")})));
}

json routeWithValue(const std::string &key, const json &value)
{
    json entry = routeEntry("b");
    entry[key] = value;
    return entry;
}

milliseconds decodedTimeLimit(const std::string &number)
{
    return decodeWith(routeWithValue("timeoutMs", json::parse(number))).table.routes[1].timeLimit;
}

std::vector<std::uint32_t> decodedWeights(const std::vector<std::string> &numbers)
{
    json split = json::array();
    for (const std::string &number : numbers)
        split.push_back({{"service", "s"}, {"weight", json::parse(number)}});
    const decoded_routes decoded = decodeWith(routeWithValue("split", split));
    std::vector<std::uint32_t> weights;
    for (const auto &one : decoded.table.routes[1].services)
        weights.push_back(one.weight);
    return weights;
}

} // namespace

class decode_bounds_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decode_bounds_test);
    CPPUNIT_TEST(unreadableRouteDoesNotAffectOthers);
    CPPUNIT_TEST(routeWithUnreadableMatchTakesUnmatchedRequests);
    CPPUNIT_TEST(unreadableServiceDoesNotAffectOthers);
    CPPUNIT_TEST(configurationsWithoutRequiredValuesAreRejected);
    CPPUNIT_TEST(timesAreClampedToMaxRouteTime);
    CPPUNIT_TEST(largeAndFractionalWeightsAreScaled);
    CPPUNIT_TEST(trafficIsSplitWhenWeightSumExceeds32Bits);
    CPPUNIT_TEST(countsBeyondTheirTypeAreClamped);
    CPPUNIT_TEST(runnersWithEmptyNamesAreRejected);
    CPPUNIT_TEST(tablesOfAnySizeAreDecoded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A route that cannot be decoded keeps its index, host and prefix but has no services, so that
    /// only its own callers are refused.
    void unreadableRouteDoesNotAffectOthers()
    {
        const std::vector<std::pair<std::string, json>> faults{
                {"kind", 1},
                {"kind", nullptr},
                {"service", ""},
                {"service", 3},
                {"timeoutMs", -1},
                {"timeoutMs", "3 s"},
                {"timeoutMs", nullptr},
                {"targetLatencyMs", -0.5},
                {"priority", -1},
                {"attempts", "two"},
                {"resumable", "no"},
                {"name", 7},
                {"split", json::parse(R"([{"service":"s","weight":-1}])")},
                {"split", json::parse(R"([{"service":"s"}])")},
                {"split", json::parse(R"([{"service":"","weight":1}])")},
                {"split", json::parse(R"([7])")}};
        for (const auto &[key, value] : faults) {
            json bad = routeWithValue(key, value);
            if (key == "resumable")
                bad["kind"] = "streaming";
            const decoded_routes decoded = decodeWith(bad);
            const std::string description = key + " " + value.dump();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(description, std::size_t{3}, decoded.table.routes.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(description, std::size_t{1}, decoded.rejected.size());
            const std::string &reason = decoded.rejected[0].message;
            const std::string expectedPrefix =
                    key == "name" ? "route  at place 1:" : "route b at place 1:";
            CPPUNIT_ASSERT_MESSAGE(reason, reason.starts_with(expectedPrefix));
            const gateway::route &second = decoded.table.routes[1];
            CPPUNIT_ASSERT(second.host == "h" && second.pathPrefix == "/b/");
            CPPUNIT_ASSERT(second.services.empty() && !second.hasInvalidMatch);
            for (const std::size_t place : {0U, 2U})
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.table.routes[place].services.size());
        }
    }

    /// It is unknown which requests such a route would match, so any request matched by no
    /// other route may be for it. A 404 is final, and must not be sent to its callers.
    void routeWithUnreadableMatchTakesUnmatchedRequests()
    {
        json noHost = routeEntry("b");
        noHost.erase("host");
        for (const json &bad : {noHost, routeWithValue("pathPrefix", 1), routeWithValue("host", 5),
                                json(3), json("b"), json(), json::array()}) {
            const decoded_routes decoded = decodeWith(bad);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.rejected.size());
            CPPUNIT_ASSERT(decoded.table.routes[1].hasInvalidMatch);
            CPPUNIT_ASSERT(decoded.table.routes[1].services.empty());
        }
    }

    void unreadableServiceDoesNotAffectOthers()
    {
        json spec = specOf({routeEntry("a")});
        spec["services"] = json::parse(R"([{"name":"x","engine":{"slots":-1}},{"name":7},3,
            {"name":"y","engine":{"slots":9,"kvCapacity":1e300}}])");
        const decoded_routes decoded = valueOf(decodeRoutes(spec));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decoded.rejected.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.table.services.size());
        CPPUNIT_ASSERT_EQUAL(9U, decoded.table.services[0].engine->batch);
    }

    /// The previous configuration stays in effect.
    void configurationsWithoutRequiredValuesAreRejected()
    {
        const json good = specOf({routeEntry("a")});
        CPPUNIT_ASSERT(succeeded(decodeRoutes(good)));
        CPPUNIT_ASSERT(succeeded(decodeRoutes(specOf({}))));
        for (const char *key : {"version", "routes", "services", "limits"}) {
            for (const json &value : {json(), json("text"), json(-1), json(1.5), json(true)}) {
                json bad = good;
                bad[key] = value;
                CPPUNIT_ASSERT_MESSAGE(key + value.dump(), !succeeded(decodeRoutes(bad)));
            }
        }
        for (const char *key : {"maxHeaderBytes", "headerTimeoutMs", "idleTimeoutMs"}) {
            json bad = good;
            bad["limits"][key] = -1;
            CPPUNIT_ASSERT_MESSAGE(key, !succeeded(decodeRoutes(bad)));
        }
        json noReadableRoute = good;
        noReadableRoute["routes"][0]["kind"] = 1;
        CPPUNIT_ASSERT(!succeeded(decodeRoutes(noReadableRoute)));
    }

    void timesAreClampedToMaxRouteTime()
    {
        CPPUNIT_ASSERT(decodedTimeLimit("0") == 0ms && decodedTimeLimit("1.9") == 1ms);
        CPPUNIT_ASSERT(decodedTimeLimit("1500.0") == 1500ms && decodedTimeLimit("0.2") == 0ms);
        CPPUNIT_ASSERT(decodedTimeLimit("86399999") == config::maxRouteTime - 1ms);
        CPPUNIT_ASSERT(decodedTimeLimit("86400000") == config::maxRouteTime);
        for (const char *huge : {"86400001", "4294967296", "9223372036854775808",
                                 "18446744073709551615", "18446744073709551616", "1e300"})
            CPPUNIT_ASSERT_MESSAGE(huge, decodedTimeLimit(huge) == config::maxRouteTime);
    }

    void largeAndFractionalWeightsAreScaled()
    {
        using weights = std::vector<std::uint32_t>;
        CPPUNIT_ASSERT(decodedWeights({"4294967295", "1"}) == (weights{4294967295, 1}));
        CPPUNIT_ASSERT(decodedWeights({"4294967296", "4294967296"})
                       == (weights{1'000'000, 1'000'000}));
        CPPUNIT_ASSERT(decodedWeights({"4294967296", "2147483648"})
                       == (weights{1'000'000, 500'000}));
        CPPUNIT_ASSERT(decodedWeights({"0.9", "0.1"}) == (weights{1'000'000, 111'111}));
        CPPUNIT_ASSERT(decodedWeights({"90.0", "10"}) == (weights{90, 10}));
        CPPUNIT_ASSERT(decodedWeights({"0", "0"}) == (weights{0, 0}));
        CPPUNIT_ASSERT(decodedWeights({"1e300", "5"}) == (weights{1'000'000, 0}));
    }

    void trafficIsSplitWhenWeightSumExceeds32Bits()
    {
        gateway::route split;
        split.services = {{{"a"}, UINT32_MAX}, {{"b"}, UINT32_MAX}, {{"c"}, UINT32_MAX}};
        std::map<std::string, int> counts;
        // Spreads the draws over the 64-bit range.
        constexpr std::uint64_t stride = 0x9e3779b97f4a7c15;
        for (std::uint64_t i = 0; i < 30'000; ++i)
            ++counts[pickServiceByWeight(split, i * stride).text];
        for (const char *name : {"a", "b", "c"})
            CPPUNIT_ASSERT(counts[name] > 9'000 && counts[name] < 11'000);
    }

    void countsBeyondTheirTypeAreClamped()
    {
        const auto withPriority = decodeWith(routeWithValue("priority", json::parse("4294967296")));
        CPPUNIT_ASSERT_EQUAL(UINT32_MAX, withPriority.table.routes[1].rank);
        const auto withAttempts = decodeWith(routeWithValue("attempts", json::parse("4294967297")));
        CPPUNIT_ASSERT_EQUAL(UINT32_MAX, withAttempts.table.routes[1].maxRunners);
        CPPUNIT_ASSERT(withPriority.rejected.empty() && withAttempts.rejected.empty());
    }

    /// A route whose weights are all 0 selects an empty service name, which must match no runner.
    void runnersWithEmptyNamesAreRejected()
    {
        const json good{{"service", "s"}, {"address", "10.0.0.1:80"}};
        CPPUNIT_ASSERT(succeeded(decodeRunner("i-1", good)));
        CPPUNIT_ASSERT(!succeeded(decodeRunner("", good)));
        json noService = good;
        noService["service"] = "";
        CPPUNIT_ASSERT(!succeeded(decodeRunner("i-1", noService)));
    }

    void tablesOfAnySizeAreDecoded()
    {
        for (const std::size_t count : {1U, 16U, 255U, 256U, 257U, 400U, 2'000U, 5'000U}) {
            std::vector<json> routes;
            for (std::size_t i = 0; i < count; ++i)
                routes.push_back(routeEntry("r" + std::to_string(i)));
            json spec = specOf(routes);
            for (int i = 1; i < 60; ++i)
                spec["services"].push_back({{"name", "s" + std::to_string(i)}});
            const decoded_routes decoded = valueOf(decodeRoutes(spec));
            CPPUNIT_ASSERT_EQUAL(count, decoded.table.routes.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{60}, decoded.table.services.size());
            CPPUNIT_ASSERT(decoded.rejected.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decode_bounds_test);

} // namespace poplarspool::adapter
