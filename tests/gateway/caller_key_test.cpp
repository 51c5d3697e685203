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
                      indexOf(table));
}

} // namespace

class caller_key_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_key_test);
    CPPUNIT_TEST(theKeyNamesItsWorkspace);
    CPPUNIT_TEST(whoShowsNoKnownKeyIsNobody);
    CPPUNIT_TEST(twoKeysAreNone);
    CPPUNIT_TEST(runnersSeeTheWorkspaceAndNeverTheKey);
    CPPUNIT_TEST(withoutWorkspacesTheHeaderIsTheRunners);
    CPPUNIT_TEST_SUITE_END();

public:
    void theKeyNamesItsWorkspace()
    {
        const route_table table = sampleTable();
        CPPUNIT_ASSERT(ownerOf(table, {{"KEY", "Sign key-b"}}) == &table.workspaces[1]);
    }

    void whoShowsNoKnownKeyIsNobody()
    {
        const route_table table = sampleTable();
        CPPUNIT_ASSERT(ownerOf(table, {}) == nullptr);
        CPPUNIT_ASSERT(ownerOf(table, {{"Key", "Sign key-c"}}) == nullptr);
        CPPUNIT_ASSERT(ownerOf(table, {{"Key", "Other key-a"}}) == nullptr);
    }

    /// Guards against a proxy on the way that checks the one and passes on the other.
    void twoKeysAreNone()
    {
        const route_table table = sampleTable();
        CPPUNIT_ASSERT(ownerOf(table, {{"Key", "Sign key-a"}, {"key", "Sign key-a"}}) == nullptr);
    }

    void runnersSeeTheWorkspaceAndNeverTheKey()
    {
        send_extras extras;
        extras.workspace = "a";
        extras.hidesKey = true;
        const std::string text = runnerRequestText(
                requestOf("GET", "/", {{"key", "Sign key-a"}, {"Space", "b"}, {"Other", "x"}}),
                {"127.0.0.1", 1}, testDialect(), extras);
        CPPUNIT_ASSERT(text.find("key-a") == std::string::npos);
        CPPUNIT_ASSERT(text.find("Space: a\r\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Space: b") == std::string::npos);
        CPPUNIT_ASSERT(text.find("Other: x") != std::string::npos);
    }

    void withoutWorkspacesTheHeaderIsTheRunners()
    {
        const std::string text =
                runnerRequestText(requestOf("GET", "/", {{"Key", "Sign key-a"}, {"Space", "b"}}),
                                  {"127.0.0.1", 1}, testDialect(), send_extras{});
        CPPUNIT_ASSERT(text.find("Key: Sign key-a") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Space") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_key_test);

} // namespace poplarspool::gateway
