#include "poplarspool/duties/usage_reporter.h"

#include "poplarspool/duties/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace poplarspool::duties {

namespace {

using namespace std::chrono_literals;

constexpr milliseconds windowLength = 5s;
constexpr milliseconds reportDeadline = 10s;
constexpr milliseconds leaseBound = 3s;

/// A report as the platform has received it.
struct received_report
{
    std::string holder;
    std::uint64_t fence = 0;
    usage_report report;
    mono_time at{};
    wall_time trueAt{};
};

/// The clock, the store and the platform that all instances share.
struct simulation
{
    mono_time mono{std::chrono::hours(5)};
    wall_time truth{milliseconds(1'700'000'000'000)};
    journal events{{"test"}, systemClock(), 4096};
    metrics_registry metrics;
    lease_record record;
    std::uint64_t revision = 10;
    bool isStoreDown = false;
    bool losesStoreAnswers = false;
    bool isPlatformDown = false;
    bool losesPlatformAnswers = false;
    milliseconds beforeSend{0}; ///< Time that passes between the start of a term and the next send.
    std::vector<received_report> received;

    void pass(milliseconds time)
    {
        mono += time;
        truth += time;
    }

    lease_store store()
    {
        lease_store made;
        made.duty = "usage";
        made.read = [this]() -> result<lease_record> {
            if (isStoreDown)
                return notRun(error_code::Unavailable, "down");
            return record;
        };
        made.write = [this](const lease_record &next) -> result<unit> {
            if (isStoreDown)
                return notRun(error_code::Unavailable, "down");
            if (next.version != record.version)
                return notRun(error_code::Conflict, "the record has another revision");
            record = next;
            record.version.revision = ++revision;
            if (losesStoreAnswers)
                return mayHaveRun(error_code::TimedOut, "no answer");
            return unit{};
        };
        return made;
    }

    usage_sink sinkOf(const std::string &holder)
    {
        return {[this, holder](const usage_report &report, const lease_term &term) -> result<unit> {
            pass(std::exchange(beforeSend, 0ms));
            if (mono >= term.endsAt)
                return notRun(error_code::TimedOut, "the term is over");
            if (isPlatformDown)
                return mayHaveRun(error_code::TimedOut, "down");
            received.push_back({holder, term.fence, report, mono, truth});
            if (losesPlatformAnswers)
                return mayHaveRun(error_code::TimedOut, "no answer");
            return unit{};
        }};
    }
};

/// One incarnation of an instance.
struct test_instance
{
    test_instance(simulation &environment, std::string name, std::uint64_t incarnation,
                  milliseconds ahead = 0ms)
        : environment(environment), name(std::move(name)), incarnation(incarnation), ahead(ahead),
          table(incarnation), reporter({{table, time, windowLength},
                                        reportDeadline,
                                        environment.sinkOf(this->name),
                                        clock,
                                        environment.events,
                                        environment.metrics,
                                        [this] { return isOwner; }},
                                       environment.store(), {this->name}, leaseBound)
    { }

    void count(const std::string &workspace)
    {
        table.recordRequestStart(windowAt(time.now().at, windowLength), {workspace});
    }

    void sendTo(test_instance &other)
    {
        for (const incarnation_usage &part : table.collect(true))
            other.table.merge(part);
        other.table.recordReceivedUpTo(incarnation, other.time.now().at, false);
        other.time.recordClock(incarnation, environment.truth + ahead);
    }

    simulation &environment;
    const std::string name;
    const std::uint64_t incarnation;
    const milliseconds ahead;
    clock_source clock{[this] { return environment.mono; },
                       [this] { return environment.truth + ahead; }};
    fleet_clock time{clock};
    usage_table table;
    bool isOwner = false;
    bool isDisconnected = false; ///< From the other instances.
    usage_reporter reporter;
};

/// Advances the time until the holder has reported the window.
const received_report &reportOf(simulation &test, test_instance &holder, window_number window)
{
    while (test.received.empty() || test.received.back().report.window < window) {
        test.pass(500ms);
        holder.reporter.runOnce();
    }
    return test.received.back();
}

/// @throws CPPUNIT_NS::Exception if the reports that the platform received break an invariant.
void checkInvariants(const simulation &test, const std::string &seed)
{
    std::map<window_number, usage_counts> reported;
    std::map<std::uint64_t, std::string> holders;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < test.received.size(); ++i) {
        const received_report &one = test.received[i];
        const auto first = reported.try_emplace(one.report.window, one.report.counts).first;
        CPPUNIT_ASSERT_MESSAGE("different reports of one window, " + seed,
                               first->second == one.report.counts);
        const auto holder = holders.try_emplace(one.fence, one.holder).first;
        CPPUNIT_ASSERT_MESSAGE("two holders with one fence, " + seed, holder->second == one.holder);
        CPPUNIT_ASSERT_MESSAGE("fence decreased, " + seed, one.fence >= highest);
        highest = one.fence;
        for (std::size_t k = i; k-- > 0 && one.at - test.received[k].at < leaseBound;) {
            if (test.received[k].holder == one.holder)
                continue;
            for (std::size_t m = k; m-- > 0 && one.at - test.received[m].at < leaseBound;)
                CPPUNIT_ASSERT_MESSAGE("holders alternated within the lease bound, " + seed,
                                       test.received[m].holder != one.holder);
        }
    }
}

} // namespace

class usage_reporter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(usage_reporter_test);
    CPPUNIT_TEST(windowIsReportedWhenComplete);
    CPPUNIT_TEST(waitForSilentInstancesIsBounded);
    CPPUNIT_TEST(nonOwnerMakesNoStoreCalls);
    CPPUNIT_TEST(successorSendsStoredReport);
    CPPUNIT_TEST(nothingIsSentWithoutConfirmedCheckpoint);
    CPPUNIT_TEST(nothingIsSentAfterTermEnd);
    CPPUNIT_TEST(unconfirmedReportIsSentAgain);
    CPPUNIT_TEST(invariantsHoldUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void windowIsReportedWhenComplete()
    {
        simulation test;
        test_instance a(test, "a", 1);
        a.isOwner = true;
        const window_number window = windowAt(test.truth, windowLength);
        a.count("x");
        a.count("x");
        const received_report &mine = reportOf(test, a, window);
        CPPUNIT_ASSERT(mine.report == (usage_report{window, {{{"x"}, 2}}}));
        const auto age = mine.trueAt - endOf(window, windowLength);
        CPPUNIT_ASSERT(age >= config::usageSettleTime && age <= 3s);
    }

    /// Guards against a report without the counts of an instance that is disconnected for some
    /// seconds. The wait for it ends early enough for another holder to send the report in time.
    void waitForSilentInstancesIsBounded()
    {
        simulation test;
        test_instance a(test, "a", 1);
        test_instance b(test, "b", 2);
        a.isOwner = true;
        const window_number window = windowAt(test.truth, windowLength);
        b.count("x");
        b.sendTo(a);
        const auto age = reportOf(test, a, window).trueAt - endOf(window, windowLength);
        CPPUNIT_ASSERT(age >= reportDeadline / 2 && age < reportDeadline - 2 * leaseBound + 2s);
    }

    void nonOwnerMakesNoStoreCalls()
    {
        simulation test;
        test.isStoreDown = true;
        test_instance a(test, "a", 1);
        for (int i = 0; i < 40; ++i) {
            test.pass(500ms);
            a.reporter.runOnce();
        }
        CPPUNIT_ASSERT(test.events.events({"lease_unknown", {}, {}}).empty());
    }

    /// The holder crashes after it has written the checkpoint and before it sends the report. Its
    /// successor has received more counts. Guards against two different reports of one window.
    void successorSendsStoredReport()
    {
        simulation test;
        {
            test_instance a(test, "a", 1);
            a.isOwner = true;
            a.count("x");
            test.pass(windowLength + 2s);
            test.isPlatformDown = true;
            a.reporter.runOnce();
        }
        test.isPlatformDown = false;
        test_instance b(test, "b", 2);
        b.isOwner = true;
        const auto stored = decodeUsageCheckpoint(test.record.checkpoint)->reports;
        b.table.merge({1, stored.back().window, {{{"x"}, 40}}});
        for (int i = 0; i < 20 && test.received.empty(); ++i) {
            b.reporter.runOnce();
            test.pass(500ms);
        }
        CPPUNIT_ASSERT(test.received[0].report == stored.front());
        checkInvariants(test, "");
    }

    void nothingIsSentWithoutConfirmedCheckpoint()
    {
        simulation test;
        test_instance a(test, "a", 1);
        a.isOwner = true;
        test.losesStoreAnswers = true;
        test.pass(windowLength + 2s);
        a.reporter.runOnce();
        CPPUNIT_ASSERT(test.received.empty());
        test.losesStoreAnswers = false;
        test.pass(1s);
        a.reporter.runOnce();
        CPPUNIT_ASSERT(!test.received.empty());
    }

    /// The holder is suspended after its write, and another instance may have acquired a term
    /// since.
    void nothingIsSentAfterTermEnd()
    {
        simulation test;
        test_instance a(test, "a", 1);
        a.isOwner = true;
        test.pass(windowLength + 2s);
        test.beforeSend = leaseBound;
        a.reporter.runOnce();
        CPPUNIT_ASSERT(test.received.empty());
    }

    void unconfirmedReportIsSentAgain()
    {
        simulation test;
        test_instance a(test, "a", 1);
        a.isOwner = true;
        test.pass(windowLength + 2s);
        test.losesPlatformAnswers = true;
        a.reporter.runOnce();
        const std::size_t before = test.received.size();
        test.losesPlatformAnswers = false;
        test.pass(1s);
        a.reporter.runOnce();
        CPPUNIT_ASSERT(before > 0 && test.received.size() > before);
        CPPUNIT_ASSERT(test.received[before].report == test.received[0].report);
        checkInvariants(test, "");
    }

    /// Holders crash, are suspended or disconnected, and disagree on the owner, while the store and
    /// the platform lose answers and become unreachable.
    void invariantsHoldUnderRandomFaults()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            std::mt19937_64 random(seed);
            const std::size_t count = seed % 10 == 0 ? 60 : 3 + random() % 10;
            runWithFaults(seed, random, count);
        }
    }

private:
    static void runWithoutFaults(simulation &test,
                                 const std::vector<std::unique_ptr<test_instance>> &instances,
                                 std::size_t owner)
    {
        test.isStoreDown = test.isPlatformDown = false;
        test.losesStoreAnswers = test.losesPlatformAnswers = false;
        test.beforeSend = 0ms;
        for (std::size_t i = 0; i < instances.size(); ++i)
            instances[i]->isOwner = i == owner;
        for (int step = 0; step < 50; ++step) {
            test.pass(500ms);
            instances[owner]->reporter.runOnce();
        }
    }

    static void runWithFaults(std::uint64_t seed, std::mt19937_64 &random, std::size_t count)
    {
        simulation test;
        std::uint64_t incarnation = 0;
        std::vector<std::unique_ptr<test_instance>> instances;
        const auto chance = [&random](std::uint64_t oneIn) { return random() % oneIn == 0; };
        const auto skew = [&random] { return milliseconds(random() % 40); };
        for (std::size_t i = 0; i < count; ++i)
            instances.push_back(std::make_unique<test_instance>(test, "n" + std::to_string(i),
                                                                ++incarnation, skew()));
        std::vector<mono_time> frozenUntil(count);
        for (int step = 0; step < 240; ++step) {
            test.pass(250ms);
            if (chance(40))
                test.isStoreDown = !test.isStoreDown;
            if (chance(40))
                test.isPlatformDown = !test.isPlatformDown;
            test.losesStoreAnswers = chance(6);
            test.losesPlatformAnswers = chance(6);
            const std::size_t owner = random() % 30 == 0 ? random() % count : step / 80;
            for (std::size_t i = 0; i < count; ++i) {
                test_instance &one = *instances[i];
                one.isOwner = i == owner || chance(60);
                if (test.mono < frozenUntil[i])
                    continue;
                if (chance(8))
                    one.count("w" + std::to_string(random() % 4));
                if (chance(200))
                    one.isDisconnected = !one.isDisconnected;
                if (chance(3) && !one.isDisconnected)
                    one.sendTo(*instances[random() % count]);
                if (one.isOwner && chance(25))
                    test.beforeSend = milliseconds(random() % 3'000);
                if (step % 2 == 0)
                    one.reporter.runOnce();
                if (one.isOwner && chance(30))
                    instances[i] = std::make_unique<test_instance>(test, "n" + std::to_string(i),
                                                                   ++incarnation, skew());
                else if (one.isOwner && chance(30))
                    frozenUntil[i] = test.mono + 4s;
            }
        }
        const std::size_t before = test.received.size();
        runWithoutFaults(test, instances, random() % count);
        checkInvariants(test, "seed " + std::to_string(seed));
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), test.received.size() > before);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_reporter_test);

} // namespace poplarspool::duties
