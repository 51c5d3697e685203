#include "node/freshness.h"
#include "poplarspool/node/limits.h"

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
    facts.now = facts.confirmedAt + config::maxFreshAge + milliseconds(1);
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
    CPPUNIT_TEST(confirmedViewIsFresh);
    CPPUNIT_TEST(publishedViewExpiresWhileInstanceIsFrozen);
    CPPUNIT_TEST(partitionedInstanceIsNotFresh);
    CPPUNIT_TEST(majorityIsFreshWhileStoreIsDown);
    CPPUNIT_TEST(viewOlderThanThatOfPeerIsNotFresh);
    CPPUNIT_TEST(emptyViewIsNeverFresh);
    CPPUNIT_TEST(silentListedInstanceBlocksChange);
    CPPUNIT_TEST(departedInstanceBlocksChangeWhileItMayServe);
    CPPUNIT_TEST_SUITE_END();

public:
    void confirmedViewIsFresh()
    {
        freshness_facts facts = factsOfThree();
        facts.now = facts.confirmedAt + config::maxFreshAge - milliseconds(1);
        CPPUNIT_ASSERT(isFresh(facts));
    }

    // Guards against requests being routed by an outdated view: an instance is frozen with requests
    // waiting in its sockets, a runner is drained meanwhile, and the instance resumes. The
    // published view itself expires, so whichever thread runs first sends no request to the drained
    // runner before the view is confirmed again.
    void publishedViewExpiresWhileInstanceIsFrozen()
    {
        freshness_facts facts = factsOfThree();
        facts.now = facts.confirmedAt;
        policy::view published;
        published.freshUntil = freshUntil(facts);
        CPPUNIT_ASSERT(policy::isFresh(published, facts.now));
        CPPUNIT_ASSERT(!policy::isFresh(published, facts.now + config::maxFreshAge));
        facts.now = facts.confirmedAt + 2 * config::maxFreshAge;
        facts.members.push_back(memberOf("b", 7));
        published.freshUntil = freshUntil(facts);
        CPPUNIT_ASSERT(policy::isFresh(published, facts.now));
        CPPUNIT_ASSERT(!policy::isFresh(published, facts.now + config::majorityCheckValidity));
    }

    // An instance that reaches neither the store nor its peers refuses requests as not run. It may
    // have been partitioned before a drain was accepted, and would otherwise send new work to the
    // draining target for as long as the partition lasts.
    void partitionedInstanceIsNotFresh()
    {
        freshness_facts facts = factsOfThree();
        CPPUNIT_ASSERT(!isFresh(facts));
        facts.members.push_back(memberOf("b", 7, policy::member_state::Suspect));
        CPPUNIT_ASSERT(!isFresh(facts));
    }

    // When the store is down for all instances, callers are still served: two of three instances
    // reach each other and neither has a newer view, so nothing newer can have been accepted.
    void majorityIsFreshWhileStoreIsDown()
    {
        freshness_facts facts = factsOfThree();
        facts.members.push_back(memberOf("b", 7));
        CPPUNIT_ASSERT(isFresh(facts));
    }

    // A majority is reached, but a peer has a newer view that this instance has not fetched yet.
    // Requests are refused here, because they might be routed to a runner that is already reserved.
    void viewOlderThanThatOfPeerIsNotFresh()
    {
        freshness_facts facts = factsOfThree();
        facts.members.push_back(memberOf("b", 8));
        CPPUNIT_ASSERT(!isFresh(facts));
    }

    void emptyViewIsNeverFresh()
    {
        freshness_facts facts = factsOfThree();
        facts.appliedVersion = 0;
        facts.now = facts.confirmedAt;
        CPPUNIT_ASSERT(!isFresh(facts));
    }

    // An operator's drain is applied by two of three listed instances; the third is frozen and no
    // longer in gossip. When it resumes, it could still send requests to the runner, so the order
    // to the runner must wait until the list drops that instance or it acknowledges.
    void silentListedInstanceBlocksChange()
    {
        acknowledgements known;
        known.version = 9;
        known.sinceFirstQuery = std::chrono::hours(1);
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

    // Guards against a stream being cut: an instance is neither in the platform's list nor alive in
    // gossip, but is only partitioned from the store and its peers and still routes to the runner
    // that is about to be ordered. It stops once its view is no longer fresh; only then is its
    // acknowledgement not needed.
    void departedInstanceBlocksChangeWhileItMayServe()
    {
        acknowledgements known;
        known.version = 9;
        known.sinceFirstQuery = config::maxFreshAge;
        known.members = {memberOf("a", 9)};
        known.departed = {{{"b"}, 8}};
        CPPUNIT_ASSERT(!isAppliedEverywhere(known));
        known.sinceFirstQuery = config::maxFreshAge + config::freshMargin + milliseconds(1);
        CPPUNIT_ASSERT(isAppliedEverywhere(known));
        known.sinceFirstQuery = milliseconds(0);
        known.departed = {{{"b"}, 9}};
        CPPUNIT_ASSERT(isAppliedEverywhere(known));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(freshness_test);
