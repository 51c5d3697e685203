#include "fixture.h"
#include "policy/role_split.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace poplarspool::policy {

using namespace fixture;

class plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(plan_test);
    CPPUNIT_TEST(modelsAreLoadedFirstWithinLimits);
    CPPUNIT_TEST(minimumOfServingEnginesIsKept);
    CPPUNIT_TEST(disabledPlanRestoresStartRole);
    CPPUNIT_TEST(lastingShiftOfDemandChangesRoles);
    CPPUNIT_TEST(goodputWeightSetsCostFactor);
    CPPUNIT_TEST(shortFluctuationsChangeNothing);
    CPPUNIT_TEST(noRoleChangeDuringChangeInFlight);
    CPPUNIT_TEST(crashedChangeDoesNotBlockOthers);
    CPPUNIT_TEST(sufficientCapacityMeansNoChange);
    CPPUNIT_TEST(prefillHandoffUsesBothRoles);
    CPPUNIT_TEST_SUITE_END();

    using demand_function = std::function<demand_estimate(double second)>;

    static inline const demand_estimate longPrompts{10, 0.3, 0, 0};
    static inline const demand_estimate evenMix{3, 3, 0, 0};

    plan_rule rule;
    planner_state memory;

    plan_step runOnce(const view &now, const demand_estimate &seen = {}) const
    {
        return planPool(now, llmPool, rule, memory, seen, startTime);
    }

    /// Runs an iteration every 0.5 s, applies role changes immediately and counts them.
    /// @returns Time of the first change in seconds; `seconds` if there was none.
    double run(view now, double seconds, const demand_function &demand, int &changes)
    {
        double first = seconds;
        memory = {};
        changes = 0;
        for (double second = 0; second < seconds; second += 0.5) {
            const mono_time time = startTime + milliseconds(std::int64_t(second * 1000));
            for (runner_state &runner : now.runners)
                runner.reportedAt = time;
            const plan_step step = planPool(now, llmPool, rule, memory, demand(second), time);
            memory = step.plannerState;
            for (const planned_change &change : step.changes) {
                now.runners[change.runner.index].report.role = change.wanted.role;
                first = std::min(first, second);
                ++changes;
            }
        }
        return first;
    }

public:
    void setUp() override
    {
        rule = {};
        rule.pool = llmPool;
        memory = {};
    }

    void modelsAreLoadedFirstWithinLimits()
    {
        view now = makeView(makeFleet(5));
        for (runner_state &runner : now.runners)
            runner.report.models.clear();
        now.runners[0].reportedAt = {};
        rule.maxChangesInFlight = 2;
        const plan_step step = runOnce(now, longPrompts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, step.changes.size());
        CPPUNIT_ASSERT(step.changes[0] == planned_change({{1}, {engine_role::Mixed, {reader}}}));
        now.runners[1].isReserved = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runOnce(now).changes.size());
        now.runners[2].report.isChanging = true;
        CPPUNIT_ASSERT(runOnce(now).changes.empty());
    }

    void minimumOfServingEnginesIsKept()
    {
        const auto fleet = makeFleet(3);
        const model_version next{reader.model, "2"};
        fleet->pools[0].serves = {next};
        for (std::uint32_t i = 0; i < 3; ++i)
            fleet->runners[i].supportedModels = {reader, next};
        view now = makeView(fleet);
        for (std::uint32_t i = 0; i < 3; ++i)
            now.runners[i].report.models = {reader};
        rule.maxChangesInFlight = 3;
        rule.minEngines = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runOnce(now).changes.size());
        rule.minEngines = 3;
        CPPUNIT_ASSERT(runOnce(now).changes.empty());
        now.runners[2].report.models.clear(); // Not in service: changing it loses no capacity.
        CPPUNIT_ASSERT_EQUAL(2u, runOnce(now).changes.at(0).runner.index);
    }

    void disabledPlanRestoresStartRole()
    {
        const auto fleet = makeFleet(3);
        fleet->pools[0].startRole = engine_role::Prefill;
        const view now = makeView(fleet);
        CPPUNIT_ASSERT(runOnce(now).changes.empty());
        rule.enabled = false;
        CPPUNIT_ASSERT(runOnce(now).changes.at(0).wanted.role == engine_role::Prefill);
    }

    void lastingShiftOfDemandChangesRoles()
    {
        const view now = makeView(makeFleet(9));
        rule.goodputWeight = 1;
        int changes = 0;
        run(
                now, 120, [](double) { return longPrompts; }, changes);
        CPPUNIT_ASSERT(changes >= 2);
        // The same inputs give the same plan.
        int again = 0;
        run(
                now, 120, [](double) { return longPrompts; }, again);
        CPPUNIT_ASSERT_EQUAL(changes, again);
        // After demand has shifted back, surplus prefill engines change their role once; then the
        // split is stable.
        const auto back = [](double second) { return second < 120 ? longPrompts : evenMix; };
        run(now, 240, back, changes);
        run(now, 400, back, again);
        CPPUNIT_ASSERT(changes > 0);
        CPPUNIT_ASSERT_EQUAL(changes, again);
    }

    void goodputWeightSetsCostFactor()
    {
        const view now = makeView(makeFleet(9));
        const auto shift = [](double) { return longPrompts; };
        int many = 0;
        int few = 0;
        rule.goodputWeight = 1;
        const double soon = run(now, 300, shift, many);
        rule.goodputWeight = 0;
        const double late = run(now, 300, shift, few);
        CPPUNIT_ASSERT(soon < late);
        CPPUNIT_ASSERT(few <= many);
    }

    /// Guards against a plan that follows each short fluctuation of demand: its changes take effect
    /// when the fluctuation is over, and engines are repeatedly out of service.
    void shortFluctuationsChangeNothing()
    {
        rule.goodputWeight = 0.5;
        int changes = 0;
        const auto fluctuation = [](double second) {
            return int(second / 4) % 2 == 0 ? longPrompts : evenMix;
        };
        run(makeView(makeFleet(9)), 600, fluctuation, changes);
        CPPUNIT_ASSERT_EQUAL(0, changes);
    }

    void noRoleChangeDuringChangeInFlight()
    {
        view now = makeView(makeFleet(9));
        rule.goodputWeight = 1;
        rule.maxChangesInFlight = 2;
        now.runners[3].isReserved = true;
        int changes = 0;
        run(
                now, 120, [](double) { return longPrompts; }, changes);
        CPPUNIT_ASSERT_EQUAL(0, changes);
        CPPUNIT_ASSERT_EQUAL(0.0, memory.regretSeconds);
    }

    /// Guards against hours of high latency after an engine crashed during its change: if its open
    /// order counted as in flight, the pool's limit would block all changes until the engine is
    /// back.
    void crashedChangeDoesNotBlockOthers()
    {
        view now = makeView(makeFleet(9));
        rule.goodputWeight = 1;
        now.runners[3].isReserved = true;
        now.runners[3].health = runner_health::Down;
        int changes = 0;
        run(
                now, 120, [](double) { return longPrompts; }, changes);
        CPPUNIT_ASSERT(changes > 0);
    }

    void sufficientCapacityMeansNoChange()
    {
        rule.goodputWeight = 1;
        int changes = 0;
        run(
                makeView(makeFleet(9)), 300,
                [](double) {
                    return demand_estimate{5, 0.2, 0.3, 0.1};
                },
                changes);
        CPPUNIT_ASSERT_EQUAL(0, changes);
    }

    void prefillHandoffUsesBothRoles()
    {
        const role_split present{10, 0, 0};
        const demand_estimate demand{6, 5, 0.5, 0.5};
        const auto advice = adviseSplit(present, demand, serving_mode::PrefillHandoff);
        CPPUNIT_ASSERT(advice.gain > 2);
        role_split best = present;
        for (const role_move &move : advice.moves) {
            --countOf(best, move.from);
            ++countOf(best, move.to);
        }
        CPPUNIT_ASSERT(best.prefill > 0);
        CPPUNIT_ASSERT(best.decode > 0);
        CPPUNIT_ASSERT(adviseSplit(best, demand, serving_mode::PrefillHandoff).moves.empty());
        const auto whole = adviseSplit(present, demand, serving_mode::SingleEngine);
        CPPUNIT_ASSERT(whole.moves.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plan_test);

} // namespace poplarspool::policy
