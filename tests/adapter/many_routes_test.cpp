#include "adapter/pair_of_instances.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/wait.h>
#include <unistd.h>

namespace poplarspool::adapter {

namespace {

using test::configSpec;
using test::pair_of_instances;
using test::runnerSpec;
using test::small_store;
using test::waitUntil;

constexpr int fewRoutes = 16;
constexpr int manyRoutes = 416;

/// What the operators write while two instances follow the store, one of them for both.
/// @returns Whether both have all of it in force.
bool takeInto(small_store &store, const std::vector<std::string> &configurations)
{
    store.put(wire::runnerKind, "i-1", runnerSpec("in_service"));
    const pair_of_instances both(store);
    if (!waitUntil([&] { return both.followedByOthers() >= 2; }))
        return false;
    int version = 0;
    for (const std::string &spec : configurations) {
        store.put(wire::configKind, wire::configName, spec);
        version = nlohmann::json::parse(spec).at(wire::version).get<int>();
        if (!waitUntil([&] { return both.bothKnow(static_cast<std::uint64_t>(version), false); }))
            return false;
    }
    return true;
}

/// In a process of its own: an exception on one of its threads ends it.
/// @returns How it ended, as waitpid() says it.
int endOfProcessThatTakes(const std::vector<std::string> &configurations)
{
    const pid_t child = fork();
    if (child == 0) {
        small_store store;
        _exit(takeInto(store, configurations) ? 0 : 1);
    }
    int status = 0;
    CPPUNIT_ASSERT_EQUAL(child, waitpid(child, &status, 0));
    return status;
}

} // namespace

class many_routes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(many_routes_test);
    CPPUNIT_TEST(manyRoutesEndNoInstance);
    CPPUNIT_TEST_SUITE_END();

public:
    /// All instances ended in the same second when more routes were added than one message tells.
    void manyRoutesEndNoInstance()
    {
        const int end = endOfProcessThatTakes({configSpec(3, fewRoutes), configSpec(6, manyRoutes),
                                               configSpec(9, manyRoutes + 1)});
        CPPUNIT_ASSERT_MESSAGE("ended by signal " + std::to_string(WTERMSIG(end)), WIFEXITED(end));
        CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(end));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(many_routes_test);

} // namespace poplarspool::adapter
