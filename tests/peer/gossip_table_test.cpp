#include "peer/gossip_table.h"
#include "poplarspool/peer/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace poplarspool;
using namespace poplarspool::peer;
using policy::member_state;

namespace {

constexpr table_times times{milliseconds(4000), milliseconds(60000)};
const mono_time start = mono_time{} + std::chrono::hours(1);

member_record recordOf(const std::string &name, incarnation_number memberIncarnation)
{
    member_record record;
    record.id = instance_id{name};
    record.peerAddress = {"10.0.0.1", 7000};
    record.incarnation = memberIncarnation;
    return record;
}

/// Uses small ranges, so that two records often have equal fields.
member_record randomRecord(std::mt19937_64 &random)
{
    member_record record = recordOf("a", 1 + random() % 3);
    record.peerAddress.port = static_cast<std::uint16_t>(7000 + random() % 2);
    record.refutation = static_cast<std::uint32_t>(random() % 3);
    record.suspicion = static_cast<std::uint32_t>(random() % 4);
    record.isLeaving = random() % 4 == 0;
    record.isDead = random() % 4 == 0;
    if (record.isDead)
        record.diedAt = start + milliseconds(random() % 5);
    record.heartbeat.sequence = random() % 3;
    record.heartbeat.appliedVersion = random() % 3;
    record.heartbeat.openStreams = static_cast<std::uint32_t>(random() % 2);
    record.heartbeat.confirmedAt = start + milliseconds(random() % 3);
    return record;
}

member_state stateIn(const gossip_table &table, const std::string &name)
{
    for (const policy::member &member : table.members()) {
        if (member.id.text == name)
            return member.state;
    }
    return member_state::Dead;
}

} // namespace

class gossip_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gossip_table_test);
    CPPUNIT_TEST(mergeIsALattice);
    CPPUNIT_TEST(updateOrderDoesNotMatter);
    CPPUNIT_TEST(suspectRefutesWithinItsIncarnation);
    CPPUNIT_TEST(deadIncarnationStaysDead);
    CPPUNIT_TEST(instanceDeclaredDeadStartsNewIncarnation);
    CPPUNIT_TEST(leavingIsNeverReset);
    CPPUNIT_TEST(replacedInstanceReportsItselfAsLeaving);
    CPPUNIT_TEST(heartbeatContentIsImmutable);
    CPPUNIT_TEST(expiredDeadMembersAreNotReadded);
    CPPUNIT_TEST(fullTableEvictsDeadMembersOnly);
    CPPUNIT_TEST_SUITE_END();

    void mergeIsALattice()
    {
        std::mt19937_64 random(20240501);
        for (int round = 0; round < 20000; ++round) {
            const member_record a = randomRecord(random);
            const member_record b = randomRecord(random);
            const member_record c = randomRecord(random);
            CPPUNIT_ASSERT(merged(a, b) == merged(b, a));
            CPPUNIT_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
            CPPUNIT_ASSERT(merged(a, a) == a);
        }
    }

    void updateOrderDoesNotMatter()
    {
        std::mt19937_64 random(7);
        for (int round = 0; round < 200; ++round) {
            std::vector<member_record> updates;
            updates.reserve(12);
            for (int count = 0; count < 12; ++count)
                updates.push_back(randomRecord(random));
            gossip_table first(recordOf("self", 1), times);
            gossip_table second(recordOf("self", 1), times);
            for (const member_record &record : updates)
                first.merge(record, start);
            std::shuffle(updates.begin(), updates.end(), random);
            for (const member_record &record : updates) {
                second.merge(record, start);
                second.merge(record, start);
            }
            CPPUNIT_ASSERT(first.members() == second.members());
            CPPUNIT_ASSERT(first.find(instance_id{"a"})->record
                           == second.find(instance_id{"a"})->record);
        }
    }

    /// A live instance that was slow to answer a probe is suspected; callers avoid it while it is.
    /// Its refutation has a higher number and must win everywhere, also where it arrives before the
    /// suspicion.
    void suspectRefutesWithinItsIncarnation()
    {
        gossip_table accuser(recordOf("accuser", 1), times);
        gossip_table subject(recordOf("subject", 5), times);
        gossip_table third(recordOf("third", 1), times);
        accuser.merge(subject.self().record, start);
        CPPUNIT_ASSERT(accuser.suspect(instance_id{"subject"}, 5, start));
        const member_record suspicion = accuser.find(instance_id{"subject"})->record;
        CPPUNIT_ASSERT(stateIn(accuser, "subject") == member_state::Suspect);

        subject.merge(suspicion, start);
        const member_record refutation = subject.self().record;
        CPPUNIT_ASSERT_EQUAL(incarnation_number(5), refutation.incarnation);
        third.merge(refutation, start);
        third.merge(suspicion, start);
        accuser.merge(refutation, start);
        accuser.expire(start + times.suspicionTimeout);
        CPPUNIT_ASSERT(stateIn(third, "subject") == member_state::Alive);
        CPPUNIT_ASSERT(stateIn(accuser, "subject") == member_state::Alive);
    }

    void deadIncarnationStaysDead()
    {
        gossip_table table(recordOf("self", 1), times);
        const member_record alive = recordOf("a", 2);
        table.merge(alive, start);
        table.suspect(alive.id, 2, start);
        table.expire(start + times.suspicionTimeout);
        CPPUNIT_ASSERT(stateIn(table, "a") == member_state::Dead);

        member_record late = alive;
        late.refutation = 9;
        late.heartbeat.sequence = 99;
        table.merge(late, start + times.suspicionTimeout);
        table.merge(recordOf("a", 1), start + times.suspicionTimeout);
        CPPUNIT_ASSERT(stateIn(table, "a") == member_state::Dead);
        table.merge(recordOf("a", 3), start + times.suspicionTimeout);
        CPPUNIT_ASSERT(stateIn(table, "a") == member_state::Alive);
    }

    /// An instance is paused for longer than the suspicion timeout. When it resumes and learns
    /// from another member that its incarnation is dead, it must continue with a higher one.
    void instanceDeclaredDeadStartsNewIncarnation()
    {
        gossip_table frozen(recordOf("frozen", 5), times);
        gossip_table other(recordOf("other", 1), times);
        other.merge(frozen.self().record, start);
        other.suspect(instance_id{"frozen"}, 5, start);
        other.expire(start + times.suspicionTimeout);

        frozen.setLeaving();
        frozen.merge(other.find(instance_id{"frozen"})->record, start + times.suspicionTimeout);
        CPPUNIT_ASSERT(frozen.self().record.incarnation > 5);
        CPPUNIT_ASSERT(!frozen.self().record.isDead);
        other.merge(frozen.self().record, start + times.suspicionTimeout);
        CPPUNIT_ASSERT(stateIn(other, "frozen") == member_state::Leaving);
    }

    void leavingIsNeverReset()
    {
        gossip_table table(recordOf("self", 1), times);
        member_record leaving = recordOf("a", 1);
        leaving.isLeaving = true;
        table.merge(leaving, start);
        member_record refuting = recordOf("a", 1);
        refuting.refutation = 4;
        refuting.heartbeat.sequence = 9;
        table.merge(refuting, start);
        CPPUNIT_ASSERT(stateIn(table, "a") == member_state::Leaving);
    }

    /// A paused instance was replaced by one with the same id on another machine. When it resumes
    /// it must not take the id back: it reports itself as leaving until its successor is dead.
    void replacedInstanceReportsItselfAsLeaving()
    {
        gossip_table table(recordOf("self", 1), times);
        member_record successor = recordOf("self", 8);
        successor.peerAddress.host = "10.0.0.2";
        table.merge(successor, start);
        CPPUNIT_ASSERT(stateIn(table, "self") == member_state::Leaving);
        CPPUNIT_ASSERT_EQUAL(incarnation_number(1), table.self().record.incarnation);

        successor.isDead = true;
        successor.diedAt = start;
        table.merge(successor, start);
        CPPUNIT_ASSERT(stateIn(table, "self") == member_state::Alive);
        CPPUNIT_ASSERT(table.self().record.incarnation > 8);
    }

    void heartbeatContentIsImmutable()
    {
        gossip_table table(recordOf("self", 1), times);
        table.publishHeartbeat();
        const member_heartbeat published = table.self().record.heartbeat;
        table.setApplied(7, start);
        table.setOpenStreams(3);
        CPPUNIT_ASSERT(table.self().record.heartbeat == published);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), table.members().front().appliedVersion);
        table.publishHeartbeat();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), table.self().record.heartbeat.appliedVersion);
        CPPUNIT_ASSERT(table.self().record.heartbeat.sequence > published.sequence);
    }

    void expiredDeadMembersAreNotReadded()
    {
        gossip_table table(recordOf("self", 1), times);
        member_record dead = recordOf("a", 1);
        dead.isDead = true;
        dead.diedAt = start;
        table.merge(dead, start);
        const mono_time later = start + times.deadRetention + milliseconds(1);
        table.expire(later);
        CPPUNIT_ASSERT(table.find(dead.id) == nullptr);
        table.merge(dead, later);
        CPPUNIT_ASSERT(table.find(dead.id) == nullptr);
    }

    void fullTableEvictsDeadMembersOnly()
    {
        gossip_table table(recordOf("self", 1), times);
        for (std::size_t index = 0; index + 1 < config::maxMembers; ++index)
            table.merge(recordOf("m" + std::to_string(index), 1), start);
        table.merge(recordOf("late", 1), start);
        CPPUNIT_ASSERT(table.find(instance_id{"late"}) == nullptr);
        CPPUNIT_ASSERT_EQUAL(config::maxMembers, table.members().size());

        member_record dead = recordOf("m3", 1);
        dead.isDead = true;
        dead.diedAt = start;
        table.merge(dead, start);
        table.merge(recordOf("late", 1), start);
        CPPUNIT_ASSERT(table.find(instance_id{"late"}) != nullptr);
        CPPUNIT_ASSERT(table.find(dead.id) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gossip_table_test);
