#include "node/freshness.h"
#include "poplarspool/config.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace poplarspool;
using namespace poplarspool::node;

namespace {

policy::member memberOf(const std::string &id, std::uint64_t applied,
                        policy::member_state state = policy::member_state::Alive)
{
    policy::member other;
    other.id = {id};
    other.appliedVersion = applied;
    other.state = state;
    return other;
}

platform::listed_instance listedOf(const std::string &id)
{
    platform::listed_instance entry;
    entry.id = {id};
    return entry;
}

freshness_facts factsOfThree()
{
    freshness_facts facts;
    facts.self = {"a"};
    facts.appliedVersion = 7;
    facts.confirmedAt = mono_time(std::chrono::seconds(100));
    facts.now = facts.confirmedAt + config::freshTime + milliseconds(1);
    facts.listed = {listedOf("a"), listedOf("b"), listedOf("c")};
    facts.members = {memberOf("a", 7)};
    return facts;
}

/// @returns Whether new work may be accepted at the time of the facts.
bool isFresh(const freshness_facts &facts)
{
    return facts.now < freshUntil(facts);
}

} // namespace

class freshness_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(freshness_test);
    CPPUNIT_TEST(testConfirmedViewIsFresh);
    CPPUNIT_TEST(testFrozenInstanceWakesToAnOldView);
    CPPUNIT_TEST(testCutOffInstanceIsNotFresh);
    CPPUNIT_TEST(testStoreDownForAllServesOn);
    CPPUNIT_TEST(testMajorityWithNewerViewIsNotFresh);
    CPPUNIT_TEST(testNothingKnownIsNeverFresh);
    CPPUNIT_TEST(testSilentInstanceHoldsChangeBack);
    CPPUNIT_TEST(testLostInstanceHoldsChangeBackWhileItMayServe);
    CPPUNIT_TEST_SUITE_END();

public:
    void testConfirmedViewIsFresh()
    {
        freshness_facts facts = factsOfThree();
        facts.now = facts.confirmedAt + config::freshTime - milliseconds(1);
        CPPUNIT_ASSERT(isFresh(facts));
    }

    // An instance is frozen with callers waiting in its sockets, a runner is drained meanwhile, and
    // it wakes. Whatever thread runs first, the view that it has says itself that it is too old, so
    // no waiting caller is sent to the drained runner before the instance has looked anew.
    void testFrozenInstanceWakesToAnOldView()
    {
        freshness_facts facts = factsOfThree();
        facts.now = facts.confirmedAt;
        policy::view published;
        published.freshUntil = freshUntil(facts);
        CPPUNIT_ASSERT(policy::isFresh(published, facts.now));
        CPPUNIT_ASSERT(!policy::isFresh(published, facts.now + config::freshTime));
        facts.now = facts.confirmedAt + 2 * config::freshTime;
        facts.members.push_back(memberOf("b", 7));
        published.freshUntil = freshUntil(facts);
        CPPUNIT_ASSERT(policy::isFresh(published, facts.now));
        CPPUNIT_ASSERT(!policy::isFresh(published, facts.now + config::reachTime));
    }

    // The caller gets a true "not run" from an instance that can reach neither the store nor its
    // peers. It was cut off before a drain was accepted; served on, it would send new work to the
    // draining target for as long as the cut lasts.
    void testCutOffInstanceIsNotFresh()
    {
        freshness_facts facts = factsOfThree();
        CPPUNIT_ASSERT(!isFresh(facts));
        facts.members.push_back(memberOf("b", 7, policy::member_state::Suspect));
        CPPUNIT_ASSERT(!isFresh(facts));
    }

    // The store goes down for all. Callers notice nothing: two of three instances reach each other,
    // neither has anything newer, so nothing can have been accepted behind their backs.
    void testStoreDownForAllServesOn()
    {
        freshness_facts facts = factsOfThree();
        facts.members.push_back(memberOf("b", 7));
        CPPUNIT_ASSERT(isFresh(facts));
    }

    // A majority is reached, but a peer has a newer view that this instance couldn't fetch yet. The
    // caller is sent elsewhere: here it might be routed to a runner that is already reserved.
    void testMajorityWithNewerViewIsNotFresh()
    {
        freshness_facts facts = factsOfThree();
        facts.members.push_back(memberOf("b", 8));
        CPPUNIT_ASSERT(!isFresh(facts));
    }

    void testNothingKnownIsNeverFresh()
    {
        freshness_facts facts = factsOfThree();
        facts.appliedVersion = 0;
        facts.now = facts.confirmedAt;
        CPPUNIT_ASSERT(!isFresh(facts));
    }

    // An operator's drain is applied by two of three listed instances; the third is frozen and
    // dropped by gossip. Its callers could still be sent to the runner when it wakes, so the order
    // to the runner has to wait until the list drops that instance or it answers.
    void testSilentInstanceHoldsChangeBack()
    {
        acknowledgements known;
        known.version = 9;
        known.sinceAsked = std::chrono::hours(1);
        known.members = {memberOf("a", 9), memberOf("b", 9)};
        known.listed = {listedOf("a"), listedOf("b"), listedOf("c")};
        CPPUNIT_ASSERT(!isAppliedEverywhere(known));
        known.members.push_back(memberOf("c", 8));
        CPPUNIT_ASSERT(!isAppliedEverywhere(known));
        known.members[2].appliedVersion = 9;
        CPPUNIT_ASSERT(isAppliedEverywhere(known));
        known.members.pop_back();
        known.listed.pop_back();
        CPPUNIT_ASSERT(isAppliedEverywhere(known));
    }

    // A stream would be cut: the platform has dropped an instance from its list and gossip has
    // taken it for dead, but it is only cut off from store and peers, and still routes to the
    // runner that is about to be ordered. It stops by itself once its view is no longer fresh; only
    // then is its acknowledgement no longer needed.
    void testLostInstanceHoldsChangeBackWhileItMayServe()
    {
        acknowledgements known;
        known.version = 9;
        known.sinceAsked = config::freshTime;
        known.members = {memberOf("a", 9)};
        known.departed = {{{"b"}, 8}};
        CPPUNIT_ASSERT(!isAppliedEverywhere(known));
        known.sinceAsked = config::freshTime + config::freshMargin + milliseconds(1);
        CPPUNIT_ASSERT(isAppliedEverywhere(known));
        known.sinceAsked = milliseconds(0);
        known.departed = {{{"b"}, 9}};
        CPPUNIT_ASSERT(isAppliedEverywhere(known));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(freshness_test);
