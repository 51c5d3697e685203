#include "platform/decode.h"
#include "platform/dialect.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using nlohmann::json;

json configWith(const json &workspaces)
{
    json spec = json::parse(R"({"version":7,"routes":[
        {"name":"r1","host":"h","pathPrefix":"/a/","kind":"streaming","service":"s"},
        {"name":"r2","host":"h","pathPrefix":"/b/","kind":"idempotent","service":"s",
         "anonymous":true}],
        "services":[{"name":"s"}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
          "idleTimeoutMs":15000}})");
    if (!workspaces.is_discarded())
        spec["tenants"] = workspaces;
    return spec;
}

decoded_routes decodeWith(const char *workspaces)
{
    return valueOf(decodeRoutes(configWith(json::parse(workspaces))));
}

} // namespace

class decode_workspaces_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decode_workspaces_test);
    CPPUNIT_TEST(workspacesAreDecoded);
    CPPUNIT_TEST(keysAreNotRequiredWithoutWorkspaces);
    CPPUNIT_TEST(unreadableWorkspaceDoesNotAffectOthers);
    CPPUNIT_TEST(errorMessagesContainNoKeys);
    CPPUNIT_TEST(namesInvalidInHeadersAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void workspacesAreDecoded()
    {
        const auto table = decodeWith(R"([{"name":"a","apiKeys":["k1","k2"],"priority":1},
            {"name":"\u0c15\u0c4a","apiKeys":[]}])")
                                   .table;
        CPPUNIT_ASSERT(table.needsKeys && !table.hasUnreadableKeys);
        CPPUNIT_ASSERT(table.workspaces[0].keys.at(1) == digest128Of("k2"));
        CPPUNIT_ASSERT(table.workspaces[0].rank == 1U && !table.workspaces[1].rank);
        CPPUNIT_ASSERT(!table.routes[0].allowsAnonymous && table.routes[1].allowsAnonymous);
    }

    void keysAreNotRequiredWithoutWorkspaces()
    {
        CPPUNIT_ASSERT(
                !valueOf(decodeRoutes(configWith(json(json::value_t::discarded)))).table.needsKeys);
        CPPUNIT_ASSERT(decodeWith("[]").table.needsKeys);
    }

    /// Guards against one invalid entry that locks out all callers, and against a final refusal of
    /// callers whose keys are in that entry.
    void unreadableWorkspaceDoesNotAffectOthers()
    {
        const auto decoded = decodeWith(R"([7,{"name":"a","apiKeys":["k1",4]},{"name":"b"},
            {"name":"c","apiKeys":["k3"]}])");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decoded.table.workspaces.size());
        CPPUNIT_ASSERT(decoded.table.hasUnreadableKeys);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decoded.rejected.size());
    }

    /// The messages are logged: guards against keys in the log.
    void errorMessagesContainNoKeys()
    {
        const auto decoded = decodeWith(R"([{"name":"a","apiKeys":"secret-1"},{"name":7,
            "apiKeys":["secret-2"]},"secret-3",{"name":"c","apiKeys":[["secret-4"]]}])");
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, decoded.rejected.size());
        for (const error &one : decoded.rejected)
            CPPUNIT_ASSERT_MESSAGE(one.message, one.message.find("secret") == std::string::npos);
    }

    /// Guards against header injection through the name of a workspace.
    void namesInvalidInHeadersAreRejected()
    {
        const auto decoded = decodeWith(R"([{"name":"a\r\nX: y","apiKeys":["k1"]},
            {"name":"","apiKeys":["k2"]}])");
        CPPUNIT_ASSERT(decoded.table.workspaces.empty() && decoded.table.hasUnreadableKeys);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decode_workspaces_test);

} // namespace poplarspool::adapter
