#include "adapter/scripted_store.h"
#include "own_process.h"
#include "platform/dialect.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;

using poplarspool::test::expectEndsWell;
using test::jsonReply;
using test::scripted_store;

/// Arrays in each other; within the bytes that one object may have.
std::string nested()
{
    constexpr std::size_t levels = 400'000;
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

class nested_json_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(nested_json_test);
    CPPUNIT_TEST(aNestedObjectHidesNoOthers);
    CPPUNIT_TEST(aNestedChangeHidesNoOthers);
    CPPUNIT_TEST(aNestedRefusalIsRead);
    CPPUNIT_TEST(nestedAnswersOfRunnersAreNone);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Every instance that listed such an object ended, again after each start.
    void aNestedObjectHidesNoOthers()
    {
        expectEndsWell([] {
            scripted_store store({jsonReply(
                    R"({"items":[{"metadata":{"name":"a"},"spec":)" + nested()
                    + R"(},{"metadata":{"name":"b"},"spec":{"x":1}}],)" + R"("currentRev":5})")});
            store_client client(store.address, store.metrics);
            const auto all = client.list("k", read_mode::Current);
            return succeeded(all) && valueOf(all).objects.size() == 2
                    && valueOf(all).objects.back().spec == nlohmann::json{{"x", 1}};
        });
    }

    void aNestedChangeHidesNoOthers()
    {
        expectEndsWell([] {
            scripted_store store(
                    {jsonReply(R"({"events":[{"object":{"metadata":)" + nested()
                               + R"(}},{"object":{"metadata":{"name":"b"},"spec":{"x":1}}}],)"
                               + R"("currentRev":6})")});
            store_client client(store.address, store.metrics);
            const auto seen = client.watch("k", 5, 10ms);
            return succeeded(seen) && valueOf(seen).changes.size() == 2
                    && valueOf(seen).changes.back().object.name == "b";
        });
    }

    void aNestedRefusalIsRead()
    {
        expectEndsWell([] {
            const std::string standing =
                    R"({"metadata":{"name":"n"},"spec":{"x":)" + nested() + "}}";
            scripted_store store({jsonReply(standing, 409), jsonReply("{}")});
            store_client client(store.address, store.metrics);
            return succeeded(client.put("k", "n", {{"x", 1}})) && store.asked.size() == 2;
        });
    }

    void nestedAnswersOfRunnersAreNone()
    {
        expectEndsWell([] {
            const gateway::dialect names = platformDialect();
            return !names.readReport(R"({"seq":)" + nested() + "}")
                    && !names.readReport(R"({"busy":)" + nested() + R"(,"seq":1})")
                    && !names.readHandle(R"({"kvHandle":)" + nested() + "}");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(nested_json_test);

} // namespace poplarspool::adapter
