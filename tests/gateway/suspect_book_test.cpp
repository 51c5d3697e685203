#include "gateway/suspect_book.h"

#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t start = 1'000'000;

ended_life lifeOf(std::uint64_t life, std::int64_t at = start)
{
    return {life, at};
}

suspect suspectOf(std::uint64_t digest, const std::vector<std::uint64_t> &lives)
{
    suspect made{digest, {}, 0};
    for (const std::uint64_t life : lives)
        made = joined(made, {digest, {lifeOf(life)}, 0});
    return made;
}

bool isKept(const suspect_book &book, std::uint64_t digest, std::int64_t now = start)
{
    return book.quarantineOf(digest, now).has_value();
}

} // namespace

class suspect_book_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(suspect_book_test);
    CPPUNIT_TEST(endsAreCountedAsASet);
    CPPUNIT_TEST(newsMayComeInAnyOrder);
    CPPUNIT_TEST(threeLivesKeepARequestFromRunners);
    CPPUNIT_TEST(aWholeAnswerSpeaksForARequest);
    CPPUNIT_TEST(anEndUnderTheGuiltyOneSpeaksAgainstNoOther);
    CPPUNIT_TEST(whoWasAtTheSameEndsIsKeptAsWell);
    CPPUNIT_TEST(theGuiltyOneIsKeptAfterThreeEndsWhateverRunsBeside);
    CPPUNIT_TEST(othersEndsLetNobodyGo);
    CPPUNIT_TEST(quarantineEndsAndGrows);
    CPPUNIT_TEST(inTheFirstDayItIsTriedThreeTimes);
    CPPUNIT_TEST(aRestartUnderTheSameIdIsAnotherLife);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(onlyQuarantineIsMarked);
    CPPUNIT_TEST_SUITE_END();

public:
    void endsAreCountedAsASet()
    {
        suspect_book book;
        CPPUNIT_ASSERT(book.noteEnded(7, lifeOf(1)));
        CPPUNIT_ASSERT(!book.noteEnded(7, lifeOf(1)));
        CPPUNIT_ASSERT(!book.join({suspectOf(7, {1})}));
        book.join({suspectOf(7, {1, 2})});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, book.countLives(7));
        CPPUNIT_ASSERT(!isKept(book, 7));
    }

    void newsMayComeInAnyOrder()
    {
        std::mt19937_64 random(11);
        for (int round = 0; round < 200; ++round) {
            std::vector<suspect> news;
            news.reserve(12);
            for (int i = 0; i < 12; ++i)
                news.push_back({random() % 3,
                                {lifeOf(random() % 6, start + static_cast<int>(random() % 9))},
                                random() % 4 == 0 ? start + 2 : 0});
            suspect_book one;
            for (const suspect &each : news)
                one.join({each});
            suspect_book other;
            std::shuffle(news.begin(), news.end(), random);
            other.join(news);
            other.join({news.front()});
            for (std::uint64_t digest = 0; digest < 3; ++digest) {
                CPPUNIT_ASSERT(one.find(digest) == other.find(digest));
                // In another order, more may have been kept meanwhile; never fewer.
                CPPUNIT_ASSERT(!isKept(other, digest) || isKept(one, digest));
            }
        }
    }

    void threeLivesKeepARequestFromRunners()
    {
        suspect_book book;
        book.join({suspectOf(7, {1, 2})});
        CPPUNIT_ASSERT(!isKept(book, 7));
        book.noteEnded(7, lifeOf(3));
        CPPUNIT_ASSERT(isKept(book, 7));
        CPPUNIT_ASSERT(!isKept(book, 8));
        CPPUNIT_ASSERT(book.hasEnded(3) && !book.hasEnded(4));
    }

    void aWholeAnswerSpeaksForARequest()
    {
        suspect_book book;
        CPPUNIT_ASSERT(!book.noteServed(7, start));
        book.join({suspectOf(7, {1, 2, 3})});
        CPPUNIT_ASSERT(book.noteServed(7, start + 1));
        CPPUNIT_ASSERT(!isKept(book, 7));
        book.join({suspectOf(7, {1, 2, 3})});
        CPPUNIT_ASSERT(!isKept(book, 7));
        book.noteEnded(7, lifeOf(4, start + 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.countLives(7));
    }

    /// Requests beside the guilty one were at each of its ends, and would have been refused with
    /// it.
    void anEndUnderTheGuiltyOneSpeaksAgainstNoOther()
    {
        suspect_book book;
        book.join({suspectOf(7, {1, 2, 3, 4}), suspectOf(8, {2, 3, 4}), suspectOf(9, {3, 5})});
        CPPUNIT_ASSERT(isKept(book, 7));
        CPPUNIT_ASSERT(!isKept(book, 8));
        book.noteEnded(9, lifeOf(6));
        CPPUNIT_ASSERT(!isKept(book, 9));
        book.noteEnded(9, lifeOf(7));
        CPPUNIT_ASSERT(isKept(book, 9));
    }

    /// Let go for the other's sake, the guilty one ended runners on and on.
    void whoWasAtTheSameEndsIsKeptAsWell()
    {
        suspect_book book;
        book.join({suspectOf(7, {1, 2, 3}), suspectOf(8, {1, 2, 3}), suspectOf(9, {1, 2})});
        CPPUNIT_ASSERT(isKept(book, 7) && isKept(book, 8) && !isKept(book, 9));
        CPPUNIT_ASSERT(book.noteServed(7, start + 1));
        CPPUNIT_ASSERT(!isKept(book, 7) && isKept(book, 8));
    }

    void theGuiltyOneIsKeptAfterThreeEndsWhateverRunsBeside()
    {
        std::mt19937_64 random(3);
        for (int round = 0; round < 300; ++round) {
            suspect_book book;
            const std::uint64_t guilty = 100 + random() % 20;
            std::uint64_t life = 0;
            for (; !isKept(book, guilty) && life < 50; ++life) {
                book.noteEnded(guilty, lifeOf(life));
                for (std::uint64_t beside = 100; beside < 126; ++beside) {
                    if (beside != guilty && random() % 10 < 9)
                        book.noteEnded(beside, lifeOf(life));
                }
            }
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{config::quarantineLives}, life);
        }
    }

    void othersEndsLetNobodyGo()
    {
        suspect_book book;
        book.join({suspectOf(7, {1, 2, 3}), suspectOf(8, {1, 2, 3})});
        book.noteEnded(8, lifeOf(4));
        CPPUNIT_ASSERT(isKept(book, 7) && isKept(book, 8));
    }

    void quarantineEndsAndGrows()
    {
        suspect_book book;
        book.join({suspectOf(7, {1, 2, 3})});
        const std::int64_t end = start + config::quarantineTimeFirst.count();
        CPPUNIT_ASSERT(isKept(book, 7, end - 1));
        CPPUNIT_ASSERT(!isKept(book, 7, end));
        book.noteEnded(7, lifeOf(4, end));
        const std::int64_t next =
                end + (config::quarantineGrowth * config::quarantineTimeFirst).count();
        CPPUNIT_ASSERT(isKept(book, 7, next - 1));
        CPPUNIT_ASSERT(!isKept(book, 7, next));
        for (std::uint64_t life = 5; life < 40; ++life)
            book.noteEnded(7, lifeOf(life, end));
        CPPUNIT_ASSERT(book.quarantineOf(7, end)->left == config::quarantineTimeMost);
    }

    /// More tries of a request that goes on ending runners would be too many.
    void inTheFirstDayItIsTriedThreeTimes()
    {
        suspect_book book;
        book.join({suspectOf(7, {1, 2, 3})});
        int tries = 0;
        for (std::int64_t now = start; now < start + milliseconds(24h).count(); now += 60'000) {
            if (!isKept(book, 7, now))
                book.noteEnded(
                        7, lifeOf(std::uint64_t{10} + static_cast<std::uint64_t>(tries++), now));
        }
        CPPUNIT_ASSERT_EQUAL(3, tries);
    }

    void aRestartUnderTheSameIdIsAnotherLife()
    {
        runner first;
        first.id.text = "i-1";
        first.bornMs = 5;
        runner second = first;
        second.bornMs = 6;
        CPPUNIT_ASSERT(lifeKeyOf(first) != lifeKeyOf(second));
    }

    void memoryIsBounded()
    {
        suspect_book book;
        book.join({suspectOf(1, {1, 2, 3})});
        for (std::uint64_t digest = 2; digest < 2 * config::maxSuspects; ++digest)
            book.noteEnded(digest, lifeOf(9, start + static_cast<std::int64_t>(digest)));
        CPPUNIT_ASSERT(isKept(book, 1));
        CPPUNIT_ASSERT(!book.find(2));
        CPPUNIT_ASSERT(book.find(2 * config::maxSuspects - 1).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.lasting().size());
    }

    void onlyQuarantineIsMarked()
    {
        suspect_book book;
        book.join({suspectOf(7, {1, 2})});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, book.markAt(start));
        book.noteEnded(7, lifeOf(3));
        CPPUNIT_ASSERT(book.markAt(start) != 0);
        CPPUNIT_ASSERT(book.markAt(start) >> config::suspectMarkBits == 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             book.markAt(start + config::quarantineTimeFirst.count()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspect_book_test);

} // namespace poplarspool::gateway
