#include "poplarspool/gateway/placing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

constexpr mono_time now{std::chrono::hours(1)};

place_candidate candidateOf(const std::string &id, engine_stage stage = engine_stage::None)
{
    runner made;
    made.id.text = id;
    made.service.text = "s";
    made.zone.text = "z";
    made.slots = 6;
    made.stage = stage;
    place_candidate one;
    one.target = std::make_shared<const runner>(made);
    return one;
}

place_wish plainWish()
{
    place_wish wish;
    wish.service.text = "s";
    wish.zone.text = "z";
    wish.now = now;
    return wish;
}

/// A long prompt of which most is shared.
place_wish engineWish()
{
    place_wish wish = plainWish();
    wish.engine = engine_traits{128, 800000, 18432, 350000};
    wish.promptTokens = 17000;
    wish.sharedTokens = 13300;
    wish.affinityKey = 7;
    wish.objectiveLeftMs = 500;
    return wish;
}

std::string servingOf(const place_wish &wish, const std::vector<place_candidate> &candidates)
{
    const auto chosen = choosePlace(wish, candidates);
    const auto *place = std::get_if<placement>(&chosen);
    return place == nullptr ? std::string() : place->serving->id.text;
}

} // namespace

class placing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placing_test);
    CPPUNIT_TEST(runnersThatFailedLatelyAreLeftOut);
    CPPUNIT_TEST(oneOfFewIsUsedThoughItFailed);
    CPPUNIT_TEST(misdirectedRunnersGetNothing);
    CPPUNIT_TEST(slowRunnersGetLess);
    CPPUNIT_TEST(missingRunnersAreUsedUntilTheirTime);
    CPPUNIT_TEST(nobodyThereIsToldFromAllTried);
    CPPUNIT_TEST(coldPartsAreReadAtOnePlaceByAll);
    CPPUNIT_TEST(heldPartsAreCopiedAndNotReadAgain);
    CPPUNIT_TEST(longPromptsAreReadByPrefillEngines);
    CPPUNIT_TEST(enginesThatRunRequestsReadNoLongPrompts);
    CPPUNIT_TEST(readPromptsGoWhereLeastRuns);
    CPPUNIT_TEST(readPromptsStayInTheirZone);
    CPPUNIT_TEST(whatIsLateDoesNotHoldUpWhatIsNot);
    CPPUNIT_TEST(largeFleetsDontAllChooseTheSameEngine);
    CPPUNIT_TEST_SUITE_END();

public:
    void runnersThatFailedLatelyAreLeftOut()
    {
        std::vector<place_candidate> all{candidateOf("a"), candidateOf("b"), candidateOf("c")};
        all[0].load.setAsideUntil = now + 1ms;
        std::set<std::string> used;
        for (std::uint64_t draw = 0; draw < 50; ++draw) {
            place_wish wish = plainWish();
            wish.draw = draw;
            used.insert(servingOf(wish, all));
        }
        CPPUNIT_ASSERT(used == (std::set<std::string>{"b", "c"}));
    }

    /// A link of ours loses packets, and sends to three of four runners fail. Left out, all of the
    /// load would go to the fourth, which sheds it.
    void oneOfFewIsUsedThoughItFailed()
    {
        std::vector<place_candidate> all{candidateOf("a"), candidateOf("b"), candidateOf("c"),
                                         candidateOf("d")};
        for (std::size_t i = 0; i < 3; ++i)
            all[i].load.setAsideUntil = now + 1s;
        std::set<std::string> used;
        for (std::uint64_t draw = 0; draw < 100; ++draw) {
            place_wish wish = plainWish();
            wish.draw = draw;
            used.insert(servingOf(wish, all));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, used.size());
    }

    /// Unlike runners that failed, they are left out even where no other is there.
    void misdirectedRunnersGetNothing()
    {
        std::vector<place_candidate> all{candidateOf("a"), candidateOf("b")};
        all[0].isMisdirected = true;
        CPPUNIT_ASSERT_EQUAL(std::string("b"), servingOf(plainWish(), all));
        all[1].isMisdirected = true;
        CPPUNIT_ASSERT_EQUAL(std::string(), servingOf(plainWish(), all));
    }

    void slowRunnersGetLess()
    {
        std::vector<place_candidate> all{candidateOf("slow"), candidateOf("busy")};
        all[0].load.slowness = 5;
        all[1].load.open = 6;
        CPPUNIT_ASSERT_EQUAL(std::string("busy"), servingOf(plainWish(), all));
    }

    void missingRunnersAreUsedUntilTheirTime()
    {
        place_candidate one = candidateOf("a");
        runner missing = *one.target;
        missing.keptUntil = now + 1ms;
        one.target = std::make_shared<const runner>(missing);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), servingOf(plainWish(), {one}));
        place_wish later = plainWish();
        later.now = missing.keptUntil;
        CPPUNIT_ASSERT_EQUAL(std::string(), servingOf(later, {one}));
    }

    void nobodyThereIsToldFromAllTried()
    {
        std::vector<place_candidate> all{candidateOf("a")};
        all[0].isTried = true;
        CPPUNIT_ASSERT(std::get<no_place>(choosePlace(plainWish(), all)).areAllTried);
        CPPUNIT_ASSERT(!std::get<no_place>(choosePlace(plainWish(), {})).areAllTried);
        CPPUNIT_ASSERT(!std::get<no_place>(choosePlace(engineWish(), {})).areAllTried);
    }

    /// Six instances get requests that begin alike at the same moment, and none of them knows of
    /// the others'. Read at six engines, the shared part costs six times the work.
    void coldPartsAreReadAtOnePlaceByAll()
    {
        std::vector<place_candidate> all;
        for (const char *id : {"a", "b", "c", "d", "e", "f"})
            all.push_back(candidateOf(id, engine_stage::Decode));
        std::set<std::string> used;
        for (std::uint64_t draw = 0; draw < 20; ++draw) {
            place_wish wish = engineWish();
            wish.draw = draw;
            used.insert(servingOf(wish, all));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, used.size());
    }

    void heldPartsAreCopiedAndNotReadAgain()
    {
        std::vector<place_candidate> all{candidateOf("holder", engine_stage::Decode),
                                         candidateOf("free", engine_stage::Decode)};
        all[0].cachedTokens = 13300;
        all[0].load.readingMs = 400;
        CPPUNIT_ASSERT(!std::get<placement>(choosePlace(engineWish(), all)).cacheHolder);
        all[0].readTokens = 13300;
        const auto place = std::get<placement>(choosePlace(engineWish(), all));
        CPPUNIT_ASSERT_EQUAL(std::string("free"), place.serving->id.text);
        CPPUNIT_ASSERT_EQUAL(std::string("holder"), place.cacheHolder->id.text);
        CPPUNIT_ASSERT(place.readingMs < readingTimeMs(engine_stage::Decode, 17000, 0) / 2);
    }

    void longPromptsAreReadByPrefillEngines()
    {
        const std::vector<place_candidate> all{candidateOf("d", engine_stage::Decode),
                                               candidateOf("p", engine_stage::Prefill)};
        const auto longOne = std::get<placement>(choosePlace(engineWish(), all));
        CPPUNIT_ASSERT_EQUAL(std::string("p"), longOne.prefill->id.text);
        CPPUNIT_ASSERT_EQUAL(std::string("d"), longOne.serving->id.text);
        place_wish small = engineWish();
        small.promptTokens = 200;
        small.sharedTokens = 0;
        CPPUNIT_ASSERT(!std::get<placement>(choosePlace(small, all)).prefill);
    }

    /// Prompts wait at the engine that reads, and the one that runs requests has nothing to read.
    /// Given a long prompt, it would start nothing else for as long as it reads, and the callers
    /// whose prompts were read elsewhere would wait behind it.
    void enginesThatRunRequestsReadNoLongPrompts()
    {
        std::vector<place_candidate> all{candidateOf("d", engine_stage::Decode),
                                         candidateOf("p", engine_stage::Prefill)};
        all[1].load.readingMs = 3000;
        const auto place = std::get<placement>(choosePlace(engineWish(), all));
        CPPUNIT_ASSERT(place.prefill != nullptr);
        // Of a prompt that it has in its cache but for the end, there is little to read.
        all[0].cachedTokens = 16800;
        CPPUNIT_ASSERT(!std::get<placement>(choosePlace(engineWish(), all)).prefill);
    }

    /// A prompt was read elsewhere. Its request is admitted before the prompts that wait at the
    /// engine where it runs, so that only what runs there slows it.
    void readPromptsGoWhereLeastRuns()
    {
        std::vector<place_candidate> all{candidateOf("a", engine_stage::Decode),
                                         candidateOf("b", engine_stage::Decode)};
        all[0].load.open = 20;
        all[1].load.open = 10;
        all[1].load.readingMs = 900;
        place_wish wish = engineWish();
        wish.isRead = true;
        CPPUNIT_ASSERT_EQUAL(std::string("b"), servingOf(wish, all));
    }

    /// Two engines run about as much, one of them in the zone where the prompt was read. To the
    /// other one, its KV cache would be moved at half the pace and twice the price.
    void readPromptsStayInTheirZone()
    {
        std::vector<place_candidate> all{candidateOf("near", engine_stage::Decode),
                                         candidateOf("far", engine_stage::Decode)};
        runner far = *all[1].target;
        far.zone.text = "other";
        all[1].target = std::make_shared<const runner>(far);
        place_wish wish = engineWish();
        wish.isRead = true;
        wish.readerZone.text = "z";
        all[0].load.open = 8;
        CPPUNIT_ASSERT_EQUAL(std::string("near"), servingOf(wish, all));
        all[0].load.open = 40;
        CPPUNIT_ASSERT_EQUAL(std::string("far"), servingOf(wish, all));
    }

    /// A burst fills the engines with long prompts. Served as they came, each of those that follow
    /// would start late as well; now what can't be on time yields.
    void whatIsLateDoesNotHoldUpWhatIsNot()
    {
        std::vector<place_candidate> all{candidateOf("d", engine_stage::Decode)};
        all[0].load.laterMs = 5000;
        place_wish wish = engineWish();
        wish.promptTokens = 3000;
        wish.sharedTokens = 0;
        const auto inTime = std::get<placement>(choosePlace(wish, all));
        CPPUNIT_ASSERT(inTime.urgency == send_class::Urgent);
        all[0].load.readingMs = 600;
        const auto late = std::get<placement>(choosePlace(wish, all));
        CPPUNIT_ASSERT(late.urgency == send_class::Later);
        CPPUNIT_ASSERT(late.expectedStartMs > 5600);
    }

    /// Sixty instances place at the same moment, and all know the same loads, half a second old.
    /// Each choosing the least loaded engine, all chose one, and its callers waited seconds.
    /// Before: 60 of 60 at one engine. Now: at most 12, while none gets the most loaded ones.
    void largeFleetsDontAllChooseTheSameEngine()
    {
        std::vector<place_candidate> all;
        for (int i = 0; i < 60; ++i) {
            all.push_back(candidateOf("e" + std::to_string(i), engine_stage::Decode));
            all.back().load.readingMs = 5.0 * i;
        }
        std::map<std::string, int> counts;
        for (std::uint64_t draw = 0; draw < 60; ++draw) {
            place_wish wish = engineWish();
            wish.promptTokens = 1000;
            wish.sharedTokens = 0;
            wish.affinityKey = 0;
            wish.draw = draw * 7919;
            ++counts[servingOf(wish, all)];
        }
        for (const auto &[id, count] : counts)
            CPPUNIT_ASSERT_MESSAGE(id, count <= 12);
        CPPUNIT_ASSERT_EQUAL(0, counts["e59"]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placing_test);

} // namespace poplarspool::gateway
