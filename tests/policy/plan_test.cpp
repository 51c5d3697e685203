#include "fixture.h"
#include "policy/role_split.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace poplarspool::policy {

using namespace fixture;

class plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(plan_test);
    CPPUNIT_TEST(modelsFirstWithinTheLimits);
    CPPUNIT_TEST(servingEnginesStay);
    CPPUNIT_TEST(withoutAPlanTheStartRoleHolds);
    CPPUNIT_TEST(lastingShiftChangesRoles);
    CPPUNIT_TEST(weightSetsThePrice);
    CPPUNIT_TEST(shortSwingsChangeNothing);
    CPPUNIT_TEST(waitsForChangesInFlight);
    CPPUNIT_TEST(crashedChangeHoldsNobodyUp);
    CPPUNIT_TEST(enoughTimeMeansNoChange);
    CPPUNIT_TEST(handedOverWorkWantsBothRoles);
    CPPUNIT_TEST_SUITE_END();

    using demand_function = std::function<demand_estimate(double second)>;

    static inline const demand_estimate longPrompts{10, 0.3, 0, 0};
    static inline const demand_estimate evenMix{3, 3, 0, 0};

    plan_rule rule;
    plan_memory memory;

    plan_step look(const view &now, const demand_estimate &seen = {}) const
    {
        return planPool(now, llmPool, rule, memory, seen, startTime);
    }

    /// Looks every half second, changes roles at once, and counts them.
    /// @returns Seconds of the first change; none: the whole time.
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
            memory = step.memory;
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

    void modelsFirstWithinTheLimits()
    {
        view now = makeView(makeFleet(5));
        for (runner_state &runner : now.runners)
            runner.report.models.clear();
        now.runners[0].reportedAt = {};
        rule.maxChangesInFlight = 2;
        const plan_step step = look(now, longPrompts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, step.changes.size());
        CPPUNIT_ASSERT(step.changes[0] == planned_change({{1}, {engine_role::Mixed, {reader}}}));
        now.runners[1].isReserved = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, look(now).changes.size());
        now.runners[2].report.isChanging = true;
        CPPUNIT_ASSERT(look(now).changes.empty());
    }

    void servingEnginesStay()
    {
        const auto fleet = makeFleet(3);
        const model_version next{reader.model, "2"};
        fleet->pools[0].serves = {next};
        for (std::uint32_t i = 0; i < 3; ++i)
            fleet->runners[i].mayCarry = {reader, next};
        view now = makeView(fleet);
        for (std::uint32_t i = 0; i < 3; ++i)
            now.runners[i].report.models = {reader};
        rule.maxChangesInFlight = 3;
        rule.minEngines = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, look(now).changes.size());
        rule.minEngines = 3;
        CPPUNIT_ASSERT(look(now).changes.empty());
        now.runners[2].report.models.clear(); // Not in service: nothing is lost by changing it.
        CPPUNIT_ASSERT_EQUAL(2u, look(now).changes.at(0).runner.index);
    }

    void withoutAPlanTheStartRoleHolds()
    {
        const auto fleet = makeFleet(3);
        fleet->pools[0].startRole = engine_role::Prefill;
        const view now = makeView(fleet);
        CPPUNIT_ASSERT(look(now).changes.empty());
        rule.enabled = false;
        CPPUNIT_ASSERT(look(now).changes.at(0).wanted.role == engine_role::Prefill);
    }

    void lastingShiftChangesRoles()
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
        // After the shift back engines that only prefill well are too many, and then all is quiet.
        const auto back = [](double second) { return second < 120 ? longPrompts : evenMix; };
        run(now, 240, back, changes);
        run(now, 400, back, again);
        CPPUNIT_ASSERT(changes > 0);
        CPPUNIT_ASSERT_EQUAL(changes, again);
    }

    void weightSetsThePrice()
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

    /// Half of the engines are away again and again, and callers are late in every swing: a plan
    /// that follows each swing pays for a change when the swing is already over.
    void shortSwingsChangeNothing()
    {
        rule.goodputWeight = 0.5;
        int changes = 0;
        const auto swing = [](double second) {
            return int(second / 4) % 2 == 0 ? longPrompts : evenMix;
        };
        run(makeView(makeFleet(9)), 600, swing, changes);
        CPPUNIT_ASSERT_EQUAL(0, changes);
    }

    void waitsForChangesInFlight()
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

    /// Callers are late for hours after one engine crashed in the middle of its change: if its
    /// open order counted as under way, the pool's limit would be used up until it comes back.
    void crashedChangeHoldsNobodyUp()
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

    void enoughTimeMeansNoChange()
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

    void handedOverWorkWantsBothRoles()
    {
        const role_split present{10, 0, 0};
        const demand_estimate demand{6, 5, 0.5, 0.5};
        const auto advice = adviseSplit(present, demand, serving_mode::HandedOver);
        CPPUNIT_ASSERT(advice.gain > 2);
        role_split best = present;
        for (const role_move &move : advice.moves) {
            --countOf(best, move.from);
            ++countOf(best, move.to);
        }
        CPPUNIT_ASSERT(best.prefill > 0);
        CPPUNIT_ASSERT(best.decode > 0);
        CPPUNIT_ASSERT(adviseSplit(best, demand, serving_mode::HandedOver).moves.empty());
        const auto whole = adviseSplit(present, demand, serving_mode::Whole);
        CPPUNIT_ASSERT(whole.moves.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plan_test);

} // namespace poplarspool::policy
