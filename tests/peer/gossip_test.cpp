#include "base/socket.h"
#include "peer/frame.h"
#include "peer/gossip_message.h"
#include "peer/numeric_address.h"
#include "poplarspool/peer/gossip.h"
#include "poplarspool/peer/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <mutex>
#include <sys/socket.h>

using namespace poplarspool;
using namespace poplarspool::peer;
using policy::member_state;

namespace {

constexpr std::chrono::seconds testTimeout(60);
const std::string secret = "secret of all";

/// Notified by the handlers of all instances of a test.
struct test_signal
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
        return changed.wait_for(lock, testTimeout, holds);
    }
};

struct test_instance
{
    test_instance(const std::string &name, test_signal &signal)
        : events(instance_id{name}, systemClock(), 256),
          service(settingsOf(name),
                  {[this, &signal](const auto &members) {
                       throwIfDue(throwingMembers);
                       reportedMembers = members.size();
                       signal.notify();
                   },
                   [this, &signal](const rumor &) {
                       throwIfDue(throwingRumors);
                       signal.notify();
                   }},
                  systemClock(), metrics, events)
    {
        CPPUNIT_ASSERT(succeeded(service.start()));
    }

    static void throwIfDue(std::atomic<int> &left)
    {
        if (left-- > 0)
            throw std::length_error("too many");
    }

    static gossip_settings settingsOf(const std::string &name)
    {
        gossip_settings settings;
        settings.self.id = instance_id{name};
        settings.self.zone = zone_id{"a"};
        settings.self.peerAddress = {"127.0.0.1", 0};
        settings.self.incarnation = 1;
        settings.key = secret;
        settings.roundInterval = milliseconds(10);
        settings.probeTimeout = milliseconds(5000);
        settings.suspicionTimeout = milliseconds(5000);
        settings.fanout = config::gossipFanout;
        settings.bytesPerSecond = 1000000;
        return settings;
    }

    std::size_t count(member_state state) const
    {
        std::size_t found = 0;
        for (const policy::member &member : service.members())
            found += member.state == state ? 1 : 0;
        return found;
    }

    std::uint64_t dropped(const std::string &reason)
    {
        return metrics.counterOf("poplarspool_gossip_dropped_total{reason=\"" + reason + "\"}")
                .get();
    }

    std::atomic<int> throwingMembers{0}; ///< Number of first member lists whose handler throws.
    std::atomic<int> throwingRumors{0}; ///< Number of first rumors whose handler throws.
    std::atomic<std::size_t> reportedMembers{0};
    metrics_registry metrics;
    journal events;
    gossip service;
};

} // namespace

class gossip_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gossip_test);
    CPPUNIT_TEST(threeInstancesShareMembersVersionsAndRumors);
    CPPUNIT_TEST(throwingHandlersDoNotEndTheThread);
    CPPUNIT_TEST(invalidDatagramsAreDroppedAndCounted);
    CPPUNIT_TEST_SUITE_END();

    void threeInstancesShareMembersVersionsAndRumors()
    {
        test_signal signal;
        test_instance a("a", signal);
        test_instance b("b", signal);
        auto c = std::make_unique<test_instance>("c", signal);
        const endpoint contact = a.service.members().front().peerAddress;
        b.service.setContacts({contact});
        c->service.setContacts({contact});
        const auto allHave = [&](member_state state, std::size_t count) {
            return a.count(state) == count && b.count(state) == count && c->count(state) == count;
        };
        CPPUNIT_ASSERT(signal.wait([&] { return allHave(member_state::Alive, 3); }));

        b.service.setApplied(42, systemClock().mono());
        const auto knowsVersion = [](const test_instance &at) {
            return at.service.members().at(1).appliedVersion == 42;
        };
        CPPUNIT_ASSERT(signal.wait([&] { return knowsVersion(a) && knowsVersion(*c); }));

        const rumor item{"load/r1", 5, "busy"};
        c->service.spread(item);
        const auto knowsRumor = [&](const test_instance &at) {
            return at.service.rumors() == std::vector<rumor>{item};
        };
        CPPUNIT_ASSERT(signal.wait([&] { return knowsRumor(a) && knowsRumor(b); }));

        c->service.setLeaving();
        CPPUNIT_ASSERT(signal.wait([&] { return allHave(member_state::Leaving, 1); }));
        c->service.stop();
        CPPUNIT_ASSERT(signal.wait([&] {
            return a.service.members().size() == 2 && b.service.members().size() == 2;
        }));
    }

    void throwingHandlersDoNotEndTheThread()
    {
        test_signal signal;
        test_instance a("a", signal);
        test_instance b("b", signal);
        a.throwingMembers = 2;
        a.throwingRumors = 1;
        b.service.setContacts({a.service.members().front().peerAddress});
        CPPUNIT_ASSERT(
                signal.wait([&] { return a.reportedMembers == 2 && b.reportedMembers == 2; }));
        b.service.spread({"load/r1", 5, "busy"});
        CPPUNIT_ASSERT(signal.wait([&] { return a.throwingRumors < 1; }));
        b.service.spread({"load/r2", 6, "busy"});
        CPPUNIT_ASSERT(signal.wait([&] { return a.throwingRumors < 0; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, a.events.events({"step_failed", {}, {}}).size());
    }

    /// Truncated, foreign, forged, replayed and malformed datagrams must have no effect, and
    /// each must be counted under its reason.
    void invalidDatagramsAreDroppedAndCounted()
    {
        test_signal signal;
        test_instance node("a", signal);
        const numeric_address to = *numericAddressOf(node.service.members().front().peerAddress);
        const descriptor socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
        const auto send = [&](const std::string &bytes) {
            sendto(socket.get(), bytes.data(), bytes.size(), 0, to.get(), to.size);
        };
        member_record record;
        record.id = instance_id{"peer"};
        record.incarnation = 4;
        record.peerAddress = {"127.0.0.1", 9};
        gossip_message message;
        message.records.push_back(record);
        const std::string payload = encodeGossip(message, systemClock().mono());
        const frame_key key = deriveFrameKey(secret);
        frame_header header;
        header.sender = senderNumber(record.id);
        header.senderIncarnation = record.incarnation;
        header.counter = 1;
        const std::string good = sealFrame(key, header, payload);
        frame_header otherIncarnation = header;
        otherIncarnation.receiverIncarnation = 99;
        frame_header later = header;
        later.counter = 2;

        send("hello");
        send(std::string(200, 'x'));
        send(good.substr(0, good.size() - 1));
        send(sealFrame(deriveFrameKey("guess"), header, payload));
        send(sealFrame(key, otherIncarnation, payload));
        send(sealFrame(key, later, payload + "left over"));
        send(good);
        send(good);
        CPPUNIT_ASSERT(signal.wait([&] { return node.service.members().size() == 2; }));
        header.counter = 3;
        message.records.front().isLeaving = true;
        send(sealFrame(key, header, encodeGossip(message, systemClock().mono())));
        CPPUNIT_ASSERT(signal.wait([&] { return node.count(member_state::Leaving) == 1; }));

        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), node.dropped("truncated"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), node.dropped("foreign"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), node.dropped("bad_mac"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), node.dropped("decode"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), node.dropped("replay"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gossip_test);
