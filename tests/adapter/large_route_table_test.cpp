#include "adapter/follower_pair.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/wait.h>
#include <unistd.h>

namespace poplarspool::adapter {

namespace {

using test::configSpec;
using test::fake_store;
using test::follower_pair;
using test::runnerSpec;
using test::waitUntil;

constexpr int fewRoutes = 16;
constexpr int manyRoutes = 416;

/// Writes the configurations while two instances follow the store, one of them as relay for both.
/// @returns Whether all of them took effect in both instances.
bool applyTo(fake_store &store, const std::vector<std::string> &configurations)
{
    store.put(wire::runnerKind, "i-1", runnerSpec("in_service"));
    const follower_pair both(store);
    if (!waitUntil([&] { return both.followedByOthersCount() >= 2; }))
        return false;
    int version = 0;
    for (const std::string &spec : configurations) {
        store.put(wire::configKind, wire::configName, spec);
        version = nlohmann::json::parse(spec).at(wire::version).get<int>();
        if (!waitUntil([&] { return both.bothHave(static_cast<std::uint64_t>(version), false); }))
            return false;
    }
    return true;
}

/// Runs in a child process, since an exception on one of its threads terminates the process.
/// @returns The wait status from waitpid().
int waitStatusAfterApplying(const std::vector<std::string> &configurations)
{
    const pid_t child = fork();
    if (child == 0) {
        fake_store store;
        _exit(applyTo(store, configurations) ? 0 : 1);
    }
    int status = 0;
    CPPUNIT_ASSERT_EQUAL(child, waitpid(child, &status, 0));
    return status;
}

} // namespace

class large_route_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(large_route_table_test);
    CPPUNIT_TEST(largeRouteTableDoesNotTerminateInstances);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against the termination of all instances in the same second, when more routes were
    /// added than fit into one update.
    void largeRouteTableDoesNotTerminateInstances()
    {
        const int waitStatus =
                waitStatusAfterApplying({configSpec(3, fewRoutes), configSpec(6, manyRoutes),
                                         configSpec(9, manyRoutes + 1)});
        CPPUNIT_ASSERT_MESSAGE("terminated by signal " + std::to_string(WTERMSIG(waitStatus)),
                               WIFEXITED(waitStatus));
        CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(waitStatus));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(large_route_table_test);

} // namespace poplarspool::adapter
