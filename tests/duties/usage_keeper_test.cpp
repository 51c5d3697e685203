#include "poplarspool/duties/usage_keeper.h"

#include "poplarspool/duties/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace poplarspool::duties {

namespace {

using namespace std::chrono_literals;

constexpr milliseconds windowLength = 5s;
constexpr milliseconds lateTime = 10s;
constexpr milliseconds leaseBound = 3s;

/// A report as the platform took it.
struct taken_report
{
    std::string holder;
    std::uint64_t fence = 0;
    usage_report report;
    mono_time at{};
    wall_time trueAt{};
};

/// The clock, the store and the platform that all instances share.
struct world
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
    milliseconds beforeSend{0}; ///< Passes between a term's begin and the next send.
    std::vector<taken_report> taken;

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
                return notRun(error_code::Conflict, "another one stands there");
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
            taken.push_back({holder, term.fence, report, mono, truth});
            if (losesPlatformAnswers)
                return mayHaveRun(error_code::TimedOut, "no answer");
            return unit{};
        }};
    }
};

/// One life of an instance.
struct node
{
    node(world &around, std::string name, std::uint64_t life, milliseconds ahead = 0ms)
        : around(around), name(std::move(name)), life(life), ahead(ahead), ledger(life),
          keeper({{ledger, time, windowLength},
                  lateTime,
                  around.sinkOf(this->name),
                  clock,
                  around.events,
                  around.metrics,
                  [this] { return isOwner; }},
                 around.store(), {this->name}, leaseBound)
    { }

    void count(const std::string &workspace)
    {
        ledger.noteBegun(windowAt(time.now().at, windowLength), {workspace});
    }

    void tell(node &other)
    {
        for (const told_usage &part : ledger.collect(true))
            other.ledger.take(part);
        other.ledger.noteTold(life, other.time.now().at, false);
        other.time.noteClock(life, around.truth + ahead);
    }

    world &around;
    const std::string name;
    const std::uint64_t life;
    const milliseconds ahead;
    clock_source clock{[this] { return around.mono; }, [this] { return around.truth + ahead; }};
    fleet_clock time{clock};
    usage_ledger ledger;
    bool isOwner = false;
    bool isCut = false; ///< From the other instances.
    usage_keeper keeper;
};

/// Lets time pass until the holder has reported the window.
const taken_report &reportOf(world &test, node &holder, window_number window)
{
    while (test.taken.empty() || test.taken.back().report.window < window) {
        test.pass(500ms);
        holder.keeper.look();
    }
    return test.taken.back();
}

/// @throws CPPUNIT_NS::Exception where the platform has seen what must never be.
void judge(const world &test, const std::string &seed)
{
    std::map<window_number, usage_counts> reported;
    std::map<std::uint64_t, std::string> holders;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < test.taken.size(); ++i) {
        const taken_report &one = test.taken[i];
        const auto first = reported.try_emplace(one.report.window, one.report.counts).first;
        CPPUNIT_ASSERT_MESSAGE("two reports of a window, " + seed,
                               first->second == one.report.counts);
        const auto holder = holders.try_emplace(one.fence, one.holder).first;
        CPPUNIT_ASSERT_MESSAGE("two holders of a fence, " + seed, holder->second == one.holder);
        CPPUNIT_ASSERT_MESSAGE("a lower fence, " + seed, one.fence >= highest);
        highest = one.fence;
        for (std::size_t k = i; k-- > 0 && one.at - test.taken[k].at < leaseBound;) {
            if (test.taken[k].holder == one.holder)
                continue;
            for (std::size_t m = k; m-- > 0 && one.at - test.taken[m].at < leaseBound;)
                CPPUNIT_ASSERT_MESSAGE("two holders took turns, " + seed,
                                       test.taken[m].holder != one.holder);
        }
    }
}

} // namespace

class usage_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(usage_keeper_test);
    CPPUNIT_TEST(aWindowIsReportedOnceItIsCounted);
    CPPUNIT_TEST(silentInstancesAreWaitedForInTime);
    CPPUNIT_TEST(whoIsNotTheOwnerAsksNobody);
    CPPUNIT_TEST(theSuccessorSendsWhatWasNoted);
    CPPUNIT_TEST(withoutTheNoteNothingIsSent);
    CPPUNIT_TEST(nothingIsSentAfterTheTerm);
    CPPUNIT_TEST(whatWasNotTakenIsSentAgain);
    CPPUNIT_TEST(noRuleBreaksWhateverFails);
    CPPUNIT_TEST_SUITE_END();

public:
    void aWindowIsReportedOnceItIsCounted()
    {
        world test;
        node a(test, "a", 1);
        a.isOwner = true;
        const window_number window = windowAt(test.truth, windowLength);
        a.count("x");
        a.count("x");
        const taken_report &mine = reportOf(test, a, window);
        CPPUNIT_ASSERT(mine.report == (usage_report{window, {{{"x"}, 2}}}));
        const auto age = mine.trueAt - endOf(window, windowLength);
        CPPUNIT_ASSERT(age >= config::usageSettleTime && age <= 3s);
    }

    /// Guards against a report without the counts of an instance that is cut off for some seconds.
    void silentInstancesAreWaitedForInTime()
    {
        world test;
        node a(test, "a", 1);
        node b(test, "b", 2);
        a.isOwner = true;
        const window_number window = windowAt(test.truth, windowLength);
        b.count("x");
        b.tell(a);
        const auto age = reportOf(test, a, window).trueAt - endOf(window, windowLength);
        CPPUNIT_ASSERT(age >= lateTime / 2 && age < lateTime - 2 * leaseBound + 2s);
    }

    void whoIsNotTheOwnerAsksNobody()
    {
        world test;
        test.isStoreDown = true;
        node a(test, "a", 1);
        for (int i = 0; i < 40; ++i) {
            test.pass(500ms);
            a.keeper.look();
        }
        CPPUNIT_ASSERT(test.events.events({"lease_unknown", {}, {}}).empty());
    }

    /// The holder ends between its write and its call. Its successor has counted more.
    void theSuccessorSendsWhatWasNoted()
    {
        world test;
        {
            node a(test, "a", 1);
            a.isOwner = true;
            a.count("x");
            test.pass(windowLength + 2s);
            test.isPlatformDown = true;
            a.keeper.look();
        }
        test.isPlatformDown = false;
        node b(test, "b", 2);
        b.isOwner = true;
        const auto noted = decodeUsageNote(test.record.note)->reports;
        b.ledger.take({1, noted.back().window, {{{"x"}, 40}}});
        for (int i = 0; i < 20 && test.taken.empty(); ++i) {
            b.keeper.look();
            test.pass(500ms);
        }
        CPPUNIT_ASSERT(test.taken[0].report == noted.front());
        judge(test, "");
    }

    void withoutTheNoteNothingIsSent()
    {
        world test;
        node a(test, "a", 1);
        a.isOwner = true;
        test.losesStoreAnswers = true;
        test.pass(windowLength + 2s);
        a.keeper.look();
        CPPUNIT_ASSERT(test.taken.empty());
        test.losesStoreAnswers = false;
        test.pass(1s);
        a.keeper.look();
        CPPUNIT_ASSERT(!test.taken.empty());
    }

    /// The holder stands still after its write; another one may have begun since.
    void nothingIsSentAfterTheTerm()
    {
        world test;
        node a(test, "a", 1);
        a.isOwner = true;
        test.pass(windowLength + 2s);
        test.beforeSend = leaseBound;
        a.keeper.look();
        CPPUNIT_ASSERT(test.taken.empty());
    }

    void whatWasNotTakenIsSentAgain()
    {
        world test;
        node a(test, "a", 1);
        a.isOwner = true;
        test.pass(windowLength + 2s);
        test.losesPlatformAnswers = true;
        a.keeper.look();
        const std::size_t before = test.taken.size();
        test.losesPlatformAnswers = false;
        test.pass(1s);
        a.keeper.look();
        CPPUNIT_ASSERT(before > 0 && test.taken.size() > before);
        CPPUNIT_ASSERT(test.taken[before].report == test.taken[0].report);
        judge(test, "");
    }

    /// Holders are killed, stand still, are cut off and disagree on who it is, while the store and
    /// the platform lose answers and come and go.
    void noRuleBreaksWhateverFails()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            std::mt19937_64 random(seed);
            const std::size_t count = seed % 10 == 0 ? 60 : 3 + random() % 10;
            play(seed, random, count);
        }
    }

private:
    static void calmDown(world &test, const std::vector<std::unique_ptr<node>> &nodes,
                         std::size_t owner)
    {
        test.isStoreDown = test.isPlatformDown = false;
        test.losesStoreAnswers = test.losesPlatformAnswers = false;
        test.beforeSend = 0ms;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            nodes[i]->isOwner = i == owner;
        for (int step = 0; step < 50; ++step) {
            test.pass(500ms);
            nodes[owner]->keeper.look();
        }
    }

    static void play(std::uint64_t seed, std::mt19937_64 &random, std::size_t count)
    {
        world test;
        std::uint64_t life = 0;
        std::vector<std::unique_ptr<node>> nodes;
        const auto chance = [&random](std::uint64_t oneIn) { return random() % oneIn == 0; };
        const auto skew = [&random] { return milliseconds(random() % 40); };
        for (std::size_t i = 0; i < count; ++i)
            nodes.push_back(std::make_unique<node>(test, "n" + std::to_string(i), ++life, skew()));
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
                node &one = *nodes[i];
                one.isOwner = i == owner || chance(60);
                if (test.mono < frozenUntil[i])
                    continue;
                if (chance(8))
                    one.count("w" + std::to_string(random() % 4));
                if (chance(200))
                    one.isCut = !one.isCut;
                if (chance(3) && !one.isCut)
                    one.tell(*nodes[random() % count]);
                if (one.isOwner && chance(25))
                    test.beforeSend = milliseconds(random() % 3'000);
                if (step % 2 == 0)
                    one.keeper.look();
                if (one.isOwner && chance(30))
                    nodes[i] =
                            std::make_unique<node>(test, "n" + std::to_string(i), ++life, skew());
                else if (one.isOwner && chance(30))
                    frozenUntil[i] = test.mono + 4s;
            }
        }
        const std::size_t before = test.taken.size();
        calmDown(test, nodes, random() % count);
        judge(test, "seed " + std::to_string(seed));
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), test.taken.size() > before);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_keeper_test);

} // namespace poplarspool::duties
