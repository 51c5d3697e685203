#include "poplarspool/config.h"
#include "poplarspool/peer/teller_board.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace poplarspool::peer {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t runners = 1;
constexpr milliseconds trust = 1400ms;
constexpr std::uint64_t teller = 7;

mono_time at(milliseconds time)
{
    return mono_time(1h) + time;
}

store_news newsOf(std::uint64_t revision, std::uint32_t ageMs, bool isAnswered = true)
{
    kind_news one;
    one.kind = runners;
    one.isAnswered = isAnswered;
    one.since = revision;
    one.version = {0, revision};
    one.ageMs = ageMs;
    return {{one}};
}

/// Instances that hear each other after one turn; each turn is 5 ms.
struct fleet
{
    explicit fleet(std::size_t count, std::size_t enough) : enough(enough)
    {
        for (std::size_t i = 0; i < count; ++i) {
            boards.emplace_back(instance_id{"edge-" + std::to_string(i)});
            isAlive.push_back(true);
            isTelling.push_back(false);
            toldAt.emplace_back();
        }
    }

    void play(milliseconds time)
    {
        for (const mono_time end = now + time; now < end; now += 5ms) {
            for (std::size_t i = 0; i < boards.size(); ++i)
                step(i);
        }
    }

    void step(std::size_t i)
    {
        if (!isAlive[i])
            return;
        const bool told = isTelling[i];
        isTelling[i] = boards[i].decide(true, enough, now);
        begun += isTelling[i] && !told ? 1 : 0;
        if (!isTelling[i] || (told && now - toldAt[i] < config::storeNewsTime))
            return;
        toldAt[i] = now;
        for (std::size_t k = 0; k < boards.size(); ++k) {
            if (k != i)
                boards[k].hear(i + 1, newsOf(5, 0), now);
        }
    }

    std::size_t telling() const
    {
        return static_cast<std::size_t>(std::ranges::count(isTelling, true));
    }

    std::size_t enough;
    mono_time now = at(0ms);
    std::vector<teller_board> boards;
    std::vector<bool> isAlive;
    std::vector<bool> isTelling;
    std::vector<mono_time> toldAt;
    std::size_t begun = 0;
};

} // namespace

class teller_board_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(teller_board_test);
    CPPUNIT_TEST(fewTellWithoutAList);
    CPPUNIT_TEST(anotherStandsInForOneThatDied);
    CPPUNIT_TEST(aSilentTellerIsNotReliedOn);
    CPPUNIT_TEST(aTellerThatTheStoreTurnsAwayIsNotReliedOn);
    CPPUNIT_TEST(aTellerWhoseWatchIsSwallowedIsNotReliedOnForLong);
    CPPUNIT_TEST(whoKnowsLessAsksTheStore);
    CPPUNIT_TEST(aStoreThatCountsAnewIsAsked);
    CPPUNIT_TEST(aSecondTellerCoversTheFirst);
    CPPUNIT_TEST(epochsGoBeforeRevisions);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A fleet of 50 starts at once. If all followed the store for all others, each change would
    /// be 50 calls and 2,450 datagrams; if nobody did, nobody would hear of it without a call.
    void fewTellWithoutAList()
    {
        fleet many(50, 2);
        many.play(3s);
        CPPUNIT_ASSERT(many.telling() >= 2 && many.telling() <= 4);
        CPPUNIT_ASSERT(many.begun <= 10);
    }

    /// The instance that follows the store dies. The others notice by its silence; one of them
    /// stands in, and not all.
    void anotherStandsInForOneThatDied()
    {
        fleet many(20, 1);
        many.play(3s);
        const std::size_t before = many.begun;
        for (std::size_t i = 0; i < many.boards.size(); ++i) {
            many.isAlive[i] = !many.isTelling[i];
            many.isTelling[i] = false;
        }
        many.play(config::tellerSilence + config::standInTimeMost + 100ms);
        CPPUNIT_ASSERT(many.telling() >= 1);
        CPPUNIT_ASSERT(many.begun - before <= 4);
    }

    /// A caller is sent to a runner that has left: the instance that followed the store for this
    /// one froze, and this one waited for its news.
    void aSilentTellerIsNotReliedOn()
    {
        teller_board board{instance_id{"edge-1"}};
        board.hear(teller, newsOf(5, 0), at(0ms));
        const auto until = board.coveredUntil({runners, {0, 5}, at(0ms)}, trust, at(100ms));
        CPPUNIT_ASSERT(until == at(config::tellerSilence));
        CPPUNIT_ASSERT(!board.coveredUntil({runners, {0, 5}, at(0ms)}, trust, at(701ms)));
    }

    void aTellerThatTheStoreTurnsAwayIsNotReliedOn()
    {
        teller_board board{instance_id{"edge-1"}};
        board.hear(teller, newsOf(5, 0), at(0ms));
        board.hear(teller, newsOf(5, 10, false), at(10ms));
        CPPUNIT_ASSERT(!board.coveredUntil({runners, {0, 5}, at(0ms)}, trust, at(20ms)));
    }

    /// The store takes the watch of the instance that follows it, and never answers: that one goes
    /// on telling, and believes that nothing has changed. The age of what it tells shows it.
    void aTellerWhoseWatchIsSwallowedIsNotReliedOnForLong()
    {
        teller_board board{instance_id{"edge-1"}};
        for (milliseconds time = 0ms; time <= 1500ms; time += 250ms)
            board.hear(teller, newsOf(5, static_cast<std::uint32_t>(time.count())), at(time));
        CPPUNIT_ASSERT(board.coveredUntil({runners, {0, 5}, at(0ms)}, trust, at(1399ms)));
        CPPUNIT_ASSERT(!board.coveredUntil({runners, {0, 5}, at(0ms)}, trust, at(1400ms)));
    }

    /// The datagram with a runner's leaving is lost, and the next ones don't repeat it any more.
    void whoKnowsLessAsksTheStore()
    {
        teller_board board{instance_id{"edge-1"}};
        board.hear(teller, newsOf(9, 0), at(0ms));
        CPPUNIT_ASSERT(!board.coveredUntil({runners, {0, 5}, at(0ms)}, trust, at(10ms)));
        CPPUNIT_ASSERT(board.coveredUntil({runners, {0, 9}, at(0ms)}, trust, at(10ms)));
        CPPUNIT_ASSERT(board.coveredUntil({runners, {0, 12}, at(0ms)}, trust, at(10ms)));
    }

    /// The others tell of revisions below the one that is known here, and yet confirmed later.
    /// Waiting for them to catch up would be waiting for ever.
    void aStoreThatCountsAnewIsAsked()
    {
        teller_board board{instance_id{"edge-1"}};
        board.hear(teller, newsOf(5, 0), at(5s));
        CPPUNIT_ASSERT(!board.coveredUntil({runners, {0, 900}, at(0ms)}, trust, at(5s)));
    }

    void aSecondTellerCoversTheFirst()
    {
        teller_board board{instance_id{"edge-1"}};
        board.hear(teller, newsOf(5, 10, false), at(0ms));
        board.hear(teller + 1, newsOf(5, 0), at(0ms));
        CPPUNIT_ASSERT(board.coveredUntil({runners, {0, 5}, at(0ms)}, trust, at(10ms)));
    }

    /// The store has come back from an older copy, and two instances tell: one that has noticed,
    /// and one that hasn't. Revisions compare, and say nothing. Relied on, the second one would
    /// hold an instance to what is gone; the first one knows more, though its revision is lower.
    void epochsGoBeforeRevisions()
    {
        teller_board board({"self"});
        board.hear(teller, newsOf(9, 0), at(0ms));
        CPPUNIT_ASSERT(!board.coveredUntil({runners, {1, 5}, at(0ms)}, trust, at(10ms)));
        CPPUNIT_ASSERT(board.coveredUntil({runners, {0, 9}, at(0ms)}, trust, at(10ms)));
        store_news newer = newsOf(5, 0);
        newer.kinds.front().version.epoch = 1;
        board.hear(teller + 1, newer, at(0ms));
        CPPUNIT_ASSERT(!board.coveredUntil({runners, {0, 9}, at(0ms)}, trust, at(10ms)));
        CPPUNIT_ASSERT(board.coveredUntil({runners, {1, 5}, at(0ms)}, trust, at(10ms)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(teller_board_test);

} // namespace poplarspool::peer
