#include "poplarspool/gateway/limits.h"
#include "proxy_fixture.h"
#include "scripted_runner.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::scripted_runner;
using test::sealed;
using fixture = test::proxy_fixture;

service engineService()
{
    return {{"s"}, engine_traits{16, 400000, 160000, 1000000}};
}

} // namespace

class proxy_keys_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_keys_test);
    CPPUNIT_TEST(runnerGetsWorkspaceInsteadOfKey);
    CPPUNIT_TEST(missingOrWrongKeyIsRefusedWith401);
    CPPUNIT_TEST(unknownKeyIsDeniedOnlyIfKeysAreFresh);
    CPPUNIT_TEST(anonymousRoutesNeedNoKey);
    CPPUNIT_TEST(requestAboveTheShareIsReported);
    CPPUNIT_TEST(nothingIsCountedWithoutKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    void runnerGetsWorkspaceInsteadOfKey()
    {
        scripted_runner runner({{sealed("200 OK", "body")}});
        fixture test({&runner});
        test.needKeys();
        const auto reply =
                test.sendRequest("/again/1", "5000", {{"Key", "Sign good"}, {"Space", "another"}});
        CPPUNIT_ASSERT_EQUAL(200, reply->status);
        const std::string seen = runner.requests()[0];
        CPPUNIT_ASSERT(seen.find("Space: space\r\n") != std::string::npos);
        CPPUNIT_ASSERT(seen.find("another") == std::string::npos);
        CPPUNIT_ASSERT(seen.find("good") == std::string::npos);
    }

    void missingOrWrongKeyIsRefusedWith401()
    {
        scripted_runner runner({});
        fixture test({&runner});
        test.needKeys();
        for (const http_headers &shown :
             {http_headers{}, http_headers{{"Key", "Sign bad"}}, http_headers{{"Key", "good"}},
              http_headers{{"Key", "Sign good"}, {"Key", "Sign good"}}}) {
            const auto reply = test.sendRequest("/once/1", "5000", shown);
            CPPUNIT_ASSERT_EQUAL(401, reply->status);
            CPPUNIT_ASSERT(reply->body.find("not_run") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(404, test.sendRequest("/none/1")->status);
        CPPUNIT_ASSERT(runner.requests().empty());
    }

    /// A disconnected instance doesn't know a new key yet: its callers must be able to retry.
    void unknownKeyIsDeniedOnlyIfKeysAreFresh()
    {
        fixture test({});
        test.needKeys();
        test.publisher.update([&test](catalogue &next) {
            next.tableConfirmedAt = test.clock.mono() - test.context.routesProofTime - 1s;
            return true;
        });
        CPPUNIT_ASSERT_EQUAL(503,
                             test.sendRequest("/once/1", "5000", {{"Key", "Sign new"}})->status);
        test.publisher.update([&test](catalogue &next) {
            next.tableConfirmedAt = test.clock.mono();
            return true;
        });
        CPPUNIT_ASSERT_EQUAL(401,
                             test.sendRequest("/once/1", "5000", {{"Key", "Sign new"}})->status);
        test.needKeys([](route_table &table) { table.hasUnreadableKeys = true; });
        CPPUNIT_ASSERT_EQUAL(503,
                             test.sendRequest("/once/1", "5000", {{"Key", "Sign new"}})->status);
    }

    void anonymousRoutesNeedNoKey()
    {
        scripted_runner runner({{sealed("200 OK", "body")}, {sealed("200 OK", "body")}});
        fixture test({&runner});
        test.needKeys([](route_table &table) { table.routes[1].allowsAnonymous = true; });
        CPPUNIT_ASSERT_EQUAL(200, test.sendRequest("/again/1")->status);
        CPPUNIT_ASSERT(runner.requests()[0].find("Space:") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(
                200, test.sendRequest("/again/2", "5000", {{"Key", "Sign unknown"}})->status);
        CPPUNIT_ASSERT(runner.requests()[1].find("unknown") == std::string::npos);
    }

    /// Guards against a workspace that is held back without a trace in the log and the metrics, and
    /// against work that is sent and not counted.
    void requestAboveTheShareIsReported()
    {
        scripted_runner runner({{sealed("200 OK", "body")}});
        fixture test({&runner});
        test.needKeys([](route_table &table) { table.services = {engineService()}; });
        const std::uint32_t space = peer::workspaceKey("space");
        for (int i = 0; i < 50; ++i) {
            test.shares.recordSent({"s"}, 1, 100);
            test.shares.recordSent({"s"}, space, 100);
            for (int asks = 0; asks < 1000; ++asks)
                test.shares.recordAsked({"s"}, space);
        }
        test.shares.recordShortage({"s"});
        const auto reply =
                test.sendRequest("/again/1", "5000", {{"Key", "Sign good"}, {"Tokens", "300"}});
        CPPUNIT_ASSERT_EQUAL(200, reply->status);
        CPPUNIT_ASSERT_EQUAL(std::string("0.50/0.50 age_ms=0"),
                             test.lastFieldOf("request_end", "share"));
        CPPUNIT_ASSERT(test.registry.text().find("poplarspool_gateway_above_share_total 1")
                       != std::string::npos);
        const auto report = test.shares.collectReport();
        CPPUNIT_ASSERT(report.at(0) == (peer::workspace_work{space, 5300}));
    }

    /// Guards against shares and reports where the configuration has no workspaces.
    void nothingIsCountedWithoutKeys()
    {
        scripted_runner runner({{sealed("200 OK", "body")}});
        fixture test({&runner});
        test.needKeys([](route_table &table) {
            table.services = {engineService()};
            table.needsKeys = false;
        });
        test.shares.recordShortage({"s"});
        CPPUNIT_ASSERT_EQUAL(200,
                             test.sendRequest("/again/1", "5000", {{"Tokens", "300"}})->status);
        CPPUNIT_ASSERT_EQUAL(std::string(), test.lastFieldOf("request_end", "share"));
        CPPUNIT_ASSERT(test.shares.collectReport().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_keys_test);

} // namespace poplarspool::gateway
