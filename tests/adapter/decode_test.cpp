#include "platform/decode.h"
#include "platform/dialect.h"
#include "poplarspool/base/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

json sampleRoutes()
{
    return json::parse(R"({"version":7,"unknown":1,"routes":[
        {"name":"r1","host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":3000,
         "targetLatencyMs":1000,"priority":1,"service":"llm","attempts":1,"resumable":true},
        {"name":"r2","host":"h","pathPrefix":"/b/","kind":"non_idempotent","timeoutMs":600,
         "priority":2,"split":[{"service":"x","weight":90},{"service":"y","weight":10}],
         "attempts":2},
        {"name":"r3","host":"h","pathPrefix":"/c/","kind":"something new","timeoutMs":1,
         "service":"x","resumable":true}],
        "services":[{"name":"llm","engine":{"slots":128,"kvCapacity":808015,"kvTokenBytes":18432,
          "linkMbps":350000.0}},{"name":"x"}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
          "idleTimeoutMs":15000}})");
}

} // namespace

class decode_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decode_test);
    CPPUNIT_TEST(routesAreDecoded);
    CPPUNIT_TEST(errorOfInvalidRoutesNamesTheKey);
    CPPUNIT_TEST(runnersAreDecoded);
    CPPUNIT_TEST(invalidVersionsDontMakeARunnerUnusable);
    CPPUNIT_TEST(invalidRunnerEntriesAreRejected);
    CPPUNIT_TEST(instancesRoundTrip);
    CPPUNIT_TEST(leasesRoundTrip);
    CPPUNIT_TEST(reportsAndOrdersUseTheEngineFormat);
    CPPUNIT_TEST_SUITE_END();

public:
    void routesAreDecoded()
    {
        const auto table = valueOf(decodeRoutes(sampleRoutes())).table;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, table.version);
        CPPUNIT_ASSERT(table.routes[0].isStream && table.routes[0].isResumable);
        CPPUNIT_ASSERT(table.routes[0].retryPolicy == gateway::retry_policy::Idempotent);
        CPPUNIT_ASSERT(table.routes[0].timeLimit == 3s && table.routes[0].latencyObjective == 1s);
        CPPUNIT_ASSERT(table.routes[1].retryPolicy == gateway::retry_policy::AtMostOnce);
        CPPUNIT_ASSERT_EQUAL(90U, table.routes[1].services[0].weight);
        CPPUNIT_ASSERT_EQUAL(2U, table.routes[1].maxRunners);
        // An unknown kind runs at most once, whatever else the route says.
        CPPUNIT_ASSERT(table.routes[2].retryPolicy == gateway::retry_policy::AtMostOnce);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{808015}, table.services[0].engine->kvTokens);
        CPPUNIT_ASSERT(!table.services[1].engine);
        CPPUNIT_ASSERT(table.callerLimits.idleTimeout == 15s);
    }

    void errorOfInvalidRoutesNamesTheKey()
    {
        json invalid = sampleRoutes();
        invalid.erase("limits");
        const auto outcome = decodeRoutes(invalid);
        CPPUNIT_ASSERT(errorOf(outcome).message.find("limits") != std::string::npos);
        CPPUNIT_ASSERT(!succeeded(decodeRoutes(json::array())));
    }

    /// Guards against objects that another writer puts into the list of runners: accepted as a
    /// runner, such an object would receive callers' requests.
    void invalidRunnerEntriesAreRejected()
    {
        const json good = json::parse(R"({"service":"llm","address":"10.128.0.9:8080","zone":"a",
            "slots":16,"state":"in_service","stage":"decode","born":1700000000000})");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1700000000000},
                             valueOf(decodeRunner("i-1", good)).startedAtMs);
        const std::vector<std::pair<std::string, json>> faults{
                {"service", 7},          {"service", nullptr}, {"address", 80}, {"address", "?"},
                {"zone", json::array()}, {"slots", "many"},    {"slots", -1},   {"slots", 0},
                {"state", "asleep"},     {"state", 1},         {"stage", 2},    {"born", "today"},
                {"born", 1.5},           {"born", -3}};
        for (const auto &[key, value] : faults) {
            json bad = good;
            bad[key] = value;
            CPPUNIT_ASSERT_MESSAGE(key + " " + value.dump(), !succeeded(decodeRunner("i-1", bad)));
        }
        // An unknown stage is no error: such an engine runs prefill and decode.
        json unknownStage = good;
        unknownStage["stage"] = "everything";
        CPPUNIT_ASSERT(valueOf(decodeRunner("i-1", unknownStage)).stage
                       == gateway::engine_stage::None);
        for (const json &bad : {json(), json(3), json("text"), json::array()})
            CPPUNIT_ASSERT(!succeeded(decodeRunner("i-1", bad)));
    }

    void invalidVersionsDontMakeARunnerUnusable()
    {
        const auto versionOf = [](const json &version) {
            const json entry{{"service", "x"}, {"address", "10.0.0.1:80"}, {"version", version}};
            return valueOf(decodeRunner("i-1", entry)).version.text;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("v1.2"), versionOf("v1.2"));
        CPPUNIT_ASSERT_EQUAL(std::string("7"), versionOf(7));
        CPPUNIT_ASSERT_EQUAL(std::string(), versionOf(nullptr));
        CPPUNIT_ASSERT(versionOf(std::string(1000, 'a')) != versionOf(std::string(1000, 'b')));
        CPPUNIT_ASSERT(versionOf(std::string(1000, 'a')).size() <= config::maxSoftwareVersionBytes);
    }

    void runnersAreDecoded()
    {
        const json entry = json::parse(R"({"service":"llm","address":"10.128.0.9:8080",
            "zone":"a","slots":128,"state":"draining","stage":"prefill","seq":4})");
        const auto decoded = valueOf(decodeRunner("i-1", entry));
        CPPUNIT_ASSERT(decoded.isDraining && decoded.stage == gateway::engine_stage::Prefill);
        CPPUNIT_ASSERT_EQUAL(std::string("10.128.0.9:8080"), textOf(decoded.address));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, decoded.writes);
        json invalidSeq = entry;
        invalidSeq["seq"] = "four";
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, valueOf(decodeRunner("i-1", invalidSeq)).writes);
        const auto minimal = decodeRunner("i-2", {{"service", "x"}, {"address", "10.0.0.1:80"}});
        CPPUNIT_ASSERT(valueOf(minimal).stage == gateway::engine_stage::None);
        CPPUNIT_ASSERT(!succeeded(decodeRunner("i-3", {{"service", "x"}, {"address", "nowhere"}})));
    }

    void instancesRoundTrip()
    {
        const gateway::listed_gateway self{
                {"edge-1"}, {"10.0.0.1", 7300}, {"10.0.0.1", 7301}, {"a"}, {}, {{{"i-1"}, 7, 41}}};
        CPPUNIT_ASSERT(valueOf(decodeInstance("edge-1", encodeInstance(self))) == self);
        CPPUNIT_ASSERT(!succeeded(decodeInstance("edge-1", json::object())));
    }

    void leasesRoundTrip()
    {
        const duties::lease_record lease{{"edge-1"}, 41, {0, 9}};
        CPPUNIT_ASSERT(valueOf(decodeLease(encodeLease(lease), {0, 9})) == lease);
        CPPUNIT_ASSERT(!succeeded(decodeLease(json::object(), {0, 9})));
    }

    void reportsAndOrdersUseTheEngineFormat()
    {
        const gateway::dialect engineDialect = platformDialect();
        CPPUNIT_ASSERT(
                engineDialect.parseReport(R"({"stage":"decode","busy":true,"seq":2,"queued":1})")
                == (gateway::engine_report{true, 2}));
        CPPUNIT_ASSERT(!engineDialect.parseReport("{}"));
        CPPUNIT_ASSERT(!engineDialect.parseReport("nonsense"));
        const http_request order = engineDialect.stageOrderRequest(
                {gateway::engine_stage::Prefill, {"edge-1"}, 41, 2});
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), order.method);
        CPPUNIT_ASSERT(json::parse(order.body)
                       == json::parse(R"({"opType":"stage","stage":"prefill","holder":"edge-1",
                                          "fencingToken":41,"expect":2})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decode_test);

} // namespace poplarspool::adapter
