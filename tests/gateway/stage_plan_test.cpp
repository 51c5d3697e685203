#include "poplarspool/gateway/stage_plan.h"

#include "poplarspool/gateway/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

constexpr mono_time start{std::chrono::hours(1)};
const engine_traits largeBatch{128, 800000, 18432, 350000};
const engine_traits smallBatch{16, 650000, 18432, 280000};

std::vector<stage_engine> enginesOf(std::uint32_t prefill, std::uint32_t decode)
{
    std::vector<stage_engine> made;
    for (std::uint32_t i = 0; i < prefill + decode; ++i) {
        const auto stage = i < prefill ? engine_stage::Prefill : engine_stage::Decode;
        made.push_back({{"e" + std::to_string(i)}, {"z" + std::to_string(i % 3)}, stage, 0, false});
    }
    return made;
}

} // namespace

class stage_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stage_plan_test);
    CPPUNIT_TEST(mostEnginesDoPrefill);
    CPPUNIT_TEST(smallBatchesNeedMoreDecoders);
    CPPUNIT_TEST(servicesWithFewEnginesAreNotChanged);
    CPPUNIT_TEST(fullDecodersGetMoreEngines);
    CPPUNIT_TEST(changesPreferIdleEnginesAndSpreadOverZones);
    CPPUNIT_TEST(enginesWithAPendingOrderGetNoOther);
    CPPUNIT_TEST(shortCrashCausesNoChange);
    CPPUNIT_TEST(changesAreLimitedUnderLoad);
    CPPUNIT_TEST(enginesBeyondWhatInstancesCanUseKeepTheirStage);
    CPPUNIT_TEST(planningTimeGrowsWithTheFleetOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Nine engines start with four in the prefill and five in the decode stage. Prompts queue at
    /// the prefill engines while the decode engines are underused, so first events are late.
    void mostEnginesDoPrefill()
    {
        const auto changes = planStages(enginesOf(4, 5), largeBatch, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changes.size());
        for (const stage_change &one : changes)
            CPPUNIT_ASSERT(one.wanted == engine_stage::Prefill);
        CPPUNIT_ASSERT(planStages(enginesOf(7, 2), largeBatch, {}).empty());
    }

    void smallBatchesNeedMoreDecoders()
    {
        CPPUNIT_ASSERT_EQUAL(28U, wantedDecoders(140, 91, largeBatch, {}));
        CPPUNIT_ASSERT_EQUAL(56U, wantedDecoders(140, 91, smallBatch, {}));
    }

    void servicesWithFewEnginesAreNotChanged()
    {
        CPPUNIT_ASSERT(planStages(enginesOf(0, 3), largeBatch, {}).empty());
    }

    /// Responses have become long: requests accumulate on the decode engines, and each token takes
    /// several times as long.
    void fullDecodersGetMoreEngines()
    {
        const double full = 4 * smallBatch.batch;
        const auto changes = planStages(enginesOf(8, 4), smallBatch, {full, start, {}});
        CPPUNIT_ASSERT(!changes.empty());
        for (const stage_change &one : changes)
            CPPUNIT_ASSERT(one.wanted == engine_stage::Decode);
        // Some engines stay in the prefill stage at any load.
        CPPUNIT_ASSERT(wantedDecoders(12, 4, smallBatch, {1e6, start, {}}) < 12);
    }

    void changesPreferIdleEnginesAndSpreadOverZones()
    {
        std::vector<stage_engine> engines = enginesOf(0, 9);
        for (std::size_t i = 0; i < engines.size(); ++i)
            engines[i].openRequests = i < 3 ? 0 : 10;
        const auto changes = planStages(engines, largeBatch, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, changes.size());
        std::set<std::string> first{changes[0].engine.text, changes[1].engine.text,
                                    changes[2].engine.text};
        CPPUNIT_ASSERT(first == (std::set<std::string>{"e0", "e1", "e2"}));
    }

    void enginesWithAPendingOrderGetNoOther()
    {
        std::vector<stage_engine> engines = enginesOf(4, 5);
        for (stage_engine &one : engines)
            one.isChanging = one.stage == engine_stage::Decode;
        CPPUNIT_ASSERT(planStages(engines, largeBatch, {}).empty());
    }

    /// Two engines crash under load and are back after three seconds. If other engines were ordered
    /// to replace them at once, these would be out of service for as long, and again when they
    /// change back: capacity would be lost twice.
    void shortCrashCausesNoChange()
    {
        stage_plan_state state{50, start, {}};
        const std::vector<stage_engine> withoutCrashed = enginesOf(7, 1);
        CPPUNIT_ASSERT(!planStages(withoutCrashed, largeBatch, state).empty());
        CPPUNIT_ASSERT(dueChanges(withoutCrashed, largeBatch, state).empty());
        state = updateMeanRunning(state, withoutCrashed, start + 3s);
        state.meanRunning = 50;
        CPPUNIT_ASSERT(dueChanges(withoutCrashed, largeBatch, state).empty());
        CPPUNIT_ASSERT(dueChanges(enginesOf(7, 2), largeBatch, state).empty());
        state.updatedAt = start + config::stageChangeDelay;
        CPPUNIT_ASSERT(dueChanges(withoutCrashed, largeBatch, state).empty());
        state.updatedAt += config::stageChangeDelay;
        CPPUNIT_ASSERT(!dueChanges(withoutCrashed, largeBatch, state).empty());
        // While there are no requests, changes are ordered at once.
        stage_plan_state idle{0, start, {}};
        CPPUNIT_ASSERT(!dueChanges(enginesOf(4, 5), largeBatch, idle).empty());
    }

    /// After a burst, twenty engines could return to prefill. If all of them were out of service
    /// for three seconds at once, the others would refuse requests of the next burst.
    void changesAreLimitedUnderLoad()
    {
        std::vector<stage_engine> engines = enginesOf(56, 84);
        stage_plan_state state{300, start + config::stageReturnDelay, start};
        CPPUNIT_ASSERT(planStages(engines, smallBatch, state).size() > 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, dueChanges(engines, smallBatch, state).size());
        for (std::size_t i = 0; i < 3; ++i)
            engines[i].isChanging = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dueChanges(engines, smallBatch, state).size());
        state.imbalancedSince = start + 1s;
        CPPUNIT_ASSERT(dueChanges(engines, smallBatch, state).empty());
    }

    /// A fleet has ten engines per instance, nearly all of them idle. Thousands of orders would
    /// cost more than callers could ever gain from them.
    void enginesBeyondWhatInstancesCanUseKeepTheirStage()
    {
        stage_plan_state state;
        state.maxUsefulPrefill = 1970;
        CPPUNIT_ASSERT(planStages(enginesOf(3213, 6427), largeBatch, state).empty());
        state.maxUsefulPrefill = 3300;
        CPPUNIT_ASSERT_EQUAL(std::size_t{87},
                             planStages(enginesOf(3213, 6427), largeBatch, state).size());
        // With a burst that fills the decode engines, the number of instances is no reason.
        state.meanRunning = 3000.0 * largeBatch.batch;
        CPPUNIT_ASSERT(!planStages(enginesOf(7640, 2000), largeBatch, state).empty());
    }

    /// If each change were sought among all engines and compared with all earlier changes, the plan
    /// of a fleet of 10,000 would take minutes, and its instance would serve no callers meanwhile.
    /// In this test, that would be 10^12 comparisons.
    void planningTimeGrowsWithTheFleetOnly()
    {
        const auto changes = planStages(enginesOf(4000, 16'000), largeBatch, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{12'000}, changes.size());
        std::set<std::string> changed;
        for (const stage_change &one : changes)
            changed.insert(one.engine.text);
        CPPUNIT_ASSERT_EQUAL(changes.size(), changed.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_plan_test);

} // namespace poplarspool::gateway
