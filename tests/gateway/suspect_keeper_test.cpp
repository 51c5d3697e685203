#include "gateway/suspect_keeper.h"

#include "poplarspool/config.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

/// A store of one list, which many keepers share.
struct shared_list
{
    suspect_store access()
    {
        suspect_store made;
        made.read = [this]() -> result<suspect_list> {
            const std::lock_guard lock(guard);
            ++reads;
            return content;
        };
        made.write = [this](const suspect_list &next) -> result<unit> {
            const std::lock_guard lock(guard);
            ++writes;
            if (next.version != content.version)
                return notRun(error_code::Conflict, "changed meanwhile");
            content.suspects = next.suspects;
            ++content.version.revision;
            return unit{};
        };
        return made;
    }

    std::size_t livesOf(std::uint64_t digest)
    {
        const std::lock_guard lock(guard);
        const auto found = std::ranges::find(content.suspects, digest, &suspect::digest);
        return found == content.suspects.end() ? 0 : found->lives.size();
    }

    std::mutex guard;
    suspect_list content;
    int reads = 0;
    int writes = 0;
};

/// One instance's keeper; what it tells is handed to the others by hand.
struct instance
{
    explicit instance(shared_list &list, const std::string &name = "edge-1")
        : keeper({[this](const endpoint &) { return isRunnerGone.load(); },
                  [this](peer::rumor news) {
                      const std::lock_guard lock(guard);
                      told.push_back(std::move(news));
                  },
                  [this](std::uint64_t given) { mark = given; },
                  [this] { return std::vector<std::uint64_t>{othersMark.load()}; },
                  [this] { return isCutOff ? mono_time{} : systemClock().mono(); }},
                 list.access(), {name}, systemClock(), metrics, events)
    {
        keeper.start();
    }

    std::vector<peer::rumor> takeTold()
    {
        const std::lock_guard lock(guard);
        return std::exchange(told, {});
    }

    metrics_registry metrics;
    journal events{{"test"}, systemClock(), 64};
    std::atomic<bool> isRunnerGone{true};
    std::atomic<std::uint64_t> mark{0};
    std::atomic<std::uint64_t> othersMark{0};
    std::atomic<bool> isCutOff{false};
    std::mutex guard;
    std::vector<peer::rumor> told;
    suspect_keeper keeper;
};

runner lifeOf(int number)
{
    runner made;
    made.id.text = "i-" + std::to_string(number);
    made.address = {"127.0.0.1", 9};
    return made;
}

bool waitUntil(const std::function<bool()> &holds)
{
    for (const auto end = std::chrono::steady_clock::now() + 20s;
         std::chrono::steady_clock::now() < end; std::this_thread::sleep_for(2ms)) {
        if (holds())
            return true;
    }
    return false;
}

} // namespace

class suspect_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(suspect_keeper_test);
    CPPUNIT_TEST(aBrokenAnswerOfALivingRunnerCountsNothing);
    CPPUNIT_TEST(anEndThatIsSeenLateCounts);
    CPPUNIT_TEST(whoLeavesStillTells);
    CPPUNIT_TEST(endsSeenElsewhereCount);
    CPPUNIT_TEST(whoStartsLaterReadsThemInTheStore);
    CPPUNIT_TEST(twoWritersKeepEachOthersEnds);
    CPPUNIT_TEST(whoLacksWhatOthersHaveReadsTheStore);
    CPPUNIT_TEST(anOlderCopyGetsThemAgain);
    CPPUNIT_TEST(whoWasCutOffReadsTheStoreWhenItIsBack);
    CPPUNIT_TEST(calmInstancesReadOnceAndWriteNothing);
    CPPUNIT_TEST(rumorsKeepTheirBounds);
    CPPUNIT_TEST(malformedRumorsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void aBrokenAnswerOfALivingRunnerCountsNothing()
    {
        shared_list list;
        instance one(list);
        one.isRunnerGone = false;
        one.keeper.noteBroken(7, lifeOf(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, one.keeper.countLives(7));
        one.isRunnerGone = true;
        one.keeper.noteBroken(8, lifeOf(1));
        one.isRunnerGone = false; // Started again; the end of that life is known all the same.
        one.keeper.noteBroken(7, lifeOf(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.keeper.countLives(7));
    }

    void anEndThatIsSeenLateCounts()
    {
        shared_list list;
        instance one(list);
        one.isRunnerGone = false;
        one.keeper.noteBroken(7, lifeOf(1));
        one.keeper.noteDoubt(8, lifeOf(1));
        one.isRunnerGone = true;
        CPPUNIT_ASSERT(waitUntil(
                [&] { return one.keeper.countLives(7) == 1 && one.keeper.countLives(8) == 1; }));
    }

    /// Each instance in turn ends for a new release, and took what it had seen with it.
    void whoLeavesStillTells()
    {
        shared_list list;
        instance one(list);
        one.keeper.leave();
        one.keeper.noteBroken(7, lifeOf(1));
        one.keeper.noteBroken(7, lifeOf(2));
        one.keeper.stop();
        std::vector<suspect> told;
        for (const peer::rumor &news : one.takeTold()) {
            const auto ends = suspectsIn(news);
            told.insert(told.end(), valueOf(ends).begin(), valueOf(ends).end());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, told.size());
        CPPUNIT_ASSERT_EQUAL(0, list.writes);
    }

    void endsSeenElsewhereCount()
    {
        shared_list list;
        instance one(list);
        instance other(list, "edge-2");
        one.keeper.noteBroken(7, lifeOf(1));
        one.keeper.noteBroken(7, lifeOf(2));
        other.keeper.noteBroken(7, lifeOf(3));
        CPPUNIT_ASSERT(waitUntil([&] {
            for (const peer::rumor &news : one.takeTold())
                other.keeper.take(news);
            return other.keeper.quarantineOf(7).has_value();
        }));
        CPPUNIT_ASSERT(!other.keeper.quarantineOf(8));
    }

    /// All instances killed at once forgot it, and it ended three runners more.
    void whoStartsLaterReadsThemInTheStore()
    {
        shared_list list;
        {
            instance one(list);
            one.keeper.noteBroken(7, lifeOf(1));
            one.keeper.noteBroken(7, lifeOf(2));
            CPPUNIT_ASSERT(waitUntil([&] { return list.livesOf(7) == 2; }));
        }
        instance later(list, "edge-2");
        CPPUNIT_ASSERT(waitUntil([&] { return later.keeper.countLives(7) == 2; }));
        later.keeper.noteBroken(7, lifeOf(3));
        CPPUNIT_ASSERT(later.keeper.quarantineOf(7));
    }

    void twoWritersKeepEachOthersEnds()
    {
        shared_list list;
        instance one(list);
        instance other(list, "edge-2");
        for (int life = 1; life <= 3; ++life) {
            one.keeper.noteBroken(7, lifeOf(life));
            other.keeper.noteBroken(8, lifeOf(10 + life));
            other.keeper.noteBroken(7, lifeOf(20 + life));
        }
        CPPUNIT_ASSERT(waitUntil([&] { return list.livesOf(7) == 6 && list.livesOf(8) == 3; }));
    }

    /// Its rumors were lost, or it was cut off meanwhile.
    void whoLacksWhatOthersHaveReadsTheStore()
    {
        shared_list list;
        instance lacking(list);
        CPPUNIT_ASSERT(waitUntil([&] { return list.reads > 0; }));
        instance one(list, "edge-2");
        for (int life = 1; life <= 3; ++life)
            one.keeper.noteBroken(7, lifeOf(life));
        CPPUNIT_ASSERT(waitUntil([&] { return one.mark != 0 && list.livesOf(7) == 3; }));
        CPPUNIT_ASSERT(!lacking.keeper.quarantineOf(7));
        lacking.othersMark = one.mark.load();
        CPPUNIT_ASSERT(waitUntil([&] { return lacking.keeper.quarantineOf(7).has_value(); }));
        CPPUNIT_ASSERT(waitUntil([&] { return lacking.mark == one.mark; }));
    }

    void whoWasCutOffReadsTheStoreWhenItIsBack()
    {
        shared_list list;
        instance lacking(list);
        CPPUNIT_ASSERT(waitUntil([&] { return list.reads > 0; }));
        lacking.isCutOff = true;
        std::this_thread::sleep_for(2 * config::suspectLookTime);
        instance one(list, "edge-2");
        for (int life = 1; life <= 3; ++life)
            one.keeper.noteBroken(7, lifeOf(life));
        CPPUNIT_ASSERT(waitUntil([&] { return list.livesOf(7) == 3; }));
        lacking.isCutOff = false;
        CPPUNIT_ASSERT(waitUntil([&] { return lacking.keeper.quarantineOf(7).has_value(); }));
    }

    void anOlderCopyGetsThemAgain()
    {
        shared_list list;
        instance one(list);
        for (int life = 1; life <= 3; ++life)
            one.keeper.noteBroken(7, lifeOf(life));
        CPPUNIT_ASSERT(waitUntil([&] { return list.livesOf(7) == 3; }));
        {
            const std::lock_guard lock(list.guard);
            list.content = {{}, {1, 0}};
        }
        one.keeper.restore();
        CPPUNIT_ASSERT(waitUntil([&] { return list.livesOf(7) == 3; }));
    }

    void calmInstancesReadOnceAndWriteNothing()
    {
        shared_list list;
        instance one(list);
        one.keeper.noteBroken(7, lifeOf(1));
        one.keeper.noteServed(7);
        CPPUNIT_ASSERT(waitUntil([&] { return !one.takeTold().empty(); }));
        std::this_thread::sleep_for(3 * config::suspectLookTime);
        CPPUNIT_ASSERT_EQUAL(1, list.reads);
        CPPUNIT_ASSERT_EQUAL(0, list.writes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, one.keeper.countLives(7));
    }

    void rumorsKeepTheirBounds()
    {
        end_report report{{9, 1}, {}};
        for (std::uint64_t digest = 0; digest < 200; ++digest)
            report.digests.push_back(digest);
        std::size_t told = 0;
        for (const peer::rumor &one : rumorsOf({std::string(120, 'e')}, report)) {
            CPPUNIT_ASSERT(one.payload.size() <= config::maxRumorBytes);
            CPPUNIT_ASSERT(one.key.size() <= config::maxNameBytes);
            told += valueOf(suspectsIn(one)).size();
        }
        CPPUNIT_ASSERT_EQUAL(report.digests.size(), told);
    }

    void malformedRumorsAreRefused()
    {
        const peer::rumor whole = rumorsOf({"e"}, {{9, 1}, {7, 8}}).front();
        for (std::size_t size = 0; size < whole.payload.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(
                    suspectsIn({whole.key, whole.version, whole.payload.substr(0, size)})));
        CPPUNIT_ASSERT(valueOf(suspectsIn({"load/i-1", 1, "x"})).empty());
        CPPUNIT_ASSERT(valueOf(suspectsIn(servedRumor(7, 5)))
                       == (std::vector<suspect>{{7, {}, 5}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspect_keeper_test);

} // namespace poplarspool::gateway
