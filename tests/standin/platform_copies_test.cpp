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

constexpr milliseconds callTime{10000};

/// The stand-in, called over HTTP as a process would.
struct called_platform
{
    called_platform() : address(valueOf(standin.start())) { }

    ~called_platform()
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
        return pool.send(address, request, callTime);
    }

    int statusOf(const std::string &method, const std::string &path,
                 const json &body = json::object())
    {
        const auto reply = call(method, path, body);
        return succeeded(reply) ? valueOf(reply).status : 0;
    }

    /// @returns The version that the store gave; 0 where it refused.
    std::uint64_t put(const std::string &key, const std::string &value, std::uint64_t ifVersion = 0)
    {
        const auto reply =
                call("PUT", "/objects/" + key, {{"value", value}, {"if_version", ifVersion}});
        if (!succeeded(reply) || valueOf(reply).status != 200)
            return 0;
        return json::parse(valueOf(reply).body).at("version").get<std::uint64_t>();
    }

    /// @returns Empty where there is none.
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

class platform_copies_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_copies_test);
    CPPUNIT_TEST(goesBackToItsCopyAndGivesVersionsAgain);
    CPPUNIT_TEST(withoutACopyItStays);
    CPPUNIT_TEST(watchesBeyondItsVersionAreRefused);
    CPPUNIT_TEST(aWaitingWatchIsBrokenOff);
    CPPUNIT_TEST(lostWritesComeAgain);
    CPPUNIT_TEST(lostRemovalsComeAgain);
    CPPUNIT_TEST(whatWasWrittenSinceIsKept);
    CPPUNIT_TEST(whatACopyHasSinceIsKept);
    CPPUNIT_TEST(lostWritesOutlastASecondCopy);
    CPPUNIT_TEST_SUITE_END();

public:
    void goesBackToItsCopyAndGivesVersionsAgain()
    {
        called_platform store;
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

    void withoutACopyItStays()
    {
        called_platform store;
        store.put("a", "1");
        CPPUNIT_ASSERT_EQUAL(409, store.statusOf("POST", "/standin/go_back"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), store.get("a"));
        CPPUNIT_ASSERT_EQUAL(std::string(), store.epoch());
    }

    void watchesBeyondItsVersionAreRefused()
    {
        called_platform store;
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

    /// Answered as if nothing had happened, it would name a version of the epoch before.
    void aWaitingWatchIsBrokenOff()
    {
        called_platform store;
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

    void lostWritesComeAgain()
    {
        called_platform store;
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

    void lostRemovalsComeAgain()
    {
        called_platform store;
        const std::uint64_t first = store.put("a", "1");
        store.statusOf("POST", "/standin/copy");
        store.statusOf("DELETE", "/objects/a?if_version=" + std::to_string(first));
        store.statusOf("POST", "/standin/go_back");
        CPPUNIT_ASSERT_EQUAL(std::string("1"), store.get("a"));
        store.statusOf("POST", "/standin/write_again", {{"prefixes", {""}}});
        CPPUNIT_ASSERT_EQUAL(std::string(), store.get("a"));
    }

    void whatWasWrittenSinceIsKept()
    {
        called_platform store;
        const std::uint64_t first = store.put("a", "1");
        store.statusOf("POST", "/standin/copy");
        store.put("a", "lost", first);
        store.statusOf("POST", "/standin/go_back");
        store.put("a", "since", first);
        store.statusOf("POST", "/standin/write_again", {{"prefixes", {""}}});
        CPPUNIT_ASSERT_EQUAL(std::string("since"), store.get("a"));
    }

    /// As above, with a copy taken in between.
    void whatACopyHasSinceIsKept()
    {
        called_platform store;
        store.statusOf("POST", "/standin/copy");
        store.put("a", "lost");
        store.statusOf("POST", "/standin/go_back");
        store.put("a", "since");
        store.statusOf("POST", "/standin/copy");
        store.statusOf("POST", "/standin/write_again", {{"prefixes", {""}}});
        CPPUNIT_ASSERT_EQUAL(std::string("since"), store.get("a"));
    }

    /// The store goes back twice before anybody has written again.
    void lostWritesOutlastASecondCopy()
    {
        called_platform store;
        store.statusOf("POST", "/standin/copy");
        store.put("a", "lost");
        store.statusOf("POST", "/standin/go_back");
        store.statusOf("POST", "/standin/go_back");
        store.statusOf("POST", "/standin/write_again", {{"prefixes", {""}}});
        CPPUNIT_ASSERT_EQUAL(std::string("lost"), store.get("a"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_copies_test);

} // namespace poplarspool::standin
