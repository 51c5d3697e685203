#include "poplarspool/peer/limits.h"
#include "poplarspool/peer/relay_election.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace poplarspool::peer {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t runners = 1;
constexpr milliseconds maxAge = 1400ms;
constexpr std::uint64_t relayNumber = 7;

mono_time at(milliseconds time)
{
    return mono_time(1h) + time;
}

store_update updateOf(std::uint64_t revision, std::uint32_t ageMs, bool isAnswered = true)
{
    kind_update one;
    one.kind = runners;
    one.isAnswered = isAnswered;
    one.since = revision;
    one.version = {0, revision};
    one.ageMs = ageMs;
    return {{one}};
}

/// Simulated instances. An update is delivered to all at once; each iteration takes 5 ms.
struct fleet
{
    explicit fleet(std::size_t count, std::size_t wantedRelays) : wantedRelays(wantedRelays)
    {
        for (std::size_t i = 0; i < count; ++i) {
            elections.emplace_back(instance_id{"edge-" + std::to_string(i)});
            isAlive.push_back(true);
            isRelay.push_back(false);
            sentAt.emplace_back();
        }
    }

    void run(milliseconds time)
    {
        for (const mono_time end = now + time; now < end; now += 5ms) {
            for (std::size_t i = 0; i < elections.size(); ++i)
                step(i);
        }
    }

    void step(std::size_t i)
    {
        if (!isAlive[i])
            return;
        const bool wasRelay = isRelay[i];
        isRelay[i] = elections[i].decide(true, wantedRelays, now);
        relayStarts += isRelay[i] && !wasRelay ? 1 : 0;
        if (!isRelay[i] || (wasRelay && now - sentAt[i] < config::storeUpdateInterval))
            return;
        sentAt[i] = now;
        for (std::size_t k = 0; k < elections.size(); ++k) {
            if (k != i)
                elections[k].receive(i + 1, updateOf(5, 0), now);
        }
    }

    std::size_t relayCount() const
    {
        return static_cast<std::size_t>(std::ranges::count(isRelay, true));
    }

    std::size_t wantedRelays;
    mono_time now = at(0ms);
    std::vector<relay_election> elections;
    std::vector<bool> isAlive;
    std::vector<bool> isRelay;
    std::vector<mono_time> sentAt;
    std::size_t relayStarts = 0;
};

} // namespace

class relay_election_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_election_test);
    CPPUNIT_TEST(fewInstancesBecomeRelays);
    CPPUNIT_TEST(anotherRelayTakesOverAfterDeath);
    CPPUNIT_TEST(silentRelayIsNotReliedOn);
    CPPUNIT_TEST(relayWithoutStoreIsNotReliedOn);
    CPPUNIT_TEST(relayWithUnansweredWatchIsNotReliedOnForLong);
    CPPUNIT_TEST(outdatedInstanceIsNotCovered);
    CPPUNIT_TEST(restartedRevisionsAreNotCovered);
    CPPUNIT_TEST(secondRelayCoversForFirst);
    CPPUNIT_TEST(epochsCompareBeforeRevisions);
    CPPUNIT_TEST(announcedChangesThatDoNotArriveEndTheCover);
    CPPUNIT_TEST_SUITE_END();

public:
    /// 50 instances start at once. Only a few may become relays: if all did, each change would cost
    /// 50 calls to the store and 2,450 datagrams. If none did, every instance would have to call
    /// the store.
    void fewInstancesBecomeRelays()
    {
        fleet instances(50, 2);
        instances.run(3s);
        CPPUNIT_ASSERT(instances.relayCount() >= 2 && instances.relayCount() <= 4);
        CPPUNIT_ASSERT(instances.relayStarts <= 10);
    }

    /// When the relay dies, the others notice its silence. A few may take over, but not all of
    /// them.
    void anotherRelayTakesOverAfterDeath()
    {
        fleet instances(20, 1);
        instances.run(3s);
        const std::size_t before = instances.relayStarts;
        for (std::size_t i = 0; i < instances.elections.size(); ++i) {
            instances.isAlive[i] = !instances.isRelay[i];
            instances.isRelay[i] = false;
        }
        instances.run(config::relaySilenceLimit + config::maxTakeoverDelay + 100ms);
        CPPUNIT_ASSERT(instances.relayCount() >= 1);
        CPPUNIT_ASSERT(instances.relayStarts - before <= 4);
    }

    /// Guards against waiting for updates of a relay that froze: callers would be sent to a runner
    /// that has left.
    void silentRelayIsNotReliedOn()
    {
        relay_election election{instance_id{"edge-1"}};
        election.receive(relayNumber, updateOf(5, 0), at(0ms));
        const auto until = election.coveredUntil({runners, {0, 5}, at(0ms)}, maxAge, at(100ms));
        CPPUNIT_ASSERT(until == at(config::relaySilenceLimit));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 5}, at(0ms)}, maxAge, at(701ms)));
    }

    void relayWithoutStoreIsNotReliedOn()
    {
        relay_election election{instance_id{"edge-1"}};
        election.receive(relayNumber, updateOf(5, 0), at(0ms));
        election.receive(relayNumber, updateOf(5, 10, false), at(10ms));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 5}, at(0ms)}, maxAge, at(20ms)));
    }

    /// The store accepts a relay's watch but never answers it. The relay keeps sending updates,
    /// since it believes that nothing has changed; the growing age of its confirmation must end the
    /// reliance.
    void relayWithUnansweredWatchIsNotReliedOnForLong()
    {
        relay_election election{instance_id{"edge-1"}};
        for (milliseconds time = 0ms; time <= 1500ms; time += 250ms)
            election.receive(relayNumber, updateOf(5, static_cast<std::uint32_t>(time.count())),
                             at(time));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 5}, at(0ms)}, maxAge, at(1399ms)));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 5}, at(0ms)}, maxAge, at(1400ms)));
    }

    /// An update about a runner that left was lost and is no longer repeated: the instance knows
    /// an older version than the relay and must query the store.
    void outdatedInstanceIsNotCovered()
    {
        relay_election election{instance_id{"edge-1"}};
        election.receive(relayNumber, updateOf(9, 0), at(0ms));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 5}, at(0ms)}, maxAge, at(10ms)));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 9}, at(0ms)}, maxAge, at(10ms)));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 12}, at(0ms)}, maxAge, at(10ms)));
    }

    /// A relay reports a revision below the known one, but confirmed later. Since it would never
    /// catch up, the instance must query the store.
    void restartedRevisionsAreNotCovered()
    {
        relay_election election{instance_id{"edge-1"}};
        election.receive(relayNumber, updateOf(5, 0), at(5s));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 900}, at(0ms)}, maxAge, at(5s)));
    }

    void secondRelayCoversForFirst()
    {
        relay_election election{instance_id{"edge-1"}};
        election.receive(relayNumber, updateOf(5, 10, false), at(0ms));
        election.receive(relayNumber + 1, updateOf(5, 0), at(0ms));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 5}, at(0ms)}, maxAge, at(10ms)));
    }

    /// A relay sends many changes in several datagrams, and the last of them is lost each time. The
    /// instance must not rely for long on what it knew before: runners may have left since.
    void announcedChangesThatDoNotArriveEndTheCover()
    {
        constexpr milliseconds longAge = 4400ms;
        relay_election election{instance_id{"edge-1"}};
        election.receive(relayNumber, updateOf(5, 0), at(0ms));
        store_update partial = updateOf(9, 0);
        partial.kinds.front().isPartial = true;
        for (milliseconds time = 100ms; time <= 2000ms; time += 100ms) {
            election.receive(relayNumber, partial, at(time));
            const auto until = election.coveredUntil({runners, {0, 5}, at(0ms)}, longAge, at(time));
            CPPUNIT_ASSERT_EQUAL(time < 100ms + config::relaySilenceLimit, until.has_value());
        }
        // An instance that has got them relies on the relay until the last confirmation expires.
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 9}, at(0ms)}, longAge, at(2000ms)));
        election.receive(relayNumber, updateOf(9, 0), at(2100ms));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 9}, at(0ms)}, longAge, at(2200ms)));
    }

    /// After a store rollback, one relay has the new epoch and another does not. Revisions of two
    /// epochs can't be compared: the relay with the older epoch must not be relied on, and the one
    /// with the newer epoch is ahead although its revision is lower.
    void epochsCompareBeforeRevisions()
    {
        relay_election election({"self"});
        election.receive(relayNumber, updateOf(9, 0), at(0ms));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {1, 5}, at(0ms)}, maxAge, at(10ms)));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 9}, at(0ms)}, maxAge, at(10ms)));
        store_update newer = updateOf(5, 0);
        newer.kinds.front().version.epoch = 1;
        election.receive(relayNumber + 1, newer, at(0ms));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 9}, at(0ms)}, maxAge, at(10ms)));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {1, 5}, at(0ms)}, maxAge, at(10ms)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_election_test);

} // namespace poplarspool::peer
