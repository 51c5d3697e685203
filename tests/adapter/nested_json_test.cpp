#include "adapter/scripted_store.h"
#include "clean_exit.h"
#include "platform/dialect.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;

using poplarspool::test::expectCleanExit;
using test::jsonReply;
using test::scripted_store;

/// Nested arrays, within the size limit of one object.
std::string nested()
{
    constexpr std::size_t levels = 400'000;
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

class nested_json_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(nested_json_test);
    CPPUNIT_TEST(nestedObjectDoesNotHideOthers);
    CPPUNIT_TEST(nestedChangeDoesNotHideOthers);
    CPPUNIT_TEST(nestedConflictReplyIsDecoded);
    CPPUNIT_TEST(nestedRunnerRepliesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a crash of every instance that lists such an object, again after each
    /// restart.
    void nestedObjectDoesNotHideOthers()
    {
        expectCleanExit([] {
            scripted_store store({jsonReply(
                    R"({"items":[{"metadata":{"name":"a"},"spec":)" + nested()
                    + R"(},{"metadata":{"name":"b"},"spec":{"x":1}}],)" + R"("currentRev":5})")});
            store_client client(store.address, store.metrics);
            const auto listed = client.list("k", read_mode::Current);
            return succeeded(listed) && valueOf(listed).objects.size() == 2
                    && valueOf(listed).objects.back().spec == nlohmann::json{{"x", 1}};
        });
    }

    void nestedChangeDoesNotHideOthers()
    {
        expectCleanExit([] {
            scripted_store store(
                    {jsonReply(R"({"events":[{"object":{"metadata":)" + nested()
                               + R"(}},{"object":{"metadata":{"name":"b"},"spec":{"x":1}}}],)"
                               + R"("currentRev":6})")});
            store_client client(store.address, store.metrics);
            const auto watched = client.watch("k", 5, 10ms);
            return succeeded(watched) && valueOf(watched).changes.size() == 2
                    && valueOf(watched).changes.back().object.name == "b";
        });
    }

    void nestedConflictReplyIsDecoded()
    {
        expectCleanExit([] {
            const std::string storedObject =
                    R"({"metadata":{"name":"n"},"spec":{"x":)" + nested() + "}}";
            scripted_store store({jsonReply(storedObject, 409), jsonReply("{}")});
            store_client client(store.address, store.metrics);
            return succeeded(client.put("k", "n", {{"x", 1}})) && store.requests.size() == 2;
        });
    }

    void nestedRunnerRepliesAreRejected()
    {
        expectCleanExit([] {
            const gateway::dialect engineDialect = platformDialect();
            return !engineDialect.parseReport(R"({"seq":)" + nested() + "}")
                    && !engineDialect.parseReport(R"({"busy":)" + nested() + R"(,"seq":1})")
                    && !engineDialect.parseHandle(R"({"kvHandle":)" + nested() + "}");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(nested_json_test);

} // namespace poplarspool::adapter
