#include "poplarspool/platform/instance_list.h"
#include "poplarspool/platform/object_store.h"
#include "poplarspool/platform/weight_store.h"
#include "standin/platform.h"
#include "standin/platform_lines.h"

#include "poplarspool/config.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <thread>

using namespace poplarspool;
using namespace poplarspool::platform;
using standin::platform_fault;

namespace {

constexpr milliseconds safetyTime{10000};
constexpr milliseconds shortTime{50};

} // namespace

/// The three clients against the stand-in, over HTTP on loopback.
class platform_wire_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_wire_test);
    CPPUNIT_TEST(writesAreConditional);
    CPPUNIT_TEST(keysAndValuesPassUnchanged);
    CPPUNIT_TEST(valuesAreBounded);
    CPPUNIT_TEST(watchTellsChangesAndRemovals);
    CPPUNIT_TEST(watchEndsWithoutChange);
    CPPUNIT_TEST(lostAnswerIsReadBack);
    CPPUNIT_TEST(outageHasNoEffect);
    CPPUNIT_TEST(slowStoreTimesOut);
    CPPUNIT_TEST(weightsAreThrottled);
    CPPUNIT_TEST(instancesAreListed);
    CPPUNIT_TEST(instanceListLags);
    CPPUNIT_TEST_SUITE_END();

    metrics_registry metrics;
    standin::platform_standin platform{{"127.0.0.1", 0}, 2.0};
    std::shared_ptr<http_pool> pool;
    endpoint address;
    object_api api;

    http_reply control(const std::string &path, const std::string &body)
    {
        http_request request;
        request.method = "POST";
        request.path = path;
        request.body = body;
        const auto reply = pool->send(address, request, safetyTime);
        CPPUNIT_ASSERT(succeeded(reply));
        CPPUNIT_ASSERT_EQUAL(200, valueOf(reply).status);
        return valueOf(reply);
    }

    std::uint64_t put(const std::string &key, const std::string &value, std::uint64_t ifVersion)
    {
        const auto outcome = api.put(key, value, ifVersion);
        CPPUNIT_ASSERT(succeeded(outcome));
        return valueOf(outcome);
    }

public:
    void setUp() override
    {
        pool = std::make_shared<http_pool>(4, config::connectTime, metrics);
        const auto started = platform.start();
        CPPUNIT_ASSERT(succeeded(started));
        address = valueOf(started);
        api = httpObjectApi(address, pool, safetyTime);
    }

    void tearDown() override
    {
        pool->stop();
        platform.stop();
    }

    void writesAreConditional()
    {
        const auto first = put("a", "1", mustNotExist);
        CPPUNIT_ASSERT(errorOf(api.put("a", "2", mustNotExist)).code == error_code::Conflict);
        const auto second = put("a", "2", first);
        CPPUNIT_ASSERT(second > first);
        CPPUNIT_ASSERT(errorOf(api.remove("a", first)).code == error_code::Conflict);
        CPPUNIT_ASSERT(succeeded(api.remove("a", second)));
        CPPUNIT_ASSERT(errorOf(api.get("a")).code == error_code::NotFound);
        CPPUNIT_ASSERT(put("a", "3", mustNotExist) > second);
    }

    void keysAndValuesPassUnchanged()
    {
        const std::string key = "p/ä ?&%2F=\n/x";
        const std::string value = "{\"quoted\":\"\\u0000\"}\n\ttōtara";
        const auto version = put(key, value, mustNotExist);
        CPPUNIT_ASSERT(valueOf(api.get(key)) == (object{key, value, version}));
        put("q/other", "x", mustNotExist);
        const auto listed = api.list("p/ä ?&%2F=");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), valueOf(listed).objects.size());
        CPPUNIT_ASSERT_EQUAL(version + 1, valueOf(listed).version);
        CPPUNIT_ASSERT(errorOf(api.put("a", "\xff", 0)).code == error_code::BadRequest);
    }

    void valuesAreBounded()
    {
        put("a", std::string(config::maxObjectBytes, 'x'), mustNotExist);
        const auto outcome = api.put("b", std::string(config::maxObjectBytes + 1, 'x'), 0);
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::TooLarge);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
    }

    void watchTellsChangesAndRemovals()
    {
        const auto first = put("w/a", "1", mustNotExist);
        put("x/a", "1", mustNotExist);
        const auto seen = api.watch("w/", 0, safetyTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), valueOf(seen).objects.size());

        std::thread writer([&] { api.remove("w/a", first); });
        const auto removed = api.watch("w/", valueOf(seen).version, safetyTime);
        writer.join();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), valueOf(removed).objects.size());
        CPPUNIT_ASSERT(valueOf(removed).objects.front().isDeleted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), platform.records().watches);
    }

    void watchEndsWithoutChange()
    {
        const auto version = put("x/a", "1", mustNotExist);
        const auto seen = api.watch("w/", 0, shortTime);
        CPPUNIT_ASSERT(valueOf(seen).objects.empty());
        CPPUNIT_ASSERT_EQUAL(version, valueOf(seen).version);
    }

    // Three writes in a row take effect and lose their answers. The writer sees three successes
    // and the versions that stand in the store, because each is read back.
    void lostAnswerIsReadBack()
    {
        const auto clock = systemClock();
        journal events({"a"}, clock, 64);
        object_store store(api, {1000, 1000, milliseconds(1), milliseconds(2)}, clock, metrics,
                           events);
        control("/standin/fault", R"({"mode":"lose_answers","count":3})");
        std::uint64_t version = mustNotExist;
        for (const std::string value : {"1", "2", "3", "4"}) {
            const auto outcome = store.put("a", value, version, clock.mono() + safetyTime);
            CPPUNIT_ASSERT(succeeded(outcome));
            version = valueOf(outcome);
            CPPUNIT_ASSERT(valueOf(api.get("a")) == (object{"a", value, version}));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), platform.records().puts);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3),
                             metrics.counterOf("poplarspool_store_lost_answers_total").get());
    }

    // The store is out: a writer hears that its write may have run, a reader that its call has
    // not; a waiting watch ends. Once the store is back, the write turns out not to have run.
    void outageHasNoEffect()
    {
        std::thread breaker([&] { control("/standin/fault", R"({"mode":"outage"})"); });
        CPPUNIT_ASSERT(errorOf(api.watch("w/", 0, safetyTime)).ran == verdict::NotRun);
        breaker.join();
        CPPUNIT_ASSERT(errorOf(api.put("a", "1", 0)).ran == verdict::MayHaveRun);
        CPPUNIT_ASSERT(errorOf(api.get("a")).ran == verdict::NotRun);
        control("/standin/fault", R"({"mode":"none"})");
        CPPUNIT_ASSERT(errorOf(api.get("a")).code == error_code::NotFound);
    }

    void slowStoreTimesOut()
    {
        platform.setFault({platform_fault::Slow, 60000});
        const auto hasty = httpObjectApi(address, pool, shortTime);
        const auto outcome = hasty.put("a", "1", mustNotExist);
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::TimedOut);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
    }

    void weightsAreThrottled()
    {
        const auto weights = httpWeightStore(address, pool, safetyTime);
        const auto manifest = weights.manifest("org/recovery-llm", "1");
        CPPUNIT_ASSERT_EQUAL(std::string("org/recovery-llm"), valueOf(manifest).model);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), valueOf(manifest).version);
        auto outcome = manifest;
        for (int tries = 0; succeeded(outcome) && tries < 1000; ++tries)
            outcome = weights.manifest("recovery-llm", "1");
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Throttled);
        CPPUNIT_ASSERT(errorOf(outcome).retryAfter >= std::chrono::seconds(1));
    }

    void instancesAreListed()
    {
        const auto list = httpInstanceList(address, pool, safetyTime);
        control("/standin/instances",
                R"({"set":[{"id":"a","zone":"z","peer":"127.0.0.1:7001"},
                           {"id":"b","zone":"z","peer":"127.0.0.1:7002"}]})");
        control("/standin/instances",
                R"({"set":[{"id":"a","zone":"z","peer":"127.0.0.1:7001","leaving":true}],
                    "remove":["b"]})");
        const auto lines = list.fetch();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), valueOf(lines).size());
        const listed_instance expected{{"a"}, {"z"}, {"127.0.0.1", 7001}, true};
        CPPUNIT_ASSERT(valueOf(lines).front() == expected);
    }

    void instanceListLags()
    {
        using clock_type = standin::lagging_list::clock_type;
        clock_type::time_point now = clock_type::now();
        standin::lagging_list list([&] { return now; });
        list.setLag(std::chrono::seconds(3));
        list.set({"a", "z", "p", false});
        now += std::chrono::seconds(2);
        list.set({"a", "z", "p", true});
        CPPUNIT_ASSERT(list.seen().empty());
        now += std::chrono::seconds(1);
        CPPUNIT_ASSERT(!list.seen().front().isLeaving);
        now += std::chrono::seconds(2);
        CPPUNIT_ASSERT(list.seen().front().isLeaving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_wire_test);
