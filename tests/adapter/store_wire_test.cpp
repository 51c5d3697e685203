#include "adapter/scripted_store.h"
#include "platform/decode.h"
#include "platform/dialect.h"
#include "platform/store_wire.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::jsonReply;
using test::scripted_store;

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

class store_wire_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_wire_test);
    CPPUNIT_TEST(deeplyNestedObjectsDoNotHideOthers);
    CPPUNIT_TEST(unreadableEventDoesNotHideOthers);
    CPPUNIT_TEST(endlessListIsBroken);
    CPPUNIT_TEST(namesAreEncodedInQueries);
    CPPUNIT_TEST(runnerNamesInvalidInHeadersAreRejected);
    CPPUNIT_TEST(handlesInvalidInHeadersAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against stack overflow: copying such an object takes stack for each level, which
    /// ended every instance that listed it.
    void deeplyNestedObjectsDoNotHideOthers()
    {
        for (const std::string &deep : {nested(100'000), "{\"a\":" + nested(100'000) + "}"}) {
            const auto body = parseStoreReply(R"({"items":[{"metadata":{"name":"a"},"spec":)" + deep
                                              + R"(},{"metadata":{"name":"[b"},"spec":[[1]]}],
                                               "currentRev":9})");
            const auto page = pageOf(nlohmann::json(body), 0);
            CPPUNIT_ASSERT(page.has_value());
            const std::vector<store_object> copies = page->objects;
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, copies.size());
            CPPUNIT_ASSERT_EQUAL(std::string("a"), copies[0].name);
            CPPUNIT_ASSERT_EQUAL(std::string("[b"), copies[1].name);
            CPPUNIT_ASSERT(copies[1].spec == nlohmann::json::parse("[[1]]"));
        }
    }

    void unreadableEventDoesNotHideOthers()
    {
        const auto watched = changesOf(
                parseStoreReply(R"({"events":[{"object":{"metadata":{"name":"a"}},"removed":"no"},7,
                                           {"removed":true},
                                           {"object":{"metadata":{"name":"b"}},"removed":true}],
                                 "currentRev":9})"),
                0);
        CPPUNIT_ASSERT(watched.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, watched->changes.size());
        CPPUNIT_ASSERT(!watched->changes[0].isRemoved && watched->changes[3].isRemoved);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), watched->changes[3].object.name);
    }

    /// Guards against endless calls: each page says that more follow, but has no new name to
    /// continue after.
    void endlessListIsBroken()
    {
        const auto page = jsonReply(R"({"items":[{"metadata":{"name":"a"}}],"truncated":true,
                                        "currentRev":5})");
        scripted_store store(std::deque<http_reply>(20, page));
        store_client client(store.address, store.metrics);
        CPPUNIT_ASSERT(errorOf(client.list("k", read_mode::Current)).code == error_code::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store.requests.size());
    }

    /// A list continues after a name that another writer has chosen: guards against its injection
    /// into the request.
    void namesAreEncodedInQueries()
    {
        scripted_store store({jsonReply(R"({"items":[{"metadata":{"name":"a&b c\r\nX: y"}}],
                                            "truncated":true,"currentRev":5})"),
                              jsonReply(R"({"items":[],"currentRev":5})")});
        store_client client(store.address, store.metrics);
        CPPUNIT_ASSERT(succeeded(client.list("k", read_mode::Current)));
        CPPUNIT_ASSERT(store.requests[1].ends_with("k?after=a%26b%20c%0D%0AX%3A%20y"));
    }

    /// Guards against header injection: each request to a runner has its name in a header.
    void runnerNamesInvalidInHeadersAreRejected()
    {
        const nlohmann::json spec{{"service", "s"}, {"address", "10.0.0.1:80"}};
        CPPUNIT_ASSERT(succeeded(decodeRunner("i-1", spec)));
        for (const std::string name : {"i\r\nX: y", "i\n", "i\x01", ""})
            CPPUNIT_ASSERT(errorOf(decodeRunner(name, spec)).code == error_code::Broken);
    }

    /// Guards against header injection: the handle of a faulty engine is sent in the next request
    /// to another one.
    void handlesInvalidInHeadersAreRejected()
    {
        const gateway::dialect engineDialect = platformDialect();
        CPPUNIT_ASSERT(engineDialect.parseHandle(R"({"kvHandle":"a-1"})") == "a-1");
        for (const char *body : {R"({"kvHandle":"a\r\nX: y"})", R"({"kvHandle":"a b"})",
                                 R"({"kvHandle":""})", R"({"kvHandle":"\u0000"})"})
            CPPUNIT_ASSERT(!engineDialect.parseHandle(body));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_wire_test);

} // namespace poplarspool::adapter
