#include "poplarspool/base/http.h"
#include "poplarspool/base/metrics.h"
#include "standin/platform.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <nlohmann/json.hpp>

namespace poplarspool::standin {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr milliseconds callTimeout{10000};

/// The platform stand-in and an HTTP client for it.
struct platform_client
{
    platform_client() : address(valueOf(standin.start())) { }

    ~platform_client()
    {
        pool.stop();
        standin.stop();
    }

    result<http_reply> call(const std::string &method, const std::string &path,
                            const json &body = json::object())
    {
        http_request request;
        request.method = method;
        request.path = path;
        if (method != "GET")
            request.body = body.dump();
        return pool.send(address, request, callTimeout);
    }

    int statusOf(const std::string &method, const std::string &path,
                 const json &body = json::object())
    {
        const auto reply = call(method, path, body);
        return succeeded(reply) ? valueOf(reply).status : 0;
    }

    /// @returns The version that the store assigned; 0 if it refused the write.
    std::uint64_t put(const std::string &key, const std::string &value, std::uint64_t ifVersion = 0)
    {
        const auto reply =
                call("PUT", "/objects/" + key, {{"value", value}, {"if_version", ifVersion}});
        if (!succeeded(reply) || valueOf(reply).status != 200)
            return 0;
        return json::parse(valueOf(reply).body).at("version").get<std::uint64_t>();
    }

    /// @returns The value; empty if there is no such object.
    std::string get(const std::string &key)
    {
        const auto reply = call("GET", "/objects/" + key);
        if (!succeeded(reply) || valueOf(reply).status != 200)
            return {};
        return json::parse(valueOf(reply).body).at("value").get<std::string>();
    }

    std::string epoch()
    {
        const auto reply = call("GET", "/list?prefix=");
        return std::string(headerOf(valueOf(reply).headers, "Store-Epoch"));
    }

    metrics_registry metrics;
    platform_standin standin{{"127.0.0.1", 0}};
    http_pool pool{4, 1s, metrics};
    endpoint address;
};

} // namespace

class platform_snapshots_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_snapshots_test);
    CPPUNIT_TEST(rollbackRestoresSnapshotAndReassignsVersions);
    CPPUNIT_TEST(rollbackWithoutSnapshotIsRefused);
    CPPUNIT_TEST(watchAboveTheRollbackVersionIsRefused);
    CPPUNIT_TEST(pendingWatchIsClosedByRollback);
    CPPUNIT_TEST(lostWritesAreReplayed);
    CPPUNIT_TEST(lostRemovalsAreReplayed);
    CPPUNIT_TEST(replayKeepsNewerWrites);
    CPPUNIT_TEST(replayKeepsNewerWritesOfASnapshot);
    CPPUNIT_TEST(lostWritesSurviveASecondRollback);
    CPPUNIT_TEST_SUITE_END();

public:
    void rollbackRestoresSnapshotAndReassignsVersions()
    {
        platform_client store;
        store.put("a", "old");
        CPPUNIT_ASSERT_EQUAL(200, store.statusOf("POST", "/standin/copy"));
        const std::uint64_t lost = store.put("b", "lost");
        CPPUNIT_ASSERT_EQUAL(std::string(), store.epoch());
        CPPUNIT_ASSERT_EQUAL(200, store.statusOf("POST", "/standin/go_back"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), store.epoch());
        CPPUNIT_ASSERT_EQUAL(std::string("old"), store.get("a"));
        CPPUNIT_ASSERT_EQUAL(std::string(), store.get("b"));
        CPPUNIT_ASSERT_EQUAL(lost, store.put("c", "new"));
        CPPUNIT_ASSERT_EQUAL(200, store.statusOf("POST", "/standin/go_back"));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), store.epoch());
    }

    void rollbackWithoutSnapshotIsRefused()
    {
        platform_client store;
        store.put("a", "1");
        CPPUNIT_ASSERT_EQUAL(409, store.statusOf("POST", "/standin/go_back"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), store.get("a"));
        CPPUNIT_ASSERT_EQUAL(std::string(), store.epoch());
    }

    void watchAboveTheRollbackVersionIsRefused()
    {
        platform_client store;
        const std::uint64_t kept = store.put("a", "1");
        store.statusOf("POST", "/standin/copy");
        const std::uint64_t lost = store.put("b", "2");
        store.statusOf("POST", "/standin/go_back");
        const auto watch = [&store](std::uint64_t after) {
            return store.statusOf("GET", "/watch?prefix=&wait_ms=1&after=" + std::to_string(after));
        };
        CPPUNIT_ASSERT_EQUAL(410, watch(lost));
        CPPUNIT_ASSERT_EQUAL(200, watch(kept));
    }

    // The store is rolled back while a watch is pending. A normal reply would name a version of the
    // previous epoch, so the connection is closed without one.
    void pendingWatchIsClosedByRollback()
    {
        platform_client store;
        const std::uint64_t kept = store.put("a", "1");
        store.statusOf("POST", "/standin/copy");
        const std::string path = "/watch?prefix=&wait_ms=9000&after=" + std::to_string(kept);
        auto watch = std::async(std::launch::async, [&] { return store.statusOf("GET", path); });
        while (store.standin.records().watches == 0)
            std::this_thread::sleep_for(1ms);
        std::this_thread::sleep_for(50ms);
        store.statusOf("POST", "/standin/go_back");
        CPPUNIT_ASSERT_EQUAL(0, watch.get());
    }

    void lostWritesAreReplayed()
    {
        platform_client store;
        const std::uint64_t first = store.put("operators/a", "1");
        store.statusOf("POST", "/standin/copy");
        store.put("operators/a", "2", first);
        store.put("ours/b", "3");
        store.statusOf("POST", "/standin/go_back");
        CPPUNIT_ASSERT_EQUAL(std::string("1"), store.get("operators/a"));
        store.statusOf("POST", "/standin/write_again", {{"prefixes", {"operators/"}}});
        CPPUNIT_ASSERT_EQUAL(std::string("2"), store.get("operators/a"));
        CPPUNIT_ASSERT_EQUAL(std::string(), store.get("ours/b"));
    }

    void lostRemovalsAreReplayed()
    {
        platform_client store;
        const std::uint64_t first = store.put("a", "1");
        store.statusOf("POST", "/standin/copy");
        store.statusOf("DELETE", "/objects/a?if_version=" + std::to_string(first));
        store.statusOf("POST", "/standin/go_back");
        CPPUNIT_ASSERT_EQUAL(std::string("1"), store.get("a"));
        store.statusOf("POST", "/standin/write_again", {{"prefixes", {""}}});
        CPPUNIT_ASSERT_EQUAL(std::string(), store.get("a"));
    }

    void replayKeepsNewerWrites()
    {
        platform_client store;
        const std::uint64_t first = store.put("a", "1");
        store.statusOf("POST", "/standin/copy");
        store.put("a", "lost", first);
        store.statusOf("POST", "/standin/go_back");
        store.put("a", "since", first);
        store.statusOf("POST", "/standin/write_again", {{"prefixes", {""}}});
        CPPUNIT_ASSERT_EQUAL(std::string("since"), store.get("a"));
    }

    // As above, with a snapshot taken before the replay.
    void replayKeepsNewerWritesOfASnapshot()
    {
        platform_client store;
        store.statusOf("POST", "/standin/copy");
        store.put("a", "lost");
        store.statusOf("POST", "/standin/go_back");
        store.put("a", "since");
        store.statusOf("POST", "/standin/copy");
        store.statusOf("POST", "/standin/write_again", {{"prefixes", {""}}});
        CPPUNIT_ASSERT_EQUAL(std::string("since"), store.get("a"));
    }

    // The store is rolled back twice before the lost writes are replayed.
    void lostWritesSurviveASecondRollback()
    {
        platform_client store;
        store.statusOf("POST", "/standin/copy");
        store.put("a", "lost");
        store.statusOf("POST", "/standin/go_back");
        store.statusOf("POST", "/standin/go_back");
        store.statusOf("POST", "/standin/write_again", {{"prefixes", {""}}});
        CPPUNIT_ASSERT_EQUAL(std::string("lost"), store.get("a"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_snapshots_test);

} // namespace poplarspool::standin
