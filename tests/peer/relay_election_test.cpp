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
    one.repeatableSince = revision;
    return {{one}};
}

relay_election electionOf(const std::string &name, milliseconds trustTime = maxAge,
                          milliseconds fallbackDelay = 0ms)
{
    return {{name}, {{runners, {trustTime, fallbackDelay}}}};
}

/// Simulated instances. An update is delivered to all at once; each iteration takes 5 ms.
struct fleet
{
    explicit fleet(std::size_t count, std::size_t wantedRelays) : wantedRelays(wantedRelays)
    {
        for (std::size_t i = 0; i < count; ++i) {
            elections.push_back(electionOf("edge-" + std::to_string(i)));
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
        isRelay[i] =
                elections[i].decide(relay_ability::Proven, wantedRelays, now) == relay_role::Relay;
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
    CPPUNIT_TEST(instanceBecomesRelayOnlyOnceTheStoreHasAnsweredIt);
    CPPUNIT_TEST(relayWithOldConfirmationsIsReplaced);
    CPPUNIT_TEST(relayThatTheStoreNoLongerAnswersStops);
    CPPUNIT_TEST(partialUpdateKeepsTheCoverOfOtherKinds);
    CPPUNIT_TEST(instancesAskOnlyAfterATakeoverWasPossible);
    CPPUNIT_TEST(outdatedInstanceWaitsForRepetitionsUntilItsOwnConfirmationExpires);
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
        relay_election election = electionOf("edge-1");
        election.receive(relayNumber, updateOf(5, 0), at(0ms));
        const auto until = election.coveredUntil({runners, {0, 5}, at(0ms)}, at(100ms));
        CPPUNIT_ASSERT(until == at(config::relaySilenceLimit));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 5}, at(0ms)}, at(701ms)));
    }

    void relayWithoutStoreIsNotReliedOn()
    {
        relay_election election = electionOf("edge-1");
        election.receive(relayNumber, updateOf(5, 0), at(0ms));
        election.receive(relayNumber, updateOf(5, 10, false), at(10ms));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 5}, at(0ms)}, at(20ms)));
    }

    /// The store accepts a relay's watch but never answers it. The relay keeps sending updates,
    /// since it believes that nothing has changed; the growing age of its confirmation must end the
    /// reliance.
    void relayWithUnansweredWatchIsNotReliedOnForLong()
    {
        relay_election election = electionOf("edge-1");
        for (milliseconds time = 0ms; time <= 1500ms; time += 250ms)
            election.receive(relayNumber, updateOf(5, static_cast<std::uint32_t>(time.count())),
                             at(time));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 5}, at(0ms)}, at(1399ms)));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 5}, at(0ms)}, at(1400ms)));
    }

    /// An update about a runner that left was lost and is no longer repeated: the instance knows
    /// an older version than the relay and must query the store.
    void outdatedInstanceIsNotCovered()
    {
        relay_election election = electionOf("edge-1");
        election.receive(relayNumber, updateOf(9, 0), at(0ms));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 5}, at(0ms)}, at(10ms)));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 9}, at(0ms)}, at(10ms)));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 12}, at(0ms)}, at(10ms)));
    }

    /// A relay reports a revision below the known one, but confirmed later. Since it would never
    /// catch up, the instance must query the store.
    void restartedRevisionsAreNotCovered()
    {
        relay_election election = electionOf("edge-1");
        election.receive(relayNumber, updateOf(5, 0), at(5s));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 900}, at(0ms)}, at(5s)));
    }

    void secondRelayCoversForFirst()
    {
        relay_election election = electionOf("edge-1");
        election.receive(relayNumber, updateOf(5, 10, false), at(0ms));
        election.receive(relayNumber + 1, updateOf(5, 0), at(0ms));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 5}, at(0ms)}, at(10ms)));
    }

    /// A relay sends many changes in several datagrams, and the last of them is lost each time. The
    /// instance must not rely for long on what it knew before: runners may have left since.
    void announcedChangesThatDoNotArriveEndTheCover()
    {
        relay_election election = electionOf("edge-1", 4400ms);
        election.receive(relayNumber, updateOf(5, 0), at(0ms));
        store_update partial = updateOf(9, 0);
        partial.kinds.front().isPartial = true;
        for (milliseconds time = 100ms; time <= 2000ms; time += 100ms) {
            election.receive(relayNumber, partial, at(time));
            const auto until = election.coveredUntil({runners, {0, 5}, at(0ms)}, at(time));
            CPPUNIT_ASSERT_EQUAL(time < 100ms + config::relaySilenceLimit, until.has_value());
        }
        // An instance that has got them relies on the relay until the last confirmation expires.
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 9}, at(0ms)}, at(2000ms)));
        election.receive(relayNumber, updateOf(9, 0), at(2100ms));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 9}, at(0ms)}, at(2200ms)));
    }

    /// Guards against a relay that has lost the store without noticing, since it has relied on
    /// others.
    void instanceBecomesRelayOnlyOnceTheStoreHasAnsweredIt()
    {
        relay_election election = electionOf("edge-1");
        const auto roleAt = [&](relay_ability ability, milliseconds time) {
            return election.decide(ability, 1, at(time));
        };
        CPPUNIT_ASSERT(roleAt(relay_ability::Unproven, 0ms) == relay_role::None);
        CPPUNIT_ASSERT(election.takeoverAt() <= at(config::maxTakeoverDelay));
        CPPUNIT_ASSERT(roleAt(relay_ability::Unproven, 500ms) == relay_role::Candidate);
        CPPUNIT_ASSERT(!election.takeoverAt());
        CPPUNIT_ASSERT(roleAt(relay_ability::None, 600ms) == relay_role::None);
        CPPUNIT_ASSERT(roleAt(relay_ability::Unproven, 700ms) == relay_role::None);
        CPPUNIT_ASSERT(roleAt(relay_ability::Unproven, 1200ms) == relay_role::Candidate);
        CPPUNIT_ASSERT(roleAt(relay_ability::Proven, 1210ms) == relay_role::Relay);
    }

    /// Guards against a zone without a relay that reaches the store: the one that has lost it sends
    /// on.
    void relayWithOldConfirmationsIsReplaced()
    {
        relay_election election = electionOf("edge-1");
        for (milliseconds time = 0ms; time <= 2200ms; time += 100ms) {
            election.receive(relayNumber, updateOf(5, static_cast<std::uint32_t>(time.count())),
                             at(time));
            const bool isRelay =
                    election.decide(relay_ability::Proven, 1, at(time)) == relay_role::Relay;
            CPPUNIT_ASSERT(!isRelay || time > maxAge);
            CPPUNIT_ASSERT(isRelay || time <= maxAge + 100ms + config::maxTakeoverDelay);
        }
    }

    void relayThatTheStoreNoLongerAnswersStops()
    {
        for (const relay_ability ability : {relay_ability::None, relay_ability::Unproven}) {
            relay_election election = electionOf("edge-1");
            election.decide(relay_ability::Proven, 1, at(0ms));
            CPPUNIT_ASSERT(election.decide(relay_ability::Proven, 1, at(500ms))
                           == relay_role::Relay);
            CPPUNIT_ASSERT(election.decide(ability, 1, at(510ms)) == relay_role::None);
        }
    }

    /// Guards against a call of each instance for its routes whenever many runners change.
    void partialUpdateKeepsTheCoverOfOtherKinds()
    {
        constexpr std::uint32_t routes = 2;
        relay_election election{{"edge-1"}, {{runners, {maxAge, 0ms}}, {routes, {maxAge, 0ms}}}};
        store_update whole = updateOf(5, 0);
        whole.kinds.push_back(whole.kinds.front());
        whole.kinds.back().kind = routes;
        election.receive(relayNumber, whole, at(0ms));
        store_update partial = updateOf(9, 0);
        partial.kinds.front().isPartial = true;
        election.receive(relayNumber, partial, at(100ms));
        CPPUNIT_ASSERT(election.coveredUntil({routes, {0, 5}, at(0ms)}, at(110ms)));
        // A relay that tells nothing more of the kind doesn't cover it for long.
        election.receive(relayNumber, updateOf(9, 0), at(600ms));
        election.receive(relayNumber, updateOf(9, 0), at(800ms));
        CPPUNIT_ASSERT(!election.coveredUntil({routes, {0, 5}, at(0ms)}, at(810ms)));
    }

    void instancesAskOnlyAfterATakeoverWasPossible()
    {
        constexpr milliseconds delay = 500ms;
        relay_election election = electionOf("edge-1", maxAge, delay);
        election.receive(relayNumber, updateOf(5, 1300), at(0ms));
        const known_kind known{runners, {0, 5}, at(0ms)};
        CPPUNIT_ASSERT(election.coveredUntil(known, at(0ms)) == at(100ms) + delay);
        CPPUNIT_ASSERT(!election.coveredUntil(known, at(600ms)));
        CPPUNIT_ASSERT(election.whyUncovered(known, at(600ms)) == uncovered_reason::Expired);
        election.receive(relayNumber, updateOf(5, 0), at(1000ms));
        CPPUNIT_ASSERT(election.coveredUntil(known, at(1000ms))
                       == at(1000ms) + config::relaySilenceLimit + delay);
        CPPUNIT_ASSERT(election.whyUncovered(known, at(2300ms)) == uncovered_reason::NoRelay);
    }

    /// Guards against a fleet in which every instance reads from the store what a relay can repeat.
    void outdatedInstanceWaitsForRepetitionsUntilItsOwnConfirmationExpires()
    {
        relay_election election = electionOf("edge-1");
        store_update newer = updateOf(9, 0);
        newer.kinds.front().repeatableSince = 5;
        for (milliseconds time = 0ms; time <= 2000ms; time += 100ms) {
            election.receive(relayNumber, newer, at(time));
            const bool isCovered =
                    election.coveredUntil({runners, {0, 5}, at(-200ms)}, at(time)).has_value();
            CPPUNIT_ASSERT_EQUAL(time < maxAge - 200ms, isCovered);
            CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 4}, at(-200ms)}, at(time)));
        }
    }

    /// After a store rollback, one relay has the new epoch and another does not. Revisions of two
    /// epochs can't be compared: the relay with the older epoch must not be relied on, and the one
    /// with the newer epoch is ahead although its revision is lower.
    void epochsCompareBeforeRevisions()
    {
        relay_election election = electionOf("self");
        election.receive(relayNumber, updateOf(9, 0), at(0ms));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {1, 5}, at(0ms)}, at(10ms)));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {0, 9}, at(0ms)}, at(10ms)));
        store_update newer = updateOf(5, 0);
        newer.kinds.front().version.epoch = 1;
        election.receive(relayNumber + 1, newer, at(0ms));
        CPPUNIT_ASSERT(!election.coveredUntil({runners, {0, 9}, at(0ms)}, at(10ms)));
        CPPUNIT_ASSERT(election.coveredUntil({runners, {1, 5}, at(0ms)}, at(10ms)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_election_test);

} // namespace poplarspool::peer
