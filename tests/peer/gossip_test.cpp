#include "base/socket.h"
#include "peer/frame.h"
#include "peer/gossip_message.h"
#include "peer/numeric_address.h"
#include "poplarspool/config.h"
#include "poplarspool/peer/gossip.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <mutex>
#include <sys/socket.h>

using namespace poplarspool;
using namespace poplarspool::peer;
using policy::member_state;

namespace {

constexpr std::chrono::seconds safety(60);
const std::string secret = "secret of all";

/// What the handlers of all instances of a test wake.
struct wake_up
{
    std::mutex mutex;
    std::condition_variable changed;

    void notify()
    {
        const std::lock_guard lock(mutex);
        changed.notify_all();
    }

    template <class Holds>
    bool wait(Holds holds)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, safety, holds);
    }
};

struct instance_of_test
{
    instance_of_test(const std::string &name, wake_up &wake)
        : events(instance_id{name}, systemClock(), 256), talk(settingsOf(name),
                                                              {[this, &wake](const auto &members) {
                                                                   throwIfDue(throwingMembers);
                                                                   toldMembers = members.size();
                                                                   wake.notify();
                                                               },
                                                               [this, &wake](const rumor &) {
                                                                   throwIfDue(throwingRumors);
                                                                   wake.notify();
                                                               }},
                                                              systemClock(), metrics, events)
    {
        CPPUNIT_ASSERT(succeeded(talk.start()));
    }

    static void throwIfDue(std::atomic<int> &left)
    {
        if (left-- > 0)
            throw std::length_error("too many");
    }

    static gossip_settings settingsOf(const std::string &name)
    {
        gossip_settings choices;
        choices.self.id = instance_id{name};
        choices.self.zone = zone_id{"a"};
        choices.self.peerAddress = {"127.0.0.1", 0};
        choices.self.life = 1;
        choices.key = secret;
        choices.roundTime = milliseconds(10);
        choices.suspectTime = milliseconds(5000);
        choices.deadTime = milliseconds(5000);
        choices.fanout = config::gossipFanout;
        choices.bytesPerSecond = 1000000;
        return choices;
    }

    std::size_t count(member_state state) const
    {
        std::size_t found = 0;
        for (const policy::member &member : talk.members())
            found += member.state == state ? 1 : 0;
        return found;
    }

    std::uint64_t dropped(const std::string &reason)
    {
        return metrics.counterOf("poplarspool_gossip_dropped_total{reason=\"" + reason + "\"}")
                .get();
    }

    std::atomic<int> throwingMembers{0}; ///< So many of the first lists of members,
    std::atomic<int> throwingRumors{0}; ///< and of the first rumors, end by an exception.
    std::atomic<std::size_t> toldMembers{0};
    metrics_registry metrics;
    journal events;
    gossip talk;
};

} // namespace

class gossip_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gossip_test);
    CPPUNIT_TEST(threeInstancesShareMembersVersionsAndRumors);
    CPPUNIT_TEST(handlersThatThrowEndNoThread);
    CPPUNIT_TEST(badDatagramsAreDroppedAndCounted);
    CPPUNIT_TEST_SUITE_END();

    void threeInstancesShareMembersVersionsAndRumors()
    {
        wake_up wake;
        instance_of_test a("a", wake);
        instance_of_test b("b", wake);
        auto c = std::make_unique<instance_of_test>("c", wake);
        const endpoint contact = a.talk.members().front().peerAddress;
        b.talk.setContacts({contact});
        c->talk.setContacts({contact});
        const auto allHave = [&](member_state state, std::size_t count) {
            return a.count(state) == count && b.count(state) == count && c->count(state) == count;
        };
        CPPUNIT_ASSERT(wake.wait([&] { return allHave(member_state::Alive, 3); }));

        b.talk.setApplied(42, systemClock().mono());
        const auto knowsVersion = [](const instance_of_test &at) {
            return at.talk.members().at(1).appliedVersion == 42;
        };
        CPPUNIT_ASSERT(wake.wait([&] { return knowsVersion(a) && knowsVersion(*c); }));

        const rumor news{"load/r1", 5, "busy"};
        c->talk.spread(news);
        const auto knowsRumor = [&](const instance_of_test &at) {
            return at.talk.rumors() == std::vector<rumor>{news};
        };
        CPPUNIT_ASSERT(wake.wait([&] { return knowsRumor(a) && knowsRumor(b); }));

        c->talk.setLeaving();
        CPPUNIT_ASSERT(wake.wait([&] { return allHave(member_state::Leaving, 1); }));
        c->talk.stop();
        CPPUNIT_ASSERT(wake.wait(
                [&] { return a.talk.members().size() == 2 && b.talk.members().size() == 2; }));
    }

    void handlersThatThrowEndNoThread()
    {
        wake_up wake;
        instance_of_test a("a", wake);
        instance_of_test b("b", wake);
        a.throwingMembers = 2;
        a.throwingRumors = 1;
        b.talk.setContacts({a.talk.members().front().peerAddress});
        CPPUNIT_ASSERT(wake.wait([&] { return a.toldMembers == 2 && b.toldMembers == 2; }));
        b.talk.spread({"load/r1", 5, "busy"});
        CPPUNIT_ASSERT(wake.wait([&] { return a.throwingRumors < 1; }));
        b.talk.spread({"load/r2", 6, "busy"});
        CPPUNIT_ASSERT(wake.wait([&] { return a.throwingRumors < 0; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, a.events.events({"step_failed", {}, {}}).size());
    }

    /// Strangers write to the port, an old datagram is played again, and a peer's software is
    /// broken. Nothing of it is decoded or takes effect; each is counted under its reason.
    void badDatagramsAreDroppedAndCounted()
    {
        wake_up wake;
        instance_of_test node("a", wake);
        const numeric_address to = *numericAddressOf(node.talk.members().front().peerAddress);
        const descriptor socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
        const auto send = [&](const std::string &bytes) {
            sendto(socket.get(), bytes.data(), bytes.size(), 0, to.get(), to.size);
        };
        member_record record;
        record.id = instance_id{"peer"};
        record.life = 4;
        record.peerAddress = {"127.0.0.1", 9};
        gossip_message message;
        message.records.push_back(record);
        const std::string payload = encodeGossip(message, systemClock().mono());
        const frame_key key = deriveFrameKey(secret);
        frame_header header;
        header.sender = senderNumber(record.id);
        header.senderLife = record.life;
        header.counter = 1;
        const std::string good = sealFrame(key, header, payload);
        frame_header otherLife = header;
        otherLife.receiverLife = 99;
        frame_header later = header;
        later.counter = 2;

        send("hello");
        send(std::string(200, 'x'));
        send(good.substr(0, good.size() - 1));
        send(sealFrame(deriveFrameKey("guess"), header, payload));
        send(sealFrame(key, otherLife, payload));
        send(sealFrame(key, later, payload + "left over"));
        send(good);
        send(good);
        CPPUNIT_ASSERT(wake.wait([&] { return node.talk.members().size() == 2; }));
        header.counter = 3;
        message.records.front().isLeaving = true;
        send(sealFrame(key, header, encodeGossip(message, systemClock().mono())));
        CPPUNIT_ASSERT(wake.wait([&] { return node.count(member_state::Leaving) == 1; }));

        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), node.dropped("truncated"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), node.dropped("foreign"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), node.dropped("bad_mac"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), node.dropped("decode"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), node.dropped("replay"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gossip_test);
