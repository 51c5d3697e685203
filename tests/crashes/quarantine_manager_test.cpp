#include "crashes/quarantine_manager.h"

#include "poplarspool/base/limits.h"
#include "poplarspool/crashes/limits.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::crashes {

namespace {

using namespace std::chrono_literals;

/// A store with one list, shared by several instances.
struct shared_list
{
    crash_record_store access()
    {
        crash_record_store made;
        made.read = [this]() -> result<crash_record_list> {
            const std::lock_guard lock(guard);
            ++reads;
            return content;
        };
        made.write = [this](const crash_record_list &next) -> result<unit> {
            const std::lock_guard lock(guard);
            ++writes;
            if (next.version != content.version)
                return notRun(error_code::Conflict, "list was changed concurrently");
            content.records = next.records;
            ++content.version.revision;
            return unit{};
        };
        return made;
    }

    std::size_t countEnds(std::uint64_t digest)
    {
        const std::lock_guard lock(guard);
        const auto found = std::ranges::find(content.records, digest, &crash_record::key);
        return found == content.records.end() ? 0 : found->incarnations.size();
    }

    std::mutex guard;
    crash_record_list content;
    int reads = 0;
    int writes = 0;
};

/// One instance. Its rumors are only collected; tests pass them on to other instances.
struct instance
{
    explicit instance(shared_list &list, const std::string &name = "edge-1")
        : manager({[this](const observed_runner &) { return isRunnerGone.load(); },
                   [this](peer::rumor rumor) {
                       const std::lock_guard lock(guard);
                       sent.push_back(std::move(rumor));
                   },
                   [this](std::uint64_t given) { fingerprint = given; },
                   [this] { return std::vector<std::uint64_t>{otherFingerprint.load()}; },
                   [this] { return isPartitioned ? mono_time{} : systemClock().mono(); }, fleet,
                   [](const std::vector<endpoint> &, const result<std::string> &) {}},
                  list.access(), {name}, systemClock(), metrics, events)
    {
        manager.start();
    }

    std::vector<peer::rumor> takeSent()
    {
        const std::lock_guard lock(guard);
        return std::exchange(sent, {});
    }

    metrics_registry metrics;
    journal events{{"test"}, systemClock(), 64};
    peer::fleet_view fleet{{{"test"}, {}}};
    std::atomic<bool> isRunnerGone{true};
    std::atomic<std::uint64_t> fingerprint{0};
    std::atomic<std::uint64_t> otherFingerprint{0};
    std::atomic<bool> isPartitioned{false};
    std::mutex guard;
    std::vector<peer::rumor> sent;
    quarantine_manager manager;
};

observed_runner incarnationOf(int number)
{
    observed_runner made;
    made.id.text = "i-" + std::to_string(number);
    made.address = {"127.0.0.1", 9};
    return made;
}

bool waitUntil(const std::function<bool()> &condition)
{
    for (const auto end = std::chrono::steady_clock::now() + 20s;
         std::chrono::steady_clock::now() < end; std::this_thread::sleep_for(2ms)) {
        if (condition())
            return true;
    }
    return false;
}

} // namespace

class quarantine_manager_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quarantine_manager_test);
    CPPUNIT_TEST(incompleteResponseOfALiveRunnerDoesNotCount);
    CPPUNIT_TEST(endConfirmedLaterCounts);
    CPPUNIT_TEST(stoppingInstanceStillSendsRumors);
    CPPUNIT_TEST(endsObservedByOtherInstancesCount);
    CPPUNIT_TEST(newInstanceReadsRecordsFromTheStore);
    CPPUNIT_TEST(concurrentWritersKeepAllEnds);
    CPPUNIT_TEST(differingFingerprintCausesStoreRead);
    CPPUNIT_TEST(recordsAreRewrittenAfterStoreRollback);
    CPPUNIT_TEST(storeIsReadAfterPartition);
    CPPUNIT_TEST(clearedRequestCausesNoFurtherStoreAccess);
    CPPUNIT_TEST(answerThatItsRunnerDoesNotSurviveSpeaksAgainstItsParts);
    CPPUNIT_TEST(rumorsStayWithinSizeLimits);
    CPPUNIT_TEST(malformedRumorsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void incompleteResponseOfALiveRunnerDoesNotCount()
    {
        shared_list list;
        instance one(list);
        one.isRunnerGone = false;
        one.manager.recordConnectionLost({7, {}}, incarnationOf(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, one.manager.countEnds(7).incarnations);
        one.isRunnerGone = true;
        one.manager.recordConnectionLost({8, {}}, incarnationOf(1));
        one.isRunnerGone = false; // Restarted; the end of the incarnation is known nevertheless.
        one.manager.recordConnectionLost({7, {}}, incarnationOf(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.manager.countEnds(7).incarnations);
    }

    void endConfirmedLaterCounts()
    {
        shared_list list;
        instance one(list);
        one.isRunnerGone = false;
        one.manager.recordConnectionLost({7, {}}, incarnationOf(1));
        one.manager.recordUnconfirmed({8, {}}, incarnationOf(1));
        one.isRunnerGone = true;
        CPPUNIT_ASSERT(waitUntil([&] {
            return one.manager.countEnds(7).incarnations == 1
                    && one.manager.countEnds(8).incarnations == 1;
        }));
    }

    /// Instances shut down one after the other for a new release. Ends observed during the shutdown
    /// must not be lost with them.
    void stoppingInstanceStillSendsRumors()
    {
        shared_list list;
        instance one(list);
        one.manager.stopStoreAccess();
        one.manager.recordConnectionLost({7, {}}, incarnationOf(1));
        one.manager.recordConnectionLost({7, {}}, incarnationOf(2));
        one.manager.stop();
        std::vector<crash_record> sent;
        for (const peer::rumor &rumor : one.takeSent()) {
            const auto ends = decodeCrashRecords(rumor);
            sent.insert(sent.end(), valueOf(ends).begin(), valueOf(ends).end());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
        CPPUNIT_ASSERT_EQUAL(0, list.writes);
    }

    void endsObservedByOtherInstancesCount()
    {
        shared_list list;
        instance one(list);
        instance other(list, "edge-2");
        one.manager.recordConnectionLost({7, {}}, incarnationOf(1));
        one.manager.recordConnectionLost({7, {}}, incarnationOf(2));
        other.manager.recordConnectionLost({7, {}}, incarnationOf(3));
        CPPUNIT_ASSERT(waitUntil([&] {
            for (const peer::rumor &rumor : one.takeSent())
                other.manager.onRumor(rumor);
            return other.manager.quarantineOf({7, {}}).has_value();
        }));
        CPPUNIT_ASSERT(!other.manager.quarantineOf({8, {}}));
    }

    /// If all instances are killed at once and nothing is persisted, the request can crash three
    /// more runners.
    void newInstanceReadsRecordsFromTheStore()
    {
        shared_list list;
        {
            instance one(list);
            one.manager.recordConnectionLost({7, {}}, incarnationOf(1));
            one.manager.recordConnectionLost({7, {}}, incarnationOf(2));
            CPPUNIT_ASSERT(waitUntil([&] { return list.countEnds(7) == 2; }));
        }
        instance later(list, "edge-2");
        CPPUNIT_ASSERT(waitUntil([&] { return later.manager.countEnds(7).incarnations == 2; }));
        later.manager.recordConnectionLost({7, {}}, incarnationOf(3));
        CPPUNIT_ASSERT(later.manager.quarantineOf({7, {}}));
    }

    void concurrentWritersKeepAllEnds()
    {
        shared_list list;
        instance one(list);
        instance other(list, "edge-2");
        for (int number = 1; number <= 3; ++number) {
            one.manager.recordConnectionLost({7, {}}, incarnationOf(number));
            other.manager.recordConnectionLost({8, {}}, incarnationOf(10 + number));
            other.manager.recordConnectionLost({7, {}}, incarnationOf(20 + number));
        }
        CPPUNIT_ASSERT(waitUntil([&] { return list.countEnds(7) == 6 && list.countEnds(8) == 3; }));
    }

    /// The rumors for this instance were lost, or it was partitioned meanwhile.
    void differingFingerprintCausesStoreRead()
    {
        shared_list list;
        instance incomplete(list);
        CPPUNIT_ASSERT(waitUntil([&] { return list.reads > 0; }));
        instance one(list, "edge-2");
        for (int number = 1; number <= 3; ++number)
            one.manager.recordConnectionLost({7, {}}, incarnationOf(number));
        CPPUNIT_ASSERT(waitUntil([&] { return one.fingerprint != 0 && list.countEnds(7) == 3; }));
        CPPUNIT_ASSERT(!incomplete.manager.quarantineOf({7, {}}));
        incomplete.otherFingerprint = one.fingerprint.load();
        CPPUNIT_ASSERT(waitUntil([&] {
            return incomplete.manager.quarantineOf({7, {}}).has_value();
        }));
        CPPUNIT_ASSERT(waitUntil([&] { return incomplete.fingerprint == one.fingerprint; }));
    }

    void storeIsReadAfterPartition()
    {
        shared_list list;
        instance incomplete(list);
        CPPUNIT_ASSERT(waitUntil([&] { return list.reads > 0; }));
        incomplete.isPartitioned = true;
        std::this_thread::sleep_for(2 * config::quarantineInterval);
        instance one(list, "edge-2");
        for (int number = 1; number <= 3; ++number)
            one.manager.recordConnectionLost({7, {}}, incarnationOf(number));
        CPPUNIT_ASSERT(waitUntil([&] { return list.countEnds(7) == 3; }));
        incomplete.isPartitioned = false;
        CPPUNIT_ASSERT(waitUntil([&] {
            return incomplete.manager.quarantineOf({7, {}}).has_value();
        }));
    }

    void recordsAreRewrittenAfterStoreRollback()
    {
        shared_list list;
        instance one(list);
        for (int number = 1; number <= 3; ++number)
            one.manager.recordConnectionLost({7, {}}, incarnationOf(number));
        CPPUNIT_ASSERT(waitUntil([&] { return list.countEnds(7) == 3; }));
        {
            const std::lock_guard lock(list.guard);
            list.content = {{}, {1, 0}};
        }
        one.manager.recordStoreRollback();
        CPPUNIT_ASSERT(waitUntil([&] { return list.countEnds(7) == 3; }));
    }

    void clearedRequestCausesNoFurtherStoreAccess()
    {
        shared_list list;
        instance one(list);
        one.manager.recordConnectionLost({7, {}}, incarnationOf(1));
        one.manager.recordServed({7, {}}, incarnationOf(2), one.manager.endsKnown());
        CPPUNIT_ASSERT(waitUntil([&] { return !one.takeSent().empty(); }));
        std::this_thread::sleep_for(3 * config::quarantineInterval);
        CPPUNIT_ASSERT_EQUAL(1, list.reads);
        CPPUNIT_ASSERT_EQUAL(0, list.writes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, one.manager.countEnds(7).incarnations);
    }

    /// A short answer may be complete before the runner crashes of it.
    void answerThatItsRunnerDoesNotSurviveSpeaksAgainstItsParts()
    {
        shared_list list;
        instance one(list);
        one.manager.recordServed({7, {{70, 0}}}, incarnationOf(1), one.manager.endsKnown());
        one.manager.recordServed({8, {{80, 0}}}, incarnationOf(2), one.manager.endsKnown());
        one.manager.recordConnectionLost({9, {{90, 0}}}, incarnationOf(1));
        one.manager.judgeParts();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.manager.countEnds(70).incarnations);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, one.manager.countEnds(80).incarnations);
        one.manager.recordConnectionLost({8, {{80, 0}}}, incarnationOf(3));
        one.manager.recordServed({8, {{80, 0}}}, incarnationOf(2), one.manager.endsKnown());
        std::this_thread::sleep_for(config::survivalTime);
        one.manager.judgeParts();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.manager.countEnds(70).incarnations);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, one.manager.countEnds(80).incarnations);
    }

    void rumorsStayWithinSizeLimits()
    {
        end_report report{{9, 1}, {}};
        for (std::uint64_t digest = 0; digest < 200; ++digest)
            report.digests.push_back(digest);
        std::size_t sent = 0;
        for (const peer::rumor &one : rumorsOf({std::string(120, 'e')}, report)) {
            CPPUNIT_ASSERT(one.payload.size() <= config::maxRumorBytes);
            CPPUNIT_ASSERT(one.key.size() <= config::maxNameBytes);
            sent += valueOf(decodeCrashRecords(one)).size();
        }
        CPPUNIT_ASSERT_EQUAL(report.digests.size(), sent);
    }

    void malformedRumorsAreRejected()
    {
        const peer::rumor whole = rumorsOf({"e"}, {{9, 1}, {7, 8}}).front();
        for (std::size_t size = 0; size < whole.payload.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(
                    decodeCrashRecords({whole.key, whole.version, whole.payload.substr(0, size)})));
        CPPUNIT_ASSERT(valueOf(decodeCrashRecords({"load/i-1", 1, "x"})).empty());
        CPPUNIT_ASSERT(valueOf(decodeCrashRecords(clearedRumor({7, {{5, 9, true}, {6, 9}}})))
                       == (std::vector<crash_record>{{7, {{5, 9, true}}}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_manager_test);

} // namespace poplarspool::crashes
