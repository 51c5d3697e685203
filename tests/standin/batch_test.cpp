#include "standin/batch.h"
#include "standin/cache_event_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace poplarspool::standin {

namespace {

constexpr std::uint32_t pieceTokens = 4;

batch_options smallOptions(std::uint32_t pieces)
{
    batch_options options;
    options.kvPieces = pieces;
    options.pieceTokens = pieceTokens;
    options.maxRunning = 4;
    options.chunkTokens = 8;
    return options;
}

struct batch_fixture
{
    explicit batch_fixture(std::uint32_t pieces)
        : options(smallOptions(pieces)),
          cache(pieces, [this](bool isStored, std::uint64_t) { (isStored ? stored : evicted)++; }),
          work(options, cache)
    { }

    sequence_ptr add(const std::string &prompt, std::uint32_t outputTokens, std::uint32_t rank = 0)
    {
        prefix_hash_chain chain("m", pieceTokens);
        for (const char letter : prompt)
            chain.add({&letter, 1});
        auto one = std::make_shared<sequence>();
        one->rank = rank;
        one->arrival = ++arrivals;
        one->hashes = chain.hashes();
        one->contextTokens = static_cast<std::uint32_t>(prompt.size());
        one->outputTokens = outputTokens;
        work.add(one);
        return one;
    }

    std::vector<sequence_ptr> iterate() { return work.finish(work.plan({})); }

    /// Runs until all sequences have finished.
    /// @returns The number of iterations.
    std::uint32_t runToCompletion()
    {
        std::uint32_t iterations = 0;
        while (!work.isEmpty()) {
            iterate();
            CPPUNIT_ASSERT(cache.inUse() <= cache.total());
            CPPUNIT_ASSERT(++iterations < 1000);
        }
        return iterations;
    }

    int stored = 0;
    int evicted = 0;
    batch_options options;
    kv_cache cache;
    batch work;
    std::uint64_t arrivals = 0;
};

} // namespace

class batch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(batch_test);
    CPPUNIT_TEST(prefillIsChunkedBeforeDecoding);
    CPPUNIT_TEST(cachedPrefixesAreReused);
    CPPUNIT_TEST(leastRecentlyUsedPieceIsEvicted);
    CPPUNIT_TEST(higherPriorityPreemptsLower);
    CPPUNIT_TEST(preemptedSequenceFinishesWithAllTokens);
    CPPUNIT_TEST(roleScalesTheRates);
    CPPUNIT_TEST(eventsAreDelayedAndEveryNthIsDropped);
    CPPUNIT_TEST_SUITE_END();

    void prefillIsChunkedBeforeDecoding()
    {
        batch_fixture fixture(100);
        const auto one = fixture.add(std::string(20, 'a'), 3);
        CPPUNIT_ASSERT(fixture.iterate().empty());
        CPPUNIT_ASSERT(fixture.iterate().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.iterate().size());
        CPPUNIT_ASSERT_EQUAL(2U, fixture.runToCompletion());
        CPPUNIT_ASSERT_EQUAL(3U, one->produced);
        CPPUNIT_ASSERT_EQUAL(0U, fixture.cache.inUse());
    }

    void cachedPrefixesAreReused()
    {
        batch_fixture fixture(100);
        fixture.add("aaaabbbbccccdddd", 1);
        CPPUNIT_ASSERT_EQUAL(2U, fixture.runToCompletion());
        CPPUNIT_ASSERT_EQUAL(4, fixture.stored);
        const auto again = fixture.add("aaaabbbbccccdddd", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.iterate().size());
        const auto other = fixture.add("bbbbaaaaccccdddd", 1);
        fixture.work.plan({});
        CPPUNIT_ASSERT_EQUAL(0U, other->sharedPieces);
        CPPUNIT_ASSERT_EQUAL(4, fixture.stored);
    }

    void leastRecentlyUsedPieceIsEvicted()
    {
        batch_fixture fixture(4);
        fixture.add("aaaabbbb", 1);
        fixture.runToCompletion();
        fixture.add("ccccdddd", 1);
        fixture.runToCompletion();
        CPPUNIT_ASSERT_EQUAL(0, fixture.evicted);
        fixture.add("eeee", 1);
        fixture.runToCompletion();
        CPPUNIT_ASSERT_EQUAL(1, fixture.evicted);
        const auto kept = fixture.add("ccccddddx", 1);
        fixture.work.plan({});
        CPPUNIT_ASSERT_EQUAL(2U, kept->sharedPieces);
    }

    void higherPriorityPreemptsLower()
    {
        batch_fixture fixture(4);
        const auto low = fixture.add(std::string(12, 'a'), 4, 5);
        fixture.iterate();
        CPPUNIT_ASSERT(low->isRunning);
        const auto high = fixture.add(std::string(12, 'b'), 4, 1);
        fixture.iterate();
        CPPUNIT_ASSERT(high->isRunning && !low->isRunning);
        fixture.runToCompletion();
        CPPUNIT_ASSERT_EQUAL(4U, low->produced);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.work.preemptedCount());
    }

    // Four streams need more pieces than exist, so the last one is preempted and recomputed later.
    // It must neither lose nor repeat a token, and no piece may leak.
    void preemptedSequenceFinishesWithAllTokens()
    {
        batch_fixture fixture(10);
        std::vector<sequence_ptr> all;
        for (const char letter : {'a', 'b', 'c', 'd'})
            all.push_back(fixture.add(std::string(6, letter), 16));
        std::uint32_t tokens = 0;
        while (!fixture.work.isEmpty())
            tokens += static_cast<std::uint32_t>(fixture.iterate().size());
        CPPUNIT_ASSERT_EQUAL(64U, tokens);
        CPPUNIT_ASSERT(fixture.work.preemptedCount() > 0);
        CPPUNIT_ASSERT_EQUAL(0U, fixture.cache.inUse());
    }

    void roleScalesTheRates()
    {
        batch_fixture fixture(4000);
        fixture.options.chunkTokens = 4000;
        batch work(fixture.options, fixture.cache);
        auto one = std::make_shared<sequence>();
        one->contextTokens = 4000;
        one->outputTokens = 1;
        work.add(one);
        const auto mixed = work.plan({1.0, 1.0}).duration;
        const auto own = work.plan({2.0, 0.5}).duration;
        CPPUNIT_ASSERT(mixed == std::chrono::milliseconds(500));
        CPPUNIT_ASSERT(own == std::chrono::milliseconds(250));
    }

    void eventsAreDelayedAndEveryNthIsDropped()
    {
        const auto start = std::chrono::steady_clock::time_point{};
        const std::chrono::milliseconds delay(10);
        cache_event_log log(delay, 3);
        for (std::uint64_t hash = 1; hash <= 5; ++hash)
            log.add(true, hash, start);
        CPPUNIT_ASSERT(log.read(0, start).events.empty());
        const auto page = log.read(0, start + delay);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), page.events.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), page.events.at(2).sequence);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), page.next);
        CPPUNIT_ASSERT(!page.hasGap);
        log.restart();
        CPPUNIT_ASSERT(log.read(5, start + delay).hasGap);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(batch_test);

} // namespace poplarspool::standin
