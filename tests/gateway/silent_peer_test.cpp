#include "connected_pair.h"
#include "poplarspool/gateway/limits.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <thread>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

/// Two ends of a loopback connection. The packets that arrive at the second one can be dropped, so
/// that its kernel acknowledges neither data nor keep-alive probes.
class connection_ends
{
public:
    connection_ends()
    {
        auto ends = test::connectedPair();
        near = std::move(ends[0]);
        far = std::move(ends[1]);
        enableDeadPeerDetection(near.get(), config::runnerSilenceTimeout);
    }

    void silence() const
    {
        sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program{1, &dropAll};
        CPPUNIT_ASSERT(setsockopt(far.get(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program)
                       == 0);
    }

    void endSilence() const
    {
        const int unused = 0;
        setsockopt(far.get(), SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
    }

    void sendToFar() const { CPPUNIT_ASSERT(send(near.get(), "x", 1, MSG_NOSIGNAL) == 1); }

    bool isFailed() const { return isPeerGone(near.get()); }

    /// @returns Whether bytes still pass in both directions.
    bool isWorking() const
    {
        std::array<char, 8> bytes{};
        if (send(near.get(), "y", 1, MSG_NOSIGNAL) != 1)
            return false;
        const auto end = socket_clock::now() + 5s;
        const bool isReceived =
                receiveSome(far.get(), bytes.data(), bytes.size(), end, -1).bytes > 0;
        return isReceived && send(far.get(), "z", 1, MSG_NOSIGNAL) == 1
                && receiveSome(near.get(), bytes.data(), bytes.size(), end, -1).bytes > 0;
    }

private:
    descriptor near;
    descriptor far;
};

} // namespace

class silent_peer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(silent_peer_test);
    CPPUNIT_TEST(idleConnectionOutlastsASilenceOfOneAndAHalfSeconds);
    CPPUNIT_TEST(unacknowledgedRequestOutlastsASilenceOfOneAndAHalfSeconds);
    CPPUNIT_TEST(connectionToALostPeerFails);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against streams that end because a sound runner is silent for a second.
    void idleConnectionOutlastsASilenceOfOneAndAHalfSeconds()
    {
        const connection_ends ends;
        ends.silence();
        std::this_thread::sleep_for(1500ms);
        ends.endSilence();
        CPPUNIT_ASSERT(ends.isWorking());
    }

    /// Guards against requests that are given up, and may have run, because a sound runner
    /// acknowledges them late.
    void unacknowledgedRequestOutlastsASilenceOfOneAndAHalfSeconds()
    {
        const connection_ends ends;
        ends.silence();
        ends.sendToFar();
        std::this_thread::sleep_for(1500ms);
        ends.endSilence();
        CPPUNIT_ASSERT(ends.isWorking());
    }

    void connectionToALostPeerFails()
    {
        const connection_ends ends;
        ends.silence();
        ends.sendToFar();
        const auto end = socket_clock::now() + 10s;
        while (!ends.isFailed() && socket_clock::now() < end)
            std::this_thread::sleep_for(20ms);
        CPPUNIT_ASSERT(ends.isFailed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_peer_test);

} // namespace poplarspool::gateway
