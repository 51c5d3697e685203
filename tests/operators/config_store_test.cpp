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

result<apply_reply> apply(memory_store &memory, const apply_request &wanted)
{
    return applyConfig(memory.use(), deployment, wanted,
                       systemClock().mono() + std::chrono::seconds(30));
}

std::uint64_t accepted(const result<apply_reply> &outcome)
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
    CPPUNIT_TEST(acceptedIsReadBack);
    CPPUNIT_TEST(headSurvivesItsText);
    CPPUNIT_TEST(sameNonceIsOneChange);
    CPPUNIT_TEST(raceShowsBothChanges);
    CPPUNIT_TEST(lostAnswerIsResolved);
    CPPUNIT_TEST(lostAnswerThenReplaced);
    CPPUNIT_TEST(storeGoneAfterLostAnswer);
    CPPUNIT_TEST(storeDownIsNotRun);
    CPPUNIT_TEST(foreignInventoryIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptedIsReadBack()
    {
        memory_store memory;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             valueOf(readConfig(memory.use(), deployment)).version);
        const std::uint64_t version = accepted(apply(memory, change("ana", sampleInventory())));
        const auto stored = readConfig(memory.use(), deployment);
        CPPUNIT_ASSERT(succeeded(stored));
        CPPUNIT_ASSERT_EQUAL(version, valueOf(stored).version);
        CPPUNIT_ASSERT_EQUAL(sampleInventory(), valueOf(stored).inventoryText);
        CPPUNIT_ASSERT_EQUAL(sampleRules(), valueOf(stored).rulesText);
        CPPUNIT_ASSERT_EQUAL(std::string("ana"), valueOf(stored).head.author);
    }

    void headSurvivesItsText()
    {
        const config_head head{"a", "b", "n", "Māra \"x\"", 7, {{3, "c", "d", "m", "o", 5}}};
        CPPUNIT_ASSERT(valueOf(parseConfigHead(textOf(head))) == head);
        for (const char *text : {"", "[]", "{}", R"({"inventory_sha":1})"})
            CPPUNIT_ASSERT(!succeeded(parseConfigHead(text)));
    }

    // An operator sends the same change twice, as the first answer did not come. In between another
    // one was accepted. Both answers give the version of the first, and the other change stands.
    void sameNonceIsOneChange()
    {
        memory_store memory;
        const std::uint64_t first = accepted(apply(memory, change("ana", sampleInventory())));
        const std::uint64_t second =
                accepted(apply(memory, change("bo", sampleInventory("engine-1"))));
        CPPUNIT_ASSERT(second > first);
        CPPUNIT_ASSERT_EQUAL(first, accepted(apply(memory, change("ana", sampleInventory()))));
        CPPUNIT_ASSERT_EQUAL(second, valueOf(readConfig(memory.use(), deployment)).version);
    }

    // Two operators start from the same version. The second one to arrive is refused with a true
    // "not run", and reads who was first and what both of them changed.
    void raceShowsBothChanges()
    {
        memory_store memory;
        const std::uint64_t base = accepted(apply(memory, change("ana", sampleInventory())));
        accepted(apply(memory, change("bo", sampleInventory("engine-1"), base)));
        const auto late = apply(memory, change("cy", sampleInventory("engine-2"), base));
        CPPUNIT_ASSERT(!succeeded(late));
        CPPUNIT_ASSERT(errorOf(late).code == error_code::Conflict);
        CPPUNIT_ASSERT(errorOf(late).ran == verdict::NotRun);
        const std::string &message = errorOf(late).message;
        CPPUNIT_ASSERT_MESSAGE(message, contains(message, "bo changed it at 20"));
        CPPUNIT_ASSERT_MESSAGE(message, contains(message, "Z [~runner engine-1 (draining)]"));
        CPPUNIT_ASSERT_MESSAGE(
                message, contains(message, "the change of cy is [~runner engine-2 (draining)]"));
    }

    // The store accepts the head, but its answer is lost. The operator still learns the version.
    void lostAnswerIsResolved()
    {
        memory_store memory;
        memory.loseAnswerOf(headKey(deployment), [] {});
        const std::uint64_t version = accepted(apply(memory, change("ana", sampleInventory())));
        CPPUNIT_ASSERT_EQUAL(version, valueOf(readConfig(memory.use(), deployment)).version);
    }

    // The store accepts the head, its answer is lost, and before it is read back another operator
    // replaces it. A plain comparison would call the first change "not run", which is false: it was
    // in force for a moment. The head's memory of earlier changes tells.
    void lostAnswerThenReplaced()
    {
        memory_store memory;
        std::uint64_t other = 0;
        memory.loseAnswerOf(headKey(deployment), [&] {
            other = accepted(apply(memory, change("bo", sampleInventory("engine-1"))));
        });
        const std::uint64_t version = accepted(apply(memory, change("ana", sampleInventory())));
        CPPUNIT_ASSERT(version < other);
        CPPUNIT_ASSERT_EQUAL(other, valueOf(readConfig(memory.use(), deployment)).version);
    }

    // The store accepts the head, its answer is lost, and the store stays down. Nobody can say
    // whether the change was accepted, and the answer must not claim that it was not.
    void storeGoneAfterLostAnswer()
    {
        memory_store memory;
        memory.loseAnswerOf(headKey(deployment), [&] { memory.goDown(); });
        const auto outcome = applyConfig(memory.use(), deployment, change("ana", sampleInventory()),
                                         systemClock().mono() + std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(!succeeded(outcome));
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
    }

    void storeDownIsNotRun()
    {
        memory_store memory;
        memory.goDown();
        const auto outcome = apply(memory, change("ana", sampleInventory()));
        CPPUNIT_ASSERT(!succeeded(outcome));
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
    }

    // An operator looks after two deployments and sends the inventory of one to an instance of the
    // other. Accepting it would withdraw the whole fleet.
    void foreignInventoryIsRefused()
    {
        memory_store memory;
        std::string foreign = sampleInventory();
        foreign.replace(foreign.find("demo"), 4, "other");
        const auto outcome = apply(memory, change("ana", foreign));
        CPPUNIT_ASSERT(!succeeded(outcome));
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::BadRequest);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             valueOf(readConfig(memory.use(), deployment)).version);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_store_test);
