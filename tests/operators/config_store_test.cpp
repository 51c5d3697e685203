#include "operators/memory_store.h"
#include "operators/sample_files.h"
#include "poplarspool/operators/config_store.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace poplarspool;
using namespace poplarspool::operators;

namespace {

const std::string deployment = "demo";

apply_request change(const std::string &author, const std::string &inventory,
                     std::optional<std::uint64_t> ifVersion = std::nullopt)
{
    return {inventory, sampleRules(), "nonce of " + author, author, ifVersion};
}

result<apply_reply> apply(memory_store &store, const apply_request &request)
{
    return applyConfig(store.client(), deployment, request,
                       systemClock().mono() + std::chrono::seconds(30));
}

std::uint64_t acceptedVersion(const result<apply_reply> &outcome)
{
    CPPUNIT_ASSERT_MESSAGE(succeeded(outcome) ? "" : errorOf(outcome).message, succeeded(outcome));
    return valueOf(outcome).version;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class config_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_store_test);
    CPPUNIT_TEST(acceptedConfigIsReadBack);
    CPPUNIT_TEST(headRoundTripsThroughJson);
    CPPUNIT_TEST(sameNonceIsAppliedOnce);
    CPPUNIT_TEST(conflictDescribesBothChanges);
    CPPUNIT_TEST(lostReplyIsResolved);
    CPPUNIT_TEST(lostReplyIsResolvedAfterAnotherChange);
    CPPUNIT_TEST(lostReplyDuringOutageMayHaveRun);
    CPPUNIT_TEST(unavailableStoreIsNotRun);
    CPPUNIT_TEST(inventoryOfOtherDeploymentIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptedConfigIsReadBack()
    {
        memory_store store;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             valueOf(readConfig(store.client(), deployment)).version);
        const std::uint64_t version =
                acceptedVersion(apply(store, change("ana", sampleInventory())));
        const auto stored = readConfig(store.client(), deployment);
        CPPUNIT_ASSERT(succeeded(stored));
        CPPUNIT_ASSERT_EQUAL(version, valueOf(stored).version);
        CPPUNIT_ASSERT_EQUAL(sampleInventory(), valueOf(stored).inventoryText);
        CPPUNIT_ASSERT_EQUAL(sampleRules(), valueOf(stored).rulesText);
        CPPUNIT_ASSERT_EQUAL(std::string("ana"), valueOf(stored).head.author);
    }

    void headRoundTripsThroughJson()
    {
        const config_head head{"a", "b", "n", "Māra \"x\"", 7, {{3, "c", "d", "m", "o", 5}}};
        CPPUNIT_ASSERT(valueOf(parseConfigHead(textOf(head))) == head);
        for (const char *text : {"", "[]", "{}", R"({"inventory_sha":1})"})
            CPPUNIT_ASSERT(!succeeded(parseConfigHead(text)));
    }

    // An operator repeats a change because the first reply was lost, and another change was
    // accepted in between. Both replies must give the version of the first try, and the other
    // change must stay in force.
    void sameNonceIsAppliedOnce()
    {
        memory_store store;
        const std::uint64_t first = acceptedVersion(apply(store, change("ana", sampleInventory())));
        const std::uint64_t second =
                acceptedVersion(apply(store, change("bo", sampleInventory("engine-1"))));
        CPPUNIT_ASSERT(second > first);
        CPPUNIT_ASSERT_EQUAL(first,
                             acceptedVersion(apply(store, change("ana", sampleInventory()))));
        CPPUNIT_ASSERT_EQUAL(second, valueOf(readConfig(store.client(), deployment)).version);
    }

    // Two operators change the same version. The second change is rejected with the verdict NotRun,
    // and the message names the author of the first change and the differences of both.
    void conflictDescribesBothChanges()
    {
        memory_store store;
        const std::uint64_t base = acceptedVersion(apply(store, change("ana", sampleInventory())));
        acceptedVersion(apply(store, change("bo", sampleInventory("engine-1"), base)));
        const auto rejected = apply(store, change("cy", sampleInventory("engine-2"), base));
        CPPUNIT_ASSERT(!succeeded(rejected));
        CPPUNIT_ASSERT(errorOf(rejected).code == error_code::Conflict);
        CPPUNIT_ASSERT(errorOf(rejected).ran == verdict::NotRun);
        const std::string &message = errorOf(rejected).message;
        CPPUNIT_ASSERT_MESSAGE(message, contains(message, "bo changed it at 20"));
        CPPUNIT_ASSERT_MESSAGE(message, contains(message, "Z [~runner engine-1 (draining)]"));
        CPPUNIT_ASSERT_MESSAGE(
                message, contains(message, "the change of cy is [~runner engine-2 (draining)]"));
    }

    // The store accepts the head, but its reply is lost. The operator must still get the version.
    void lostReplyIsResolved()
    {
        memory_store store;
        store.loseReplyFor(headKey(deployment), [] {});
        const std::uint64_t version =
                acceptedVersion(apply(store, change("ana", sampleInventory())));
        CPPUNIT_ASSERT_EQUAL(version, valueOf(readConfig(store.client(), deployment)).version);
    }

    // The store accepts the head and its reply is lost. Before the head is read back, another
    // operator replaces it. Comparing only the current head would report the first change as
    // NotRun, although it was in force for a short time; the history in the head shows that it was
    // accepted.
    void lostReplyIsResolvedAfterAnotherChange()
    {
        memory_store store;
        std::uint64_t other = 0;
        store.loseReplyFor(headKey(deployment), [&] {
            other = acceptedVersion(apply(store, change("bo", sampleInventory("engine-1"))));
        });
        const std::uint64_t version =
                acceptedVersion(apply(store, change("ana", sampleInventory())));
        CPPUNIT_ASSERT(version < other);
        CPPUNIT_ASSERT_EQUAL(other, valueOf(readConfig(store.client(), deployment)).version);
    }

    // The store accepts the head, its reply is lost, and the store stays unavailable. It is unknown
    // whether the change was accepted, so the verdict must not be NotRun.
    void lostReplyDuringOutageMayHaveRun()
    {
        memory_store store;
        store.loseReplyFor(headKey(deployment), [&] { store.setUnavailable(); });
        const auto outcome =
                applyConfig(store.client(), deployment, change("ana", sampleInventory()),
                            systemClock().mono() + std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(!succeeded(outcome));
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
    }

    void unavailableStoreIsNotRun()
    {
        memory_store store;
        store.setUnavailable();
        const auto outcome = apply(store, change("ana", sampleInventory()));
        CPPUNIT_ASSERT(!succeeded(outcome));
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
    }

    // An operator of two deployments sends the inventory of one to an instance of the other.
    // Accepting it would remove every runner of the instance's own deployment.
    void inventoryOfOtherDeploymentIsRejected()
    {
        memory_store store;
        std::string foreign = sampleInventory();
        foreign.replace(foreign.find("demo"), 4, "other");
        const auto outcome = apply(store, change("ana", foreign));
        CPPUNIT_ASSERT(!succeeded(outcome));
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::BadRequest);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             valueOf(readConfig(store.client(), deployment)).version);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_store_test);
