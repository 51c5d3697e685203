#include "faults/load_generator.h"
#include "faults/scenarios.h"
#include "faults/waiting.h"

namespace poplarspool::faults {

namespace {

constexpr std::size_t idlePerTarget = 4;
constexpr milliseconds connectTimeout{500};

load_spec longStreams()
{
    load_spec spec;
    spec.tokens = 150;
    spec.serviceEvery = 0;
    return spec;
}

void expectAllWhole(const outcome_counts &counts)
{
    expect(counts.whole == counts.requests,
           std::to_string(counts.requests - counts.whole) + " answers are incomplete");
}

// An engine is killed with all its connections while streams run. The streams resume on another
// engine after the last token that the caller received; callers only see a short pause.
outcome_counts engineKilledMidStream(const scenario_environment &environment)
{
    fleet_spec spec;
    spec.engines = 3;
    test_fleet fleet(environment, spec);
    load_generator load(fleet, longStreams());
    load.waitForWholeAnswers(10);
    fleet.killEngine(0);
    load.waitForWholeAnswers(30);
    fleet.restartEngine(0);
    load.waitForWholeAnswers(10);
    outcome_counts counts = countOutcomes(fleet, load.stop(), disruption::Failures);
    expectAllWhole(counts);
    return counts;
}

// At the same time, one engine answers with the streams of other attempts, one ends its streams
// early as if they were complete, and one sends a token twice. None of this may reach a caller.
outcome_counts crossedAndEndedEarly(const scenario_environment &environment)
{
    fleet_spec spec;
    spec.engines = 3;
    test_fleet fleet(environment, spec);
    load_generator load(fleet, longStreams());
    load.waitForWholeAnswers(10);
    fleet.injectEngineFault(0, {{"mode", "crossed"}, {"count", 4}});
    fleet.injectEngineFault(1, {{"mode", "end_early"}, {"count", 4}, {"after_tokens", 5}});
    fleet.injectEngineFault(2, {{"mode", "repeat"}, {"count", 4}});
    load.waitForWholeAnswers(60);
    outcome_counts counts = countOutcomes(fleet, load.stop(), disruption::Failures);
    expectAllWhole(counts);
    return counts;
}

// An engine is frozen: its connections stay open, so only its silence shows the failure. Callers of
// its streams wait, or their streams resume on another engine. After the engine is unfrozen it
// continues to send on streams that have moved; none of that may reach a caller.
outcome_counts engineFrozenAndWoken(const scenario_environment &environment)
{
    fleet_spec spec;
    spec.engines = 3;
    test_fleet fleet(environment, spec);
    load_generator load(fleet, longStreams());
    load.waitForWholeAnswers(10);
    fleet.engine(0).freeze();
    load.waitForWholeAnswers(40);
    fleet.engine(0).unfreeze();
    load.waitForWholeAnswers(40);
    return countOutcomes(fleet, load.stop(), disruption::Failures);
}

// During a store outage, calls that must not be repeated are refused as not run at once, with the
// time after which to retry: without the store there is no claim, and without a claim nothing is
// sent. Streams go on. Once the store is back, each of the refused keys runs exactly once.
outcome_counts storeOutageRefusesKeys(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    load_generator load(fleet, longStreams());
    metrics_registry metrics;
    http_pool pool(idlePerTarget, connectTimeout, metrics);
    load.waitForWholeAnswers(10);
    fleet.injectPlatformFault({{"mode", "outage"}});
    std::vector<call_record> calls;
    for (std::size_t turn = 0; turn < 12; ++turn) {
        calls.push_back(sendAttempt({"receipt-" + std::to_string(turn), "", 0},
                                    fleet.callerAddress(turn % 3), pool));
        expect(calls.back().outcome == call_outcome::NotRun,
               "the call is refused as not run: " + calls.back().detail);
    }
    expect(fleet.serviceRuns().empty(), "no service has begun any refused call");
    load.waitForWholeAnswers(20);
    fleet.injectPlatformFault({{"mode", "none"}});
    for (std::size_t turn = 0; turn < 12; ++turn) {
        calls.push_back(callWithRetries({"receipt-" + std::to_string(turn), "", 0},
                                        fleet.callerAddresses(), pool));
        expect(calls.back().outcome == call_outcome::Whole,
               "the call runs after the outage: " + calls.back().detail);
    }
    const std::vector<call_record> streams = load.stop();
    calls.insert(calls.end(), streams.begin(), streams.end());
    return countOutcomes(fleet, calls, disruption::Failures);
}

// All engines crash at the same time, three times, during a store outage, so that callers often get
// "not run". A request that an engine has begun must never get that answer.
outcome_counts enginesAndStoreDown(const scenario_environment &environment)
{
    test_fleet fleet(environment, {});
    load_generator load(fleet, {});
    load.waitForWholeAnswers(10);
    fleet.injectPlatformFault({{"mode", "outage"}});
    for (int turn = 0; turn < 3; ++turn) {
        for (std::size_t index : {0, 1})
            fleet.injectEngineFault(index, {{"mode", "crash"}});
        load.waitForWholeAnswers(10);
    }
    fleet.injectPlatformFault({{"mode", "none"}});
    load.waitForWholeAnswers(20);
    outcome_counts counts = countOutcomes(fleet, load.stop(), disruption::Failures);
    expect(counts.notRun > 0, "some calls were refused as not run");
    return counts;
}

} // namespace

std::vector<scenario> answerScenarios()
{
    return {{"engine_killed_mid_stream", 4, 1, engineKilledMidStream},
            {"crossed_and_ended_early", 4, 2, crossedAndEndedEarly},
            {"engine_frozen_and_woken", 4, 1, engineFrozenAndWoken},
            {"store_outage_refuses_keys", 5, 1, storeOutageRefusesKeys},
            {"engines_and_store_down", 5, 2, enginesAndStoreDown}};
}

} // namespace poplarspool::faults
