#include "proxy_fixture.h"

#include "poplarspool/gateway/limits.h"
#include "poplarspool/streams/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::chunkedStream;
using test::script;
using test::script_end;
using test::scripted_runner;
using test::streamHead;
using fixture = test::proxy_fixture;

const service_id engineService{"s"};
const software_version oldVersion{"v1"};
const software_version newVersion{"v2"};

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
}

runner runnerOf(const std::string &id, const software_version &version,
                engine_stage stage = engine_stage::Decode)
{
    runner made;
    made.id.text = id;
    made.service = engineService;
    made.version = version;
    made.stage = stage;
    return made;
}

void setVersion(fixture &test, const std::string &id, const software_version &version)
{
    test.publisher.update([&](catalogue &next) {
        runner changed = *next.runners->find({id});
        changed.version = version;
        putRunner(next, changed);
        return true;
    });
}

void setBorn(fixture &test, const std::string &id, std::uint64_t born)
{
    test.publisher.update([&](catalogue &next) {
        runner changed = *next.runners->find({id});
        changed.startedAtMs = born;
        putRunner(next, changed);
        return true;
    });
}

/// The runner's host refuses a connection after another request has lost its own.
void recordEnd(fixture &test, const std::string &id)
{
    const runner_entry target = test.publisher.current()->runners->find({id});
    test.endedAddresses.insert(target->address);
    test.quarantineManager.recordConnectionLost({1, {}}, observedOf(*target));
}

/// Ten thousand decode engines, of which two have the new version.
catalogue largeFleet()
{
    catalogue known;
    runner_set runners;
    for (int i = 0; i < 10'000; ++i)
        runners.put(std::make_shared<const runner>(
                runnerOf("engine-" + std::to_string(i), i % 5000 == 17 ? newVersion : oldVersion)));
    known.runners = std::make_shared<const runner_set>(std::move(runners));
    return known;
}

} // namespace

class stream_version_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_version_test);
    CPPUNIT_TEST(streamBreaksOffAtOnceIfItsVersionIsGone);
    CPPUNIT_TEST(streamThatHasNotBegunMayMoveToAnotherVersion);
    CPPUNIT_TEST(runnerThatHasRestartedInAnotherVersionWritesNothing);
    CPPUNIT_TEST(streamDependsOnNoEntryOfAnEndedRun);
    CPPUNIT_TEST(runThatEndsAsItsStreamBeginsWritesNothing);
    CPPUNIT_TEST(takeUpOfAnUnknownStreamIsNotSent);
    CPPUNIT_TEST(takeUpNeedsAViewThatIsFreshAndOldEnough);
    CPPUNIT_TEST(streamsOfRoutesThatCantBeResumedAreNotRecorded);
    CPPUNIT_TEST(runnersOfARareVersionAreFoundInALargeFleet);
    CPPUNIT_TEST(onlyRunnersOfTheVersionServe);
    CPPUNIT_TEST(soleVersionIsKnownSinceItsLastSibling);
    CPPUNIT_TEST(onlyRunnerOfItsVersionIsMarked);
    CPPUNIT_TEST(streamsBeginWhereTheyCanMoveUnlessTheyWouldStartLate);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against callers that wait for a stream that no runner can go on with.
    void streamBreaksOffAtOnceIfItsVersionIsGone()
    {
        const script broken{streamHead + eventText(1), script_end::Reset};
        scripted_runner first({broken});
        scripted_runner second({broken});
        fixture test({&first, &second});
        setVersion(test, "r0", oldVersion);
        setVersion(test, "r1", newVersion);
        CPPUNIT_ASSERT(!test.sendRequest("/stream/1"));
        CPPUNIT_ASSERT(first.requests().empty() || second.requests().empty());
        CPPUNIT_ASSERT_EQUAL(eventText(1), test.caller.body);
        CPPUNIT_ASSERT(!test.caller.isWhole);
    }

    void streamThatHasNotBegunMayMoveToAnotherVersion()
    {
        const script busy{"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"};
        const script whole{chunkedStream(eventText(1))};
        scripted_runner first({busy, whole});
        scripted_runner second({whole});
        fixture test({&first, &second});
        setVersion(test, "r0", oldVersion);
        setVersion(test, "r1", newVersion);
        CPPUNIT_ASSERT(!test.sendRequest("/stream/1"));
        CPPUNIT_ASSERT_EQUAL(eventText(1), test.caller.body);
    }

    /// Guards against a stream whose runner restarts in another version while its entry, by which
    /// it was chosen, is still that from before.
    void runnerThatHasRestartedInAnotherVersionWritesNothing()
    {
        std::function<void()> restarts;
        scripted_runner only({{streamHead + eventText(1), script_end::Stay}}, [&] { restarts(); });
        fixture test({&only});
        restarts = [&test] { setVersion(test, "r0", newVersion); };
        const auto reply = test.sendRequest("/stream/1");
        CPPUNIT_ASSERT_EQUAL(502, reply->status);
        CPPUNIT_ASSERT(test.caller.body.empty());
    }

    /// Guards against a stream of two versions: while the store is down, the entry of a runner that
    /// has ended and started again names the version before.
    void streamDependsOnNoEntryOfAnEndedRun()
    {
        scripted_runner only({{test::sealed("200 OK", "a")}, {chunkedStream(eventText(1))}});
        fixture test({&only});
        setBorn(test, "r0", 5);
        recordEnd(test, "r0");
        CPPUNIT_ASSERT_EQUAL(503, test.sendRequest("/stream/1")->status);
        CPPUNIT_ASSERT(only.requests().empty());
        CPPUNIT_ASSERT_EQUAL(200, test.sendRequest("/again/1")->status);
        test.publisher.update([&test](catalogue &next) {
            next.runnersConfirmedAt = test.clock.mono() + config::entryWriteTime;
            return true;
        });
        CPPUNIT_ASSERT(!test.sendRequest("/stream/1"));
        CPPUNIT_ASSERT_EQUAL(eventText(1), test.caller.body);
    }

    /// Guards against the same where the end becomes known only after the request was sent.
    void runThatEndsAsItsStreamBeginsWritesNothing()
    {
        std::function<void()> ends;
        scripted_runner only({{streamHead + eventText(1), script_end::Stay}}, [&] { ends(); });
        fixture test({&only});
        setBorn(test, "r0", 5);
        ends = [&test] { recordEnd(test, "r0"); };
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/stream/1")->status);
        CPPUNIT_ASSERT(test.caller.body.empty());
    }

    void takeUpOfAnUnknownStreamIsNotSent()
    {
        scripted_runner first({{chunkedStream(eventText(5))}});
        scripted_runner second({{chunkedStream(eventText(5))}});
        fixture test({&first, &second});
        setVersion(test, "r1", newVersion);
        const auto reply =
                test.sendRequest("/stream/1", "5000", {{"Last", "4"}, {"Resumes", "q0"}});
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        CPPUNIT_ASSERT(reply->body.find("not_run") != std::string::npos);
        CPPUNIT_ASSERT(first.requests().empty() && second.requests().empty());
        CPPUNIT_ASSERT_EQUAL(std::string("version_unknown"),
                             test.lastFieldOf("request_end", "fault"));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), test.lastFieldOf("take_up", "version"));
    }

    /// Guards against taking the only version that is known now for the only one that can have
    /// begun a stream: the instance may have just started, or its list may be old.
    void takeUpNeedsAViewThatIsFreshAndOldEnough()
    {
        const script whole{chunkedStream(eventText(5))};
        scripted_runner runner({whole, whole});
        fixture test({&runner});
        const mono_time now = test.clock.mono();
        const auto statusWith = [&](mono_time since, mono_time confirmedAt,
                                    const std::string &resumes) {
            test.publisher.update([&](catalogue &next) {
                next.soleVersions = std::make_shared<const sole_version_map>(
                        sole_version_map{{engineService, {versionKeyOf({}), since}}});
                next.runnersConfirmedAt = confirmedAt;
                return true;
            });
            const auto reply =
                    test.sendRequest("/stream/1", "5000", {{"Last", "4"}, {"Resumes", resumes}});
            return reply ? reply->status : 200;
        };
        const mono_time later = now + 1h;
        CPPUNIT_ASSERT_EQUAL(503, statusWith(now - 20s, later, "q0"));
        CPPUNIT_ASSERT_EQUAL(503, statusWith(later, later, ""));
        for (const std::string resumes : {"q0", ""}) {
            const mono_time expired = now - test.context.runnersProofTime - 1ms;
            CPPUNIT_ASSERT_EQUAL(503, statusWith(now - 1h, expired, resumes));
            // Confirmed a moment before the take-up came: a runner may have joined since.
            CPPUNIT_ASSERT_EQUAL(503, statusWith(now - 1h, test.clock.mono(), resumes));
            CPPUNIT_ASSERT_EQUAL(200, statusWith(now - 1h, later, resumes));
        }
    }

    void streamsOfRoutesThatCantBeResumedAreNotRecorded()
    {
        scripted_runner runner({{test::sealed("200 OK", "a")}});
        fixture test({&runner});
        CPPUNIT_ASSERT_EQUAL(200, test.sendRequest("/again/1")->status);
        CPPUNIT_ASSERT(!test.origins.find(streams::streamKeyOf({"", "s", "q1"}, 7)));
    }

    /// Guards against refused take-ups because a sample of the engines has none of the version.
    void runnersOfARareVersionAreFoundInALargeFleet()
    {
        const catalogue known = largeFleet();
        runner_table table(systemClock());
        for (std::uint64_t draw = 0; draw < 100; ++draw) {
            const auto found = table.candidatesOf(known,
                                                  {.service = engineService,
                                                   .affinityKey = draw,
                                                   .draw = draw,
                                                   .version = versionKeyOf(newVersion)});
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.size());
        }
        const auto all = table.candidatesOf(known, {.service = engineService, .draw = 1});
        CPPUNIT_ASSERT_EQUAL(config::sampledRunners, all.size());
    }

    void onlyRunnersOfTheVersionServe()
    {
        std::vector<placement_candidate> candidates(3);
        candidates[0].target = std::make_shared<const runner>(runnerOf("a", oldVersion));
        candidates[1].target = std::make_shared<const runner>(runnerOf("b", newVersion));
        candidates[1].load.open = 100;
        candidates[2].target =
                std::make_shared<const runner>(runnerOf("c", oldVersion, engine_stage::Prefill));
        placement_query query;
        query.service = engineService;
        query.engine = engine_traits{128, 800'000, 18'432, 350'000};
        query.promptTokens = 17'000;
        query.objectiveLeftMs = 1000;
        query.version = versionKeyOf(newVersion);
        const auto chosen = choosePlacement(query, candidates);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), std::get<placement>(chosen).serving->id.text);
        candidates[1].isTried = true;
        const auto none = choosePlacement(query, candidates);
        CPPUNIT_ASSERT(std::get<no_placement>(none).areAllTried);
        query.version = versionKeyOf({"v3"});
        CPPUNIT_ASSERT(!std::get<no_placement>(choosePlacement(query, candidates)).areAllTried);
    }

    void soleVersionIsKnownSinceItsLastSibling()
    {
        runner_set runners;
        const auto put = [&runners](const runner &entry) {
            runners.put(std::make_shared<const runner>(entry));
        };
        const mono_time start{1h};
        put(runnerOf("a", oldVersion));
        sole_version_map sole = updateSoleVersions({}, runners, start);
        CPPUNIT_ASSERT(sole.at(engineService) == (sole_version{versionKeyOf(oldVersion), start}));
        put(runnerOf("p", newVersion, engine_stage::Prefill));
        sole = updateSoleVersions(sole, runners, start + 1s);
        CPPUNIT_ASSERT(!sole.contains(engineService));
        runner leaving = runnerOf("a", oldVersion);
        leaving.isDraining = true;
        put(leaving);
        sole = updateSoleVersions(sole, runners, start + 2s);
        CPPUNIT_ASSERT(sole.at(engineService)
                       == (sole_version{versionKeyOf(newVersion), start + 2s}));
        runners.erase({"p"});
        sole = updateSoleVersions(sole, runners, start + 3s);
        CPPUNIT_ASSERT(sole.at(engineService).since == start + 2s);
        put(runnerOf("b", newVersion));
        sole = updateSoleVersions(sole, runners, start + 4s);
        CPPUNIT_ASSERT(sole.at(engineService).since == start + 2s);
    }

    void onlyRunnerOfItsVersionIsMarked()
    {
        runner_table table(systemClock());
        catalogue known;
        const auto marked = [&] {
            std::string ids;
            for (const placement_candidate &one :
                 table.candidatesOf(known, {.service = engineService, .draw = 1}))
                ids += one.isAloneInVersion ? one.target->id.text : "";
            return ids;
        };
        putRunner(known, runnerOf("a", oldVersion));
        CPPUNIT_ASSERT_EQUAL(std::string(), marked());
        putRunner(known, runnerOf("b", newVersion));
        putRunner(known, runnerOf("c", newVersion));
        putRunner(known, runnerOf("d", oldVersion, engine_stage::Prefill));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), marked());
        putRunner(known, runnerOf("e", oldVersion));
        putRunner(known, runnerOf("f", newVersion, engine_stage::Prefill));
        CPPUNIT_ASSERT_EQUAL(std::string("df"), marked());
    }

    /// Guards against streams that end with the only engine of their version, though they could
    /// have begun, just as well in time, where they can go on elsewhere.
    void streamsBeginWhereTheyCanMoveUnlessTheyWouldStartLate()
    {
        std::vector<placement_candidate> candidates(3);
        const std::array ids{"a", "b", "c"};
        for (std::size_t i = 0; i < candidates.size(); ++i)
            candidates[i].target = std::make_shared<const runner>(
                    runnerOf(ids[i], i == 0 ? oldVersion : newVersion));
        candidates[0].isAloneInVersion = true;
        candidates[1].load.open = candidates[2].load.open = 40;
        placement_query query;
        query.service = engineService;
        query.engine = engine_traits{128, 800'000, 18'432, 350'000};
        query.promptTokens = 1'000;
        query.objectiveLeftMs = 1000;
        const auto servingId = [&] {
            return std::get<placement>(choosePlacement(query, candidates)).serving->id.text;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("a"), servingId());
        query.mayMoveLater = true;
        CPPUNIT_ASSERT(servingId() != "a");
        candidates[1].load.urgentPrefillMs = candidates[2].load.urgentPrefillMs = 60;
        query.objectiveLeftMs = 100;
        CPPUNIT_ASSERT_EQUAL(std::string("a"), servingId());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_version_test);

} // namespace poplarspool::gateway
