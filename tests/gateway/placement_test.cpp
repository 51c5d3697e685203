#include "poplarspool/gateway/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

constexpr mono_time now{std::chrono::hours(1)};

placement_candidate candidateOf(const std::string &id, engine_stage stage = engine_stage::None)
{
    runner made;
    made.id.text = id;
    made.service.text = "s";
    made.zone.text = "z";
    made.slots = 6;
    made.stage = stage;
    placement_candidate one;
    one.target = std::make_shared<const runner>(made);
    return one;
}

placement_query serviceQuery()
{
    placement_query query;
    query.service.text = "s";
    query.zone.text = "z";
    query.now = now;
    return query;
}

/// A long prompt, most of which is shared.
placement_query engineQuery()
{
    placement_query query = serviceQuery();
    query.engine = engine_traits{128, 800000, 18432, 350000};
    query.promptTokens = 17000;
    query.sharedTokens = 13300;
    query.objectiveLeftMs = 500;
    return query;
}

std::string servingOf(const placement_query &query,
                      const std::vector<placement_candidate> &candidates)
{
    const auto chosen = choosePlacement(query, candidates);
    const auto *place = std::get_if<placement>(&chosen);
    return place == nullptr ? std::string() : place->serving->id.text;
}

} // namespace

class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(ejectedRunnersAreNotChosen);
    CPPUNIT_TEST(ejectedRunnersAreUsedIfTooFewRemain);
    CPPUNIT_TEST(misdirectedRunnersAreNeverChosen);
    CPPUNIT_TEST(restingRunnersAreNotChosenHoweverFewRemain);
    CPPUNIT_TEST(nothingIsPrefilledIfAllThatCouldGoOnRest);
    CPPUNIT_TEST(refusalSaysWhenTheFirstRestEnds);
    CPPUNIT_TEST(restingEnginesAreNoSourcesOfCopies);
    CPPUNIT_TEST(busyRunnerIsPreferredToSlowOne);
    CPPUNIT_TEST(missingRunnerIsUsedUntilItsGracePeriodEnds);
    CPPUNIT_TEST(noRunnerIsDistinguishedFromAllTried);
    CPPUNIT_TEST(uncachedSharedPartsArePrefilledOnOneEngine);
    CPPUNIT_TEST(cachedPartsAreCopiedInsteadOfPrefilled);
    CPPUNIT_TEST(equalHoldersAreUsedInOneOrder);
    CPPUNIT_TEST(longPromptsArePrefilledByPrefillEngines);
    CPPUNIT_TEST(decodeEnginesDoNotPrefillLongPrompts);
    CPPUNIT_TEST(prefilledRequestGoesToLeastLoadedDecoder);
    CPPUNIT_TEST(prefilledRequestStaysInItsZone);
    CPPUNIT_TEST(lateRequestsDoNotDelayOthers);
    CPPUNIT_TEST(instancesOfLargeFleetSpreadTheirChoices);
    CPPUNIT_TEST_SUITE_END();

public:
    void ejectedRunnersAreNotChosen()
    {
        std::vector<placement_candidate> all{candidateOf("a"), candidateOf("b"), candidateOf("c")};
        all[0].load.ejectedUntil = now + 1ms;
        std::set<std::string> used;
        for (std::uint64_t draw = 0; draw < 50; ++draw) {
            placement_query query = serviceQuery();
            query.draw = draw;
            used.insert(servingOf(query, all));
        }
        CPPUNIT_ASSERT(used == (std::set<std::string>{"b", "c"}));
    }

    /// Guards against a rest that is a preference only, as an ejection is.
    void restingRunnersAreNotChosenHoweverFewRemain()
    {
        std::vector<placement_candidate> all{candidateOf("a"), candidateOf("b"), candidateOf("c"),
                                             candidateOf("d")};
        for (std::size_t i = 0; i < 3; ++i)
            all[i].restsForMs = 1;
        for (std::uint64_t draw = 0; draw < 100; ++draw) {
            placement_query query = serviceQuery();
            query.draw = draw;
            CPPUNIT_ASSERT_EQUAL(std::string("d"), servingOf(query, all));
        }
    }

    void nothingIsPrefilledIfAllThatCouldGoOnRest()
    {
        std::vector<placement_candidate> all{candidateOf("p", engine_stage::Prefill),
                                             candidateOf("a", engine_stage::Decode),
                                             candidateOf("b", engine_stage::Decode)};
        all[1].restsForMs = all[2].restsForMs = 3000;
        CPPUNIT_ASSERT_EQUAL(std::string(), servingOf(engineQuery(), all));
        all[2].restsForMs = 0;
        CPPUNIT_ASSERT_EQUAL(std::string("b"), servingOf(engineQuery(), all));
    }

    void refusalSaysWhenTheFirstRestEnds()
    {
        std::vector<placement_candidate> all{candidateOf("a"), candidateOf("b"), candidateOf("c")};
        all[0].restsForMs = 3000;
        all[1].restsForMs = 1200;
        all[2].limitedForMs = 2000;
        const auto chosen = choosePlacement(serviceQuery(), all);
        const auto *none = std::get_if<no_placement>(&chosen);
        CPPUNIT_ASSERT(none != nullptr && none->isResting && none->isLimited);
        CPPUNIT_ASSERT_EQUAL(1200.0, none->retryInMs);
        CPPUNIT_ASSERT(!none->areAllTried);
    }

    void restingEnginesAreNoSourcesOfCopies()
    {
        std::vector<placement_candidate> all{candidateOf("holder", engine_stage::Decode),
                                             candidateOf("a", engine_stage::Decode)};
        all[0].cachedTokens = all[0].copyableTokens = 13300;
        all[0].restsForMs = 3000;
        const auto chosen = choosePlacement(engineQuery(), all);
        const auto *place = std::get_if<placement>(&chosen);
        CPPUNIT_ASSERT(place != nullptr && !place->cacheSource);
    }

    /// This instance's link loses packets, and sends to three of four runners fail. If they were
    /// ejected, all load would go to the fourth runner, which would refuse most of it.
    void ejectedRunnersAreUsedIfTooFewRemain()
    {
        std::vector<placement_candidate> all{candidateOf("a"), candidateOf("b"), candidateOf("c"),
                                             candidateOf("d")};
        for (std::size_t i = 0; i < 3; ++i)
            all[i].load.ejectedUntil = now + 1s;
        std::set<std::string> used;
        for (std::uint64_t draw = 0; draw < 100; ++draw) {
            placement_query query = serviceQuery();
            query.draw = draw;
            used.insert(servingOf(query, all));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, used.size());
    }

    /// Unlike ejected runners, they are left out even if no other runner exists.
    void misdirectedRunnersAreNeverChosen()
    {
        std::vector<placement_candidate> all{candidateOf("a"), candidateOf("b")};
        all[0].isMisdirected = true;
        CPPUNIT_ASSERT_EQUAL(std::string("b"), servingOf(serviceQuery(), all));
        all[1].isMisdirected = true;
        CPPUNIT_ASSERT_EQUAL(std::string(), servingOf(serviceQuery(), all));
    }

    void busyRunnerIsPreferredToSlowOne()
    {
        std::vector<placement_candidate> all{candidateOf("slow"), candidateOf("busy")};
        all[0].load.slowness = 5;
        all[1].load.open = 6;
        CPPUNIT_ASSERT_EQUAL(std::string("busy"), servingOf(serviceQuery(), all));
    }

    void missingRunnerIsUsedUntilItsGracePeriodEnds()
    {
        placement_candidate one = candidateOf("a");
        runner missing = *one.target;
        missing.retainedUntil = now + 1ms;
        one.target = std::make_shared<const runner>(missing);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), servingOf(serviceQuery(), {one}));
        placement_query later = serviceQuery();
        later.now = missing.retainedUntil;
        CPPUNIT_ASSERT_EQUAL(std::string(), servingOf(later, {one}));
    }

    void noRunnerIsDistinguishedFromAllTried()
    {
        std::vector<placement_candidate> all{candidateOf("a")};
        all[0].isTried = true;
        CPPUNIT_ASSERT(std::get<no_placement>(choosePlacement(serviceQuery(), all)).areAllTried);
        CPPUNIT_ASSERT(!std::get<no_placement>(choosePlacement(serviceQuery(), {})).areAllTried);
        CPPUNIT_ASSERT(!std::get<no_placement>(choosePlacement(engineQuery(), {})).areAllTried);
    }

    /// Six instances get requests with the same beginning at the same time and don't know of each
    /// other's. Prefilled on six engines, the shared part would cost six times the work.
    void uncachedSharedPartsArePrefilledOnOneEngine()
    {
        std::vector<placement_candidate> all;
        for (const char *id : {"a", "b", "c", "d", "e", "f"})
            all.push_back(candidateOf(id, engine_stage::Decode));
        all[4].affinityRank = 0;
        all[2].affinityRank = 1;
        std::set<std::string> used;
        for (std::uint64_t draw = 0; draw < 20; ++draw) {
            placement_query query = engineQuery();
            query.draw = draw;
            used.insert(servingOf(query, all));
        }
        CPPUNIT_ASSERT(used == std::set<std::string>{"e"});
        all[4].load.ejectedUntil = now + 1s;
        CPPUNIT_ASSERT_EQUAL(std::string("c"), servingOf(engineQuery(), all));
    }

    void cachedPartsAreCopiedInsteadOfPrefilled()
    {
        std::vector<placement_candidate> all{candidateOf("holder", engine_stage::Decode),
                                             candidateOf("free", engine_stage::Decode)};
        all[0].cachedTokens = 13300;
        all[0].load.urgentPrefillMs = 400;
        CPPUNIT_ASSERT(!std::get<placement>(choosePlacement(engineQuery(), all)).cacheSource);
        all[0].copyableTokens = 13300;
        const auto place = std::get<placement>(choosePlacement(engineQuery(), all));
        CPPUNIT_ASSERT_EQUAL(std::string("free"), place.serving->id.text);
        CPPUNIT_ASSERT_EQUAL(std::string("holder"), place.cacheSource->id.text);
        CPPUNIT_ASSERT(place.prefillMs < prefillTimeMs(engine_stage::Decode, 17000, 0) / 2);
    }

    /// Several engines hold the shared parts. If each request copied from another one, none would
    /// use them often enough to keep them, and all would evict them.
    void equalHoldersAreUsedInOneOrder()
    {
        std::vector<placement_candidate> all{
                candidateOf("c", engine_stage::Decode), candidateOf("a", engine_stage::Decode),
                candidateOf("b", engine_stage::Decode), candidateOf("free", engine_stage::Decode)};
        for (placement_candidate &one : all) {
            if (one.target->id.text == "free")
                continue;
            one.cachedTokens = one.copyableTokens = 13300;
            one.load.urgentPrefillMs = 400;
        }
        for (int turn = 0; turn < 4; ++turn) {
            std::rotate(all.begin(), all.begin() + 1, all.end());
            const auto place = std::get<placement>(choosePlacement(engineQuery(), all));
            CPPUNIT_ASSERT_EQUAL(std::string("a"), place.cacheSource->id.text);
        }
    }

    void longPromptsArePrefilledByPrefillEngines()
    {
        const std::vector<placement_candidate> all{candidateOf("d", engine_stage::Decode),
                                                   candidateOf("p", engine_stage::Prefill)};
        const auto longOne = std::get<placement>(choosePlacement(engineQuery(), all));
        CPPUNIT_ASSERT_EQUAL(std::string("p"), longOne.prefill->id.text);
        CPPUNIT_ASSERT_EQUAL(std::string("d"), longOne.serving->id.text);
        placement_query small = engineQuery();
        small.promptTokens = 200;
        small.sharedTokens = 0;
        CPPUNIT_ASSERT(!std::get<placement>(choosePlacement(small, all)).prefill);
    }

    /// Prompts wait at the prefill engine, and the decode engine has nothing to prefill. If it got
    /// a long prompt, it would start no other request during the prefill, and requests that were
    /// prefilled elsewhere would wait behind it.
    void decodeEnginesDoNotPrefillLongPrompts()
    {
        std::vector<placement_candidate> all{candidateOf("d", engine_stage::Decode),
                                             candidateOf("p", engine_stage::Prefill)};
        all[1].load.urgentPrefillMs = 3000;
        const auto place = std::get<placement>(choosePlacement(engineQuery(), all));
        CPPUNIT_ASSERT(place.prefill != nullptr);
        // If the decode engine has all but the end of the prompt in its cache, little is left to
        // prefill.
        all[0].cachedTokens = 16800;
        CPPUNIT_ASSERT(!std::get<placement>(choosePlacement(engineQuery(), all)).prefill);
    }

    /// A prefilled request is admitted before the prompts that wait at its decode engine, so only
    /// the requests that run there slow it down.
    void prefilledRequestGoesToLeastLoadedDecoder()
    {
        std::vector<placement_candidate> all{candidateOf("a", engine_stage::Decode),
                                             candidateOf("b", engine_stage::Decode)};
        all[0].load.open = 20;
        all[1].load.open = 10;
        all[1].load.urgentPrefillMs = 900;
        placement_query query = engineQuery();
        query.isPrefilled = true;
        CPPUNIT_ASSERT_EQUAL(std::string("b"), servingOf(query, all));
    }

    /// Two engines have about the same load, one of them in the zone of the prefill. Moving the KV
    /// cache to the other one would be half as fast and cost twice as much.
    void prefilledRequestStaysInItsZone()
    {
        std::vector<placement_candidate> all{candidateOf("near", engine_stage::Decode),
                                             candidateOf("far", engine_stage::Decode)};
        runner far = *all[1].target;
        far.zone.text = "other";
        all[1].target = std::make_shared<const runner>(far);
        placement_query query = engineQuery();
        query.isPrefilled = true;
        query.prefillZone.text = "z";
        all[0].load.open = 8;
        CPPUNIT_ASSERT_EQUAL(std::string("near"), servingOf(query, all));
        all[0].load.open = 40;
        CPPUNIT_ASSERT_EQUAL(std::string("far"), servingOf(query, all));
    }

    /// A burst fills the engines with long prompts. Served in the order of arrival, each following
    /// request would start late as well; requests that can't be on time must be served last.
    void lateRequestsDoNotDelayOthers()
    {
        std::vector<placement_candidate> all{candidateOf("d", engine_stage::Decode)};
        all[0].load.latePrefillMs = 5000;
        placement_query query = engineQuery();
        query.promptTokens = 3000;
        query.sharedTokens = 0;
        const auto inTime = std::get<placement>(choosePlacement(query, all));
        CPPUNIT_ASSERT(inTime.urgency == send_class::Urgent);
        all[0].load.urgentPrefillMs = 600;
        const auto late = std::get<placement>(choosePlacement(query, all));
        CPPUNIT_ASSERT(late.urgency == send_class::Late);
        CPPUNIT_ASSERT(late.expectedStartMs > 5600);
    }

    /// Sixty instances place a request at the same time, and all know the same loads, half a
    /// second old. If each chose the least loaded engine, 60 of 60 requests would go to the same
    /// engine, and its callers would wait for seconds. With sampling, at most 12 go to one engine,
    /// and none to the most loaded one.
    void instancesOfLargeFleetSpreadTheirChoices()
    {
        std::vector<placement_candidate> all;
        for (int i = 0; i < 60; ++i) {
            all.push_back(candidateOf("e" + std::to_string(i), engine_stage::Decode));
            all.back().load.urgentPrefillMs = 5.0 * i;
        }
        std::map<std::string, int> counts;
        for (std::uint64_t draw = 0; draw < 60; ++draw) {
            placement_query query = engineQuery();
            query.promptTokens = 1000;
            query.sharedTokens = 0;
            query.draw = draw * 7919;
            ++counts[servingOf(query, all)];
        }
        for (const auto &[id, count] : counts)
            CPPUNIT_ASSERT_MESSAGE(id, count <= 12);
        CPPUNIT_ASSERT_EQUAL(0, counts["e59"]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

} // namespace poplarspool::gateway
