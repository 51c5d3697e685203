#include "catalogue_fixture.h"
#include "connector_fixture.h"
#include "gateway/tunnel_server.h"
#include "poplarspool/gateway/limits.h"
#include "scripted_runner.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::connector_fixture;
using test::script;
using test::script_end;
using test::scripted_runner;

constexpr std::uint16_t firstPort = 29100;
const endpoint refusingAddress{"127.0.0.1", 1};

socket_deadline soon()
{
    return socket_clock::now() + 5s;
}

/// Another instance, which reaches the runner "r" at the given address.
class carrier
{
public:
    carrier(const endpoint &runnerAddress, const std::string &key, metrics_registry &registry,
            journal &events)
    {
        catalogue known;
        runner listed;
        listed.id.text = "r";
        listed.address = runnerAddress;
        putRunner(known, listed);
        publisher.update([&known](catalogue &next) {
            next = known;
            return true;
        });
        self.id.text = "carrier";
        self.zone.text = "z";
        for (self.peerAddress = {"127.0.0.1", firstPort}; self.peerAddress.port < firstPort + 100;
             ++self.peerAddress.port) {
            server = std::make_unique<tunnel_server>(tunnel_server_dependencies{
                    self.peerAddress,
                    {self.id, 1, peer::deriveFrameKey(key)},
                    publisher,
                    links,
                    [this](const runner &) { return isWithdrawn.load(); },
                    registry,
                    events});
            if (succeeded(server->start()))
                return;
        }
        CPPUNIT_FAIL("no free port");
    }

    policy::member self;
    link_table links{systemClock()};
    std::atomic<bool> isWithdrawn{false}; ///< The runner wants no requests from the carrier.
    std::unique_ptr<tunnel_server> server;

private:
    catalogue_publisher publisher{catalogue{}};
};

/// An instance whose own link to the runner "r" refuses, and one carrier.
struct fixture
{
    explicit fixture(const endpoint &runnerAddress, const std::string &key = "key")
        : other(runnerAddress, key, registry, events)
    {
        own.members = {other.self};
        target.id.text = "r";
        target.address = refusingAddress;
    }

    bool canConnect() { return succeeded(own.connector.connect(target, soon(), -1)); }

    metrics_registry registry;
    journal events{{"test"}, systemClock(), 64};
    connector_fixture own{systemClock(), registry, events};
    carrier other;
    runner target;
};

} // namespace

class tunnel_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(tunnel_test);
    CPPUNIT_TEST(bytesReachTheRunnerThroughTheCarrier);
    CPPUNIT_TEST(keptTunnelIsUsedAgain);
    CPPUNIT_TEST(runnerThatRefusesAllBreaksNoLink);
    CPPUNIT_TEST(carrierThatIsCutOffCarriesNothing);
    CPPUNIT_TEST(leavingCarrierTakesNoTunnels);
    CPPUNIT_TEST(leavingCarrierGetsNoRequestOnAKeptTunnel);
    CPPUNIT_TEST(leavingCarrierEndsNoCallInItsMiddle);
    CPPUNIT_TEST(runnerThatWantsNoRequestsIsNotReached);
    CPPUNIT_TEST(unlistedRunnerIsNotReached);
    CPPUNIT_TEST(instanceWithAnotherKeyIsNotServed);
    CPPUNIT_TEST(runnerThatOthersReachHasNotEnded);
    CPPUNIT_TEST(runnerThatRefusesOthersTooHasEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    void bytesReachTheRunnerThroughTheCarrier()
    {
        const scripted_runner reached({script{"reply", script_end::Close}});
        fixture t(reached.address());
        auto made = t.own.connector.connect(t.target, soon(), -1);
        CPPUNIT_ASSERT(succeeded(made));
        const runner_connection &connection = valueOf(made);
        CPPUNIT_ASSERT(connection.isTunnel);
        CPPUNIT_ASSERT_EQUAL(std::string("carrier"), connection.carrier.text);
        CPPUNIT_ASSERT(t.own.connector.isBroken(t.target.id));
        const std::string request = "GET / HTTP/1.1\r\n\r\n";
        sendAll(connection.connection.get(), request, soon(), -1);
        std::array<char, 16> bytes{};
        const receive_result got =
                receiveSome(connection.connection.get(), bytes.data(), bytes.size(), soon(), -1);
        CPPUNIT_ASSERT_EQUAL(std::string("reply"), std::string(bytes.data(), got.bytes));
        CPPUNIT_ASSERT_EQUAL(request, reached.requests().at(0));
    }

    void keptTunnelIsUsedAgain()
    {
        const scripted_runner reached({script{{}, script_end::Stay}});
        fixture t(reached.address());
        auto made = t.own.connector.connect(t.target, soon(), -1);
        CPPUNIT_ASSERT(succeeded(made));
        const int used = valueOf(made).connection.get();
        t.own.connector.release(t.target, std::move(valueOf(made)), 2s);
        const auto again = t.own.connector.acquire(t.target, soon(), -1);
        CPPUNIT_ASSERT(succeeded(again));
        CPPUNIT_ASSERT(valueOf(again).isTunnel);
        CPPUNIT_ASSERT_EQUAL(used, valueOf(again).connection.get());
    }

    /// Guards against an instance that counts itself cut off because runners have ended.
    void runnerThatRefusesAllBreaksNoLink()
    {
        fixture t(refusingAddress);
        CPPUNIT_ASSERT(!t.canConnect());
        CPPUNIT_ASSERT(!t.own.connector.isBroken(t.target.id));
    }

    /// Guards against tunnels in a circle, when several instances are cut off.
    void carrierThatIsCutOffCarriesNothing()
    {
        const scripted_runner reached({});
        fixture t(reached.address());
        t.other.links.recordBroken({"r"}, connect_end::Silent);
        CPPUNIT_ASSERT(!t.canConnect());
    }

    void leavingCarrierTakesNoTunnels()
    {
        const scripted_runner reached({});
        fixture t(reached.address());
        t.other.server->announceShutdown();
        CPPUNIT_ASSERT(!t.canConnect());
    }

    /// Guards against a request that comes late in the shutdown of the carrier and is cut with it.
    void leavingCarrierGetsNoRequestOnAKeptTunnel()
    {
        const scripted_runner reached({script{{}, script_end::Stay}});
        fixture t(reached.address());
        auto made = t.own.connector.connect(t.target, soon(), -1);
        CPPUNIT_ASSERT(succeeded(made));
        t.own.connector.release(t.target, std::move(valueOf(made)), 2s);
        t.other.server->announceShutdown();
        t.own.members.front().state = policy::member_state::Leaving;
        CPPUNIT_ASSERT(!succeeded(t.own.connector.acquire(t.target, soon(), -1)));
    }

    /// Guards against calls that are cut as soon as their carrier has served its own callers.
    void leavingCarrierEndsNoCallInItsMiddle()
    {
        const scripted_runner reached({script{"reply", script_end::Close, 300ms}});
        fixture t(reached.address());
        auto made = t.own.connector.connect(t.target, soon(), -1);
        CPPUNIT_ASSERT(succeeded(made));
        const int ours = valueOf(made).connection.get();
        sendAll(ours, "GET / HTTP/1.1\r\n\r\n", soon(), -1);
        t.other.server->announceShutdown();
        t.other.server->awaitEnds(soon());
        t.other.server->stop();
        std::array<char, 16> bytes{};
        const receive_result got = receiveSome(ours, bytes.data(), bytes.size(), soon(), -1);
        CPPUNIT_ASSERT_EQUAL(std::string("reply"), std::string(bytes.data(), got.bytes));
        CPPUNIT_ASSERT(receiveSome(ours, bytes.data(), bytes.size(), soon(), -1).isEnd);
    }

    /// Guards against requests that a runner takes for those of the carrier that it has asked for
    /// rest.
    void runnerThatWantsNoRequestsIsNotReached()
    {
        const scripted_runner reached({script{"reply", script_end::Close}});
        fixture t(reached.address());
        t.other.isWithdrawn = true;
        CPPUNIT_ASSERT(!t.canConnect());
        t.other.isWithdrawn = false;
        CPPUNIT_ASSERT(t.canConnect());
    }

    void unlistedRunnerIsNotReached()
    {
        const scripted_runner reached({});
        fixture t(reached.address());
        t.target.startedAtMs = 5;
        CPPUNIT_ASSERT(!t.canConnect());
    }

    void instanceWithAnotherKeyIsNotServed()
    {
        const scripted_runner reached({});
        fixture t(reached.address(), "another key");
        CPPUNIT_ASSERT(!t.canConnect());
    }

    /// Guards against requests that are quarantined because an instance that is cut off takes reset
    /// connections for the ends of runners.
    void runnerThatOthersReachHasNotEnded()
    {
        const scripted_runner reached({script{{}, script_end::Close}});
        fixture t(reached.address());
        CPPUNIT_ASSERT(!t.own.connector.hasEnded(t.target));
    }

    void runnerThatRefusesOthersTooHasEnded()
    {
        fixture t(refusingAddress);
        CPPUNIT_ASSERT(t.own.connector.hasEnded(t.target));
        t.own.members.clear();
        CPPUNIT_ASSERT(t.own.connector.hasEnded(t.target));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tunnel_test);

} // namespace poplarspool::gateway
