#include "gateway/caller_key.h"

#include "fixture.h"
#include "gateway/envelope.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using test::requestOf;
using test::testDialect;

route_table sampleTable()
{
    route_table made;
    made.needsKeys = true;
    made.workspaces = {{{"a"}, {digest128Of("key-a")}, {}}, {{"b"}, {digest128Of("key-b")}, 0}};
    return made;
}

const workspaces::workspace *ownerOf(const route_table &table, http_headers headers)
{
    return keyOwnerOf(requestOf("GET", "/", std::move(headers)), testDialect(), table,
                      buildRouteIndex(table));
}

} // namespace

class caller_key_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_key_test);
    CPPUNIT_TEST(keySelectsItsWorkspace);
    CPPUNIT_TEST(unknownOrMissingKeySelectsNoWorkspace);
    CPPUNIT_TEST(twoKeyHeadersSelectNoWorkspace);
    CPPUNIT_TEST(workspaceIsForwardedInsteadOfKey);
    CPPUNIT_TEST(keyHeaderIsForwardedWithoutWorkspaces);
    CPPUNIT_TEST_SUITE_END();

public:
    void keySelectsItsWorkspace()
    {
        const route_table table = sampleTable();
        CPPUNIT_ASSERT(ownerOf(table, {{"KEY", "Sign key-b"}}) == &table.workspaces[1]);
    }

    void unknownOrMissingKeySelectsNoWorkspace()
    {
        const route_table table = sampleTable();
        CPPUNIT_ASSERT(ownerOf(table, {}) == nullptr);
        CPPUNIT_ASSERT(ownerOf(table, {{"Key", "Sign key-c"}}) == nullptr);
        CPPUNIT_ASSERT(ownerOf(table, {{"Key", "Other key-a"}}) == nullptr);
    }

    /// Guards against a proxy that checks one of two key headers while the runner uses the other.
    void twoKeyHeadersSelectNoWorkspace()
    {
        const route_table table = sampleTable();
        CPPUNIT_ASSERT(ownerOf(table, {{"Key", "Sign key-a"}, {"key", "Sign key-a"}}) == nullptr);
    }

    void workspaceIsForwardedInsteadOfKey()
    {
        send_extras extras;
        extras.workspace = "a";
        extras.hidesKey = true;
        const std::string text = runnerRequestHead(
                requestOf("GET", "/", {{"key", "Sign key-a"}, {"Space", "b"}, {"Other", "x"}}),
                {"127.0.0.1", 1}, testDialect(), extras);
        CPPUNIT_ASSERT(text.find("key-a") == std::string::npos);
        CPPUNIT_ASSERT(text.find("Space: a\r\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Space: b") == std::string::npos);
        CPPUNIT_ASSERT(text.find("Other: x") != std::string::npos);
    }

    void keyHeaderIsForwardedWithoutWorkspaces()
    {
        const std::string text =
                runnerRequestHead(requestOf("GET", "/", {{"Key", "Sign key-a"}, {"Space", "b"}}),
                                  {"127.0.0.1", 1}, testDialect(), send_extras{});
        CPPUNIT_ASSERT(text.find("Key: Sign key-a") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Space") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_key_test);

} // namespace poplarspool::gateway
