#include "platform/decode.h"
#include "platform/dialect.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using nlohmann::json;

json configWith(const json &workspaces)
{
    json made = json::parse(R"({"version":7,"routes":[
        {"name":"r1","host":"h","pathPrefix":"/a/","kind":"streaming","service":"s"},
        {"name":"r2","host":"h","pathPrefix":"/b/","kind":"idempotent","service":"s",
         "anonymous":true}],
        "services":[{"name":"s"}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
          "idleTimeoutMs":15000}})");
    if (!workspaces.is_discarded())
        made["tenants"] = workspaces;
    return made;
}

read_routes readOf(const char *workspaces)
{
    return valueOf(decodeRoutes(configWith(json::parse(workspaces))));
}

} // namespace

class decode_workspaces_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decode_workspaces_test);
    CPPUNIT_TEST(workspacesSayWhatTheyHold);
    CPPUNIT_TEST(withoutThemNobodyNeedsAKey);
    CPPUNIT_TEST(oneThatCantBeReadHurtsNoOther);
    CPPUNIT_TEST(noReasonShowsAKey);
    CPPUNIT_TEST(whatAHeaderCantHoldIsNoName);
    CPPUNIT_TEST_SUITE_END();

public:
    void workspacesSayWhatTheyHold()
    {
        const auto table = readOf(R"([{"name":"a","apiKeys":["k1","k2"],"priority":1},
            {"name":"\u0c15\u0c4a","apiKeys":[]}])")
                                   .table;
        CPPUNIT_ASSERT(table.needsKeys && !table.hasUnreadKeys);
        CPPUNIT_ASSERT(table.workspaces[0].keys.at(1) == digest128Of("k2"));
        CPPUNIT_ASSERT(table.workspaces[0].rank == 1U && !table.workspaces[1].rank);
        CPPUNIT_ASSERT(!table.routes[0].isAnonymous && table.routes[1].isAnonymous);
    }

    void withoutThemNobodyNeedsAKey()
    {
        CPPUNIT_ASSERT(
                !valueOf(decodeRoutes(configWith(json(json::value_t::discarded)))).table.needsKeys);
        CPPUNIT_ASSERT(readOf("[]").table.needsKeys);
    }

    /// Guards against one bad entry that locks all callers out, and against a final refusal of
    /// callers whose keys stand in it.
    void oneThatCantBeReadHurtsNoOther()
    {
        const auto read = readOf(R"([7,{"name":"a","apiKeys":["k1",4]},{"name":"b"},
            {"name":"c","apiKeys":["k3"]}])");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.table.workspaces.size());
        CPPUNIT_ASSERT(read.table.hasUnreadKeys);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, read.refused.size());
    }

    /// Guards against keys in the log.
    void noReasonShowsAKey()
    {
        const auto read = readOf(R"([{"name":"a","apiKeys":"secret-1"},{"name":7,
            "apiKeys":["secret-2"]},"secret-3",{"name":"c","apiKeys":[["secret-4"]]}])");
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, read.refused.size());
        for (const error &one : read.refused)
            CPPUNIT_ASSERT_MESSAGE(one.message, one.message.find("secret") == std::string::npos);
    }

    /// Guards against a name that ends a header and begins another one.
    void whatAHeaderCantHoldIsNoName()
    {
        const auto read = readOf(R"([{"name":"a\r\nX: y","apiKeys":["k1"]},
            {"name":"","apiKeys":["k2"]}])");
        CPPUNIT_ASSERT(read.table.workspaces.empty() && read.table.hasUnreadKeys);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decode_workspaces_test);

} // namespace poplarspool::adapter
