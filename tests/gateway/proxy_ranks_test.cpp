#include "gateway/request_proxy.h"

#include "poplarspool/admission/ranks.h"
#include "proxy_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::scripted_runner;
using test::sealed;

/// @returns An id of a request that may be promoted, or of one that may not.
std::string idOf(bool isPromotable)
{
    int number = 0;
    while (admission::isPromotable("q" + std::to_string(number)) != isPromotable)
        ++number;
    return "q" + std::to_string(number);
}

/// One engine at which requests of rank 2 wait for longer than the objective, which is 1 s.
struct fixture
{
    const std::string id;
    scripted_runner runner;
    test::proxy_fixture proxy{{&runner}};

    fixture(bool isPromotable, bool needsKeys)
        : id(idOf(isPromotable)), runner({{sealed("200 OK", "body", id)}})
    {
        proxy.needKeys([needsKeys](route_table &table) {
            table.needsKeys = needsKeys;
            table.workspaces[0].rank = 2;
            table.services[0].engine = engine_traits{16, 400'000, 18'432, 350'000};
            for (route &one : table.routes)
                one.rank = 2;
        });
        // The first look at an engine begins its record.
        proxy.runnerTable.candidatesOf(*proxy.publisher.current(), {.service = {"s"}});
    }

    /// @returns The priority with which the engine got the request.
    std::string send()
    {
        const runner_table::open_send busy(proxy.runnerTable, {"r0"}, 1500, send_class::Urgent, 2);
        const http_request request = test::requestOf("GET", "/again/1",
                                                     {{"Host", "h"},
                                                      {"Id", id},
                                                      {"Limit", "5000"},
                                                      {"Tokens", "10"},
                                                      {"Key", "Sign good"}});
        const auto reply = request_proxy(proxy.context, request, proxy.caller).run();
        CPPUNIT_ASSERT_EQUAL(200, reply->status);
        const std::string seen = runner.requests().at(0);
        const std::size_t at = seen.find("Priority: ");
        CPPUNIT_ASSERT(at != std::string::npos);
        return seen.substr(at + 10, seen.find('\r', at) - at - 10);
    }
};

} // namespace

class proxy_ranks_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_ranks_test);
    CPPUNIT_TEST(promotedRequestIsSentAtRank0);
    CPPUNIT_TEST(otherRequestKeepsItsRank);
    CPPUNIT_TEST(withoutWorkspacesNoRequestIsPromoted);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a request that is placed at one rank and sent at another.
    void promotedRequestIsSentAtRank0()
    {
        fixture test(true, true);
        CPPUNIT_ASSERT_EQUAL(std::to_string(config::urgentPriority), test.send());
        CPPUNIT_ASSERT_EQUAL(std::string("0"), test.proxy.lastFieldOf("send_end", "rank"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, test.proxy.metrics.promoted.get());
    }

    /// Guards against a promotion of all requests of a rank, which would void the ranks.
    void otherRequestKeepsItsRank()
    {
        fixture test(false, true);
        CPPUNIT_ASSERT_EQUAL(std::to_string(config::latePriority + 2), test.send());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), test.proxy.lastFieldOf("send_end", "rank"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, test.proxy.metrics.promoted.get());
    }

    /// Guards against a change of priorities where the configuration has no workspaces.
    void withoutWorkspacesNoRequestIsPromoted()
    {
        fixture test(true, false);
        CPPUNIT_ASSERT_EQUAL(std::to_string(config::latePriority + 2), test.send());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, test.proxy.metrics.promoted.get());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_ranks_test);

} // namespace poplarspool::gateway
