#include "faults/load.h"
#include "faults/scenarios.h"
#include "faults/waiting.h"

namespace poplarspool::faults {

namespace {

constexpr std::size_t idlePerTarget = 4;
constexpr milliseconds connectTime{500};

load_spec longStreams()
{
    load_spec spec;
    spec.tokens = 150;
    spec.serviceEvery = 0;
    return spec;
}

void expectAllWhole(const tally &counts)
{
    expect(counts.whole == counts.requests,
           std::to_string(counts.requests - counts.whole) + " answers are not whole");
}

// Callers see a short pause in their streams. An engine is killed with all its connections while
// streams run; they go on at another engine from the token that the caller has.
tally engineKilledMidStream(const stage &place)
{
    fleet_spec spec;
    spec.engines = 3;
    fleet site(place, spec);
    load work(site, longStreams());
    work.waitForWhole(10);
    site.killEngine(0);
    work.waitForWhole(30);
    site.restartEngine(0);
    work.waitForWhole(10);
    tally counts = countOf(site, work.stop(), disturbance::Failures);
    expectAllWhole(counts);
    return counts;
}

// Callers see nothing. One engine answers with other attempts' streams, one ends its streams as if
// they were whole, one sends a token twice, all at the same time: none of it may reach a caller.
tally crossedAndEndedEarly(const stage &place)
{
    fleet_spec spec;
    spec.engines = 3;
    fleet site(place, spec);
    load work(site, longStreams());
    work.waitForWhole(10);
    site.engineFault(0, {{"mode", "crossed"}, {"count", 4}});
    site.engineFault(1, {{"mode", "end_early"}, {"count", 4}, {"after_tokens", 5}});
    site.engineFault(2, {{"mode", "repeat"}, {"count", 4}});
    work.waitForWhole(60);
    tally counts = countOf(site, work.stop(), disturbance::Failures);
    expectAllWhole(counts);
    return counts;
}

// Callers whose streams are on a frozen engine wait, or go on elsewhere. The engine's connections
// stay open, so that its silence alone tells; woken, it sends on into streams that have moved.
tally engineFrozenAndWoken(const stage &place)
{
    fleet_spec spec;
    spec.engines = 3;
    fleet site(place, spec);
    load work(site, longStreams());
    work.waitForWhole(10);
    site.engine(0).freeze();
    work.waitForWhole(40);
    site.engine(0).wake();
    work.waitForWhole(40);
    return countOf(site, work.stop(), disturbance::Failures);
}

// Callers of what must not be repeated hear at once that it has not run, and when to come back:
// without the store there is no claim, and without a claim nothing is sent. Streams go on. Once the
// store is back the same keys run, once each.
tally storeOutageRefusesKeys(const stage &place)
{
    fleet site(place, {});
    load work(site, longStreams());
    metrics_registry metrics;
    http_pool pool(idlePerTarget, connectTime, metrics);
    work.waitForWhole(10);
    site.platformFault({{"mode", "outage"}});
    std::vector<call_record> calls;
    for (std::size_t turn = 0; turn < 12; ++turn) {
        calls.push_back(tryCall({"receipt-" + std::to_string(turn), "", 0},
                                site.callerAddress(turn % 3), pool));
        expect(calls.back().end == call_end::NotRun, "refused as not run: " + calls.back().detail);
    }
    expect(site.serviceRuns().empty(), "no service has begun any of them");
    work.waitForWhole(20);
    site.platformFault({{"mode", "none"}});
    for (std::size_t turn = 0; turn < 12; ++turn) {
        calls.push_back(performCall({"receipt-" + std::to_string(turn), "", 0},
                                    site.callerAddresses(), pool));
        expect(calls.back().end == call_end::Whole, "runs later: " + calls.back().detail);
    }
    const std::vector<call_record> streams = work.stop();
    calls.insert(calls.end(), streams.begin(), streams.end());
    return countOf(site, calls, disturbance::Failures);
}

// Callers are refused by "not run" again and again: all engines crash at once, twice, while the
// store is out. What was begun on an engine must never be among the refused.
tally enginesAndStoreDown(const stage &place)
{
    fleet site(place, {});
    load work(site, {});
    work.waitForWhole(10);
    site.platformFault({{"mode", "outage"}});
    for (int turn = 0; turn < 3; ++turn) {
        for (std::size_t index : {0, 1})
            site.engineFault(index, {{"mode", "crash"}});
        work.waitForWhole(10);
    }
    site.platformFault({{"mode", "none"}});
    work.waitForWhole(20);
    tally counts = countOf(site, work.stop(), disturbance::Failures);
    expect(counts.notRun > 0, "some were refused");
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
