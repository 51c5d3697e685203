#include "poplarspool/platform/instance_list.h"
#include "poplarspool/platform/object_store.h"
#include "poplarspool/platform/weight_store.h"
#include "standin/platform.h"
#include "standin/platform_instance_list.h"

#include "poplarspool/base/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <thread>

using namespace poplarspool;
using namespace poplarspool::platform;
using standin::platform_fault;

namespace {

constexpr milliseconds testTimeout{10000};
constexpr milliseconds shortTimeout{50};

} // namespace

/// Tests the three platform clients against the stand-in platform, over HTTP on loopback.
class platform_wire_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_wire_test);
    CPPUNIT_TEST(writesAreConditional);
    CPPUNIT_TEST(keysAndValuesArePreserved);
    CPPUNIT_TEST(oversizedValuesAreRejected);
    CPPUNIT_TEST(watchReportsChangesAndRemovals);
    CPPUNIT_TEST(watchWithoutChangeTimesOutEmpty);
    CPPUNIT_TEST(writeWithLostReplyIsReadBack);
    CPPUNIT_TEST(writeDuringOutageHasNoEffect);
    CPPUNIT_TEST(slowStoreTimesOut);
    CPPUNIT_TEST(weightStoreThrottlesCalls);
    CPPUNIT_TEST(instancesAreListed);
    CPPUNIT_TEST(instanceListIsDelayed);
    CPPUNIT_TEST_SUITE_END();

    metrics_registry metrics;
    standin::platform_standin platform{{"127.0.0.1", 0}, 2.0};
    std::shared_ptr<http_pool> pool;
    endpoint address;
    object_api api;

    http_reply postControl(const std::string &path, const std::string &body)
    {
        http_request request;
        request.method = "POST";
        request.path = path;
        request.body = body;
        const auto reply = pool->send(address, request, testTimeout);
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
        pool = std::make_shared<http_pool>(4, config::connectTimeout, metrics);
        const auto started = platform.start();
        CPPUNIT_ASSERT(succeeded(started));
        address = valueOf(started);
        api = httpObjectApi(address, pool, testTimeout);
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

    void keysAndValuesArePreserved()
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

    void oversizedValuesAreRejected()
    {
        put("a", std::string(config::maxObjectBytes, 'x'), mustNotExist);
        const auto outcome = api.put("b", std::string(config::maxObjectBytes + 1, 'x'), 0);
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::TooLarge);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
    }

    void watchReportsChangesAndRemovals()
    {
        const auto first = put("w/a", "1", mustNotExist);
        put("x/a", "1", mustNotExist);
        const auto seen = api.watch("w/", 0, testTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), valueOf(seen).objects.size());

        std::thread writer([&] { api.remove("w/a", first); });
        const auto removed = api.watch("w/", valueOf(seen).version, testTimeout);
        writer.join();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), valueOf(removed).objects.size());
        CPPUNIT_ASSERT(valueOf(removed).objects.front().isDeleted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), platform.records().watches);
    }

    void watchWithoutChangeTimesOutEmpty()
    {
        const auto version = put("x/a", "1", mustNotExist);
        const auto seen = api.watch("w/", 0, shortTimeout);
        CPPUNIT_ASSERT(valueOf(seen).objects.empty());
        CPPUNIT_ASSERT_EQUAL(version, valueOf(seen).version);
    }

    // Three consecutive writes take effect and lose their replies. Each is read back, so all
    // three succeed with the versions in the store.
    void writeWithLostReplyIsReadBack()
    {
        const auto clock = systemClock();
        journal events({"a"}, clock, 64);
        object_store store(api, {1000, 1000, milliseconds(1), milliseconds(2)}, clock, metrics,
                           events);
        postControl("/standin/fault", R"({"mode":"lose_answers","count":3})");
        std::uint64_t version = mustNotExist;
        for (const std::string value : {"1", "2", "3", "4"}) {
            const auto outcome = store.put("a", value, version, clock.mono() + testTimeout);
            CPPUNIT_ASSERT(succeeded(outcome));
            version = valueOf(outcome);
            CPPUNIT_ASSERT(valueOf(api.get("a")) == (object{"a", value, version}));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), platform.records().puts);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3),
                             metrics.counterOf("poplarspool_store_lost_answers_total").get());
    }

    // During an outage a write fails with MayHaveRun, a read with NotRun, and a pending watch ends.
    // After the outage the object does not exist: the write had no effect.
    void writeDuringOutageHasNoEffect()
    {
        std::thread faultThread([&] { postControl("/standin/fault", R"({"mode":"outage"})"); });
        CPPUNIT_ASSERT(errorOf(api.watch("w/", 0, testTimeout)).ran == verdict::NotRun);
        faultThread.join();
        CPPUNIT_ASSERT(errorOf(api.put("a", "1", 0)).ran == verdict::MayHaveRun);
        CPPUNIT_ASSERT(errorOf(api.get("a")).ran == verdict::NotRun);
        postControl("/standin/fault", R"({"mode":"none"})");
        CPPUNIT_ASSERT(errorOf(api.get("a")).code == error_code::NotFound);
    }

    void slowStoreTimesOut()
    {
        platform.setFault({platform_fault::Slow, 60000});
        const auto impatient = httpObjectApi(address, pool, shortTimeout);
        const auto outcome = impatient.put("a", "1", mustNotExist);
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::TimedOut);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
    }

    void weightStoreThrottlesCalls()
    {
        const auto weights = httpWeightStore(address, pool, testTimeout);
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
        const auto list = httpInstanceList(address, pool, testTimeout);
        postControl("/standin/instances",
                    R"({"set":[{"id":"a","zone":"z","peer":"127.0.0.1:7001"},
                           {"id":"b","zone":"z","peer":"127.0.0.1:7002"}]})");
        postControl("/standin/instances",
                    R"({"set":[{"id":"a","zone":"z","peer":"127.0.0.1:7001","leaving":true}],
                    "remove":["b"]})");
        const auto instances = list.fetch();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), valueOf(instances).size());
        const listed_instance expected{{"a"}, {"z"}, {"127.0.0.1", 7001}, true};
        CPPUNIT_ASSERT(valueOf(instances).front() == expected);
    }

    void instanceListIsDelayed()
    {
        using clock_type = standin::delayed_instance_list::clock_type;
        clock_type::time_point now = clock_type::now();
        standin::delayed_instance_list list([&] { return now; });
        list.setLag(std::chrono::seconds(3));
        list.set({"a", "z", "p", false});
        now += std::chrono::seconds(2);
        list.set({"a", "z", "p", true});
        CPPUNIT_ASSERT(list.visible().empty());
        now += std::chrono::seconds(1);
        CPPUNIT_ASSERT(!list.visible().front().isLeaving);
        now += std::chrono::seconds(2);
        CPPUNIT_ASSERT(list.visible().front().isLeaving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_wire_test);
