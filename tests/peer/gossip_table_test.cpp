#include "peer/gossip_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace poplarspool;
using namespace poplarspool::peer;
using policy::member_state;

namespace {

constexpr table_times times{milliseconds(4000), milliseconds(60000)};
const mono_time start = mono_time{} + std::chrono::hours(1);

member_record recordOf(const std::string &name, incarnation life)
{
    member_record record;
    record.id = instance_id{name};
    record.peerAddress = {"10.0.0.1", 7000};
    record.life = life;
    return record;
}

/// Small ranges, so that equal parts meet often.
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
    record.pulse.heartbeat = random() % 3;
    record.pulse.appliedVersion = random() % 3;
    record.pulse.openStreams = static_cast<std::uint32_t>(random() % 2);
    record.pulse.confirmedAt = start + milliseconds(random() % 3);
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
    CPPUNIT_TEST(joinIsALattice);
    CPPUNIT_TEST(anyOrderOfNewsEndsTheSame);
    CPPUNIT_TEST(suspectRefutesWithinItsLife);
    CPPUNIT_TEST(deadLifeNeverComesBack);
    CPPUNIT_TEST(instanceThatIsHeldForDeadGoesOnUnderANewLife);
    CPPUNIT_TEST(leavingIsNeverTakenBack);
    CPPUNIT_TEST(replacedInstanceShowsItselfAsLeaving);
    CPPUNIT_TEST(oneHeartbeatAlwaysSaysTheSame);
    CPPUNIT_TEST(theDeadAreForgottenAndNotTakenUpAgain);
    CPPUNIT_TEST(fullTableGivesUpTheDeadOnly);
    CPPUNIT_TEST_SUITE_END();

    void joinIsALattice()
    {
        std::mt19937_64 random(20240501);
        for (int round = 0; round < 20000; ++round) {
            const member_record a = randomRecord(random);
            const member_record b = randomRecord(random);
            const member_record c = randomRecord(random);
            CPPUNIT_ASSERT(joined(a, b) == joined(b, a));
            CPPUNIT_ASSERT(joined(joined(a, b), c) == joined(a, joined(b, c)));
            CPPUNIT_ASSERT(joined(a, a) == a);
        }
    }

    void anyOrderOfNewsEndsTheSame()
    {
        std::mt19937_64 random(7);
        for (int round = 0; round < 200; ++round) {
            std::vector<member_record> news;
            news.reserve(12);
            for (int count = 0; count < 12; ++count)
                news.push_back(randomRecord(random));
            gossip_table first(recordOf("self", 1), times);
            gossip_table second(recordOf("self", 1), times);
            for (const member_record &record : news)
                first.join(record, start);
            std::shuffle(news.begin(), news.end(), random);
            for (const member_record &record : news) {
                second.join(record, start);
                second.join(record, start);
            }
            CPPUNIT_ASSERT(first.members() == second.members());
            CPPUNIT_ASSERT(first.find(instance_id{"a"})->record
                           == second.find(instance_id{"a"})->record);
        }
    }

    /// Callers are sent past a live instance while it is suspected. It was slow to answer a probe,
    /// hears of the suspicion and answers with a higher number, which wins wherever it arrives,
    /// also before the suspicion does.
    void suspectRefutesWithinItsLife()
    {
        gossip_table accuser(recordOf("accuser", 1), times);
        gossip_table subject(recordOf("subject", 5), times);
        gossip_table third(recordOf("third", 1), times);
        accuser.join(subject.self().record, start);
        CPPUNIT_ASSERT(accuser.suspect(instance_id{"subject"}, 5, start));
        const member_record suspicion = accuser.find(instance_id{"subject"})->record;
        CPPUNIT_ASSERT(stateIn(accuser, "subject") == member_state::Suspect);

        subject.join(suspicion, start);
        const member_record refutation = subject.self().record;
        CPPUNIT_ASSERT_EQUAL(incarnation(5), refutation.life);
        third.join(refutation, start);
        third.join(suspicion, start);
        accuser.join(refutation, start);
        accuser.expire(start + times.deadTime);
        CPPUNIT_ASSERT(stateIn(third, "subject") == member_state::Alive);
        CPPUNIT_ASSERT(stateIn(accuser, "subject") == member_state::Alive);
    }

    void deadLifeNeverComesBack()
    {
        gossip_table table(recordOf("self", 1), times);
        const member_record alive = recordOf("a", 2);
        table.join(alive, start);
        table.suspect(alive.id, 2, start);
        table.expire(start + times.deadTime);
        CPPUNIT_ASSERT(stateIn(table, "a") == member_state::Dead);

        member_record late = alive;
        late.refutation = 9;
        late.pulse.heartbeat = 99;
        table.join(late, start + times.deadTime);
        table.join(recordOf("a", 1), start + times.deadTime);
        CPPUNIT_ASSERT(stateIn(table, "a") == member_state::Dead);
        table.join(recordOf("a", 3), start + times.deadTime);
        CPPUNIT_ASSERT(stateIn(table, "a") == member_state::Alive);
    }

    /// An instance is frozen for longer than the others wait, and wakes. They hold its life for
    /// dead; it hears so from the first of them that it writes to, and goes on under a higher life.
    void instanceThatIsHeldForDeadGoesOnUnderANewLife()
    {
        gossip_table frozen(recordOf("frozen", 5), times);
        gossip_table other(recordOf("other", 1), times);
        other.join(frozen.self().record, start);
        other.suspect(instance_id{"frozen"}, 5, start);
        other.expire(start + times.deadTime);

        frozen.setLeaving();
        frozen.join(other.find(instance_id{"frozen"})->record, start + times.deadTime);
        CPPUNIT_ASSERT(frozen.self().record.life > 5);
        CPPUNIT_ASSERT(!frozen.self().record.isDead);
        other.join(frozen.self().record, start + times.deadTime);
        CPPUNIT_ASSERT(stateIn(other, "frozen") == member_state::Leaving);
    }

    void leavingIsNeverTakenBack()
    {
        gossip_table table(recordOf("self", 1), times);
        member_record leaving = recordOf("a", 1);
        leaving.isLeaving = true;
        table.join(leaving, start);
        member_record refuting = recordOf("a", 1);
        refuting.refutation = 4;
        refuting.pulse.heartbeat = 9;
        table.join(refuting, start);
        CPPUNIT_ASSERT(stateIn(table, "a") == member_state::Leaving);
    }

    /// A frozen instance was replaced by one of the same name on another machine, and wakes. It
    /// must not win its name back: it shows itself as leaving until its successor is dead.
    void replacedInstanceShowsItselfAsLeaving()
    {
        gossip_table table(recordOf("self", 1), times);
        member_record successor = recordOf("self", 8);
        successor.peerAddress.host = "10.0.0.2";
        table.join(successor, start);
        CPPUNIT_ASSERT(stateIn(table, "self") == member_state::Leaving);
        CPPUNIT_ASSERT_EQUAL(incarnation(1), table.self().record.life);

        successor.isDead = true;
        successor.diedAt = start;
        table.join(successor, start);
        CPPUNIT_ASSERT(stateIn(table, "self") == member_state::Alive);
        CPPUNIT_ASSERT(table.self().record.life > 8);
    }

    void oneHeartbeatAlwaysSaysTheSame()
    {
        gossip_table table(recordOf("self", 1), times);
        table.beat();
        const member_pulse told = table.self().record.pulse;
        table.setApplied(7, start);
        table.setOpenStreams(3);
        CPPUNIT_ASSERT(table.self().record.pulse == told);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), table.members().front().appliedVersion);
        table.beat();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), table.self().record.pulse.appliedVersion);
        CPPUNIT_ASSERT(table.self().record.pulse.heartbeat > told.heartbeat);
    }

    void theDeadAreForgottenAndNotTakenUpAgain()
    {
        gossip_table table(recordOf("self", 1), times);
        member_record dead = recordOf("a", 1);
        dead.isDead = true;
        dead.diedAt = start;
        table.join(dead, start);
        const mono_time later = start + times.deadKeepTime + milliseconds(1);
        table.expire(later);
        CPPUNIT_ASSERT(table.find(dead.id) == nullptr);
        table.join(dead, later);
        CPPUNIT_ASSERT(table.find(dead.id) == nullptr);
    }

    void fullTableGivesUpTheDeadOnly()
    {
        gossip_table table(recordOf("self", 1), times);
        for (std::size_t index = 0; index + 1 < config::maxMembers; ++index)
            table.join(recordOf("m" + std::to_string(index), 1), start);
        table.join(recordOf("late", 1), start);
        CPPUNIT_ASSERT(table.find(instance_id{"late"}) == nullptr);
        CPPUNIT_ASSERT_EQUAL(config::maxMembers, table.members().size());

        member_record dead = recordOf("m3", 1);
        dead.isDead = true;
        dead.diedAt = start;
        table.join(dead, start);
        table.join(recordOf("late", 1), start);
        CPPUNIT_ASSERT(table.find(instance_id{"late"}) != nullptr);
        CPPUNIT_ASSERT(table.find(dead.id) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gossip_table_test);
