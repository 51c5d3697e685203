#include "base/connect.h"
#include "peer/call_wire.h"
#include "peer/numeric_address.h"
#include "poplarspool/peer/calls.h"
#include "poplarspool/peer/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>

using namespace poplarspool;
using namespace poplarspool::peer;

namespace {

constexpr milliseconds testTimeout = std::chrono::seconds(30);
const std::string secret = "secret of all";
const call_identity serverIdentity{{"server"}, 7, secret};
const call_identity clientIdentity{{"client"}, 3, secret};

socket_deadline testDeadline()
{
    return socket_clock::now() + testTimeout;
}

struct fixture
{
    metrics_registry metrics;
    journal events{instance_id{"test"}, systemClock(), 64};

    std::uint64_t count(const std::string &name) { return metrics.counterOf(name).get(); }
};

/// A TCP server that runs a script of the test on the first connection.
class scripted_peer
{
public:
    explicit scripted_peer(std::function<void(int)> script)
    {
        numeric_address address = *numericAddressOf({"127.0.0.1", 0});
        listener = descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        CPPUNIT_ASSERT_EQUAL(0, bind(listener.get(), address.get(), address.size));
        CPPUNIT_ASSERT_EQUAL(0, listen(listener.get(), 8));
        thread = std::thread([this, script = std::move(script)] {
            const descriptor connection(accept(listener.get(), nullptr, nullptr));
            if (connection.isOpen())
                script(connection.get());
        });
    }

    ~scripted_peer()
    {
        shutdown(listener.get(), SHUT_RDWR);
        thread.join();
    }

    endpoint address() const { return boundAddress(listener.get()); }

private:
    descriptor listener;
    std::thread thread;
};

const frame_key key = deriveFrameKey(secret);

void sendFrame(int fd, const frame_header &header, std::string_view payload)
{
    sendAll(fd, sealFrame(key, header, payload), testDeadline(), -1);
}

frame_header receiveHeader(int fd)
{
    return std::get<stream_frame>(readFrame(fd, key, config::maxPeerCallBytes, testDeadline(), -1))
            .header;
}

/// Exchanges the hellos.
/// @returns Header of the client's call.
frame_header acceptCall(int fd)
{
    frame_header hello;
    hello.kind = frame_kind::Hello;
    hello.sender = senderNumber(serverIdentity.instance);
    hello.senderIncarnation = serverIdentity.incarnation;
    hello.counter = 1000;
    sendFrame(fd, hello, {});
    receiveHeader(fd);
    return receiveHeader(fd);
}

frame_header replyTo(const frame_header &request)
{
    frame_header reply;
    reply.kind = frame_kind::Reply;
    reply.sender = senderNumber(serverIdentity.instance);
    reply.senderIncarnation = serverIdentity.incarnation;
    reply.receiverIncarnation = request.senderIncarnation;
    reply.callId = request.callId;
    return reply;
}

std::string encodedBody(const std::string &text)
{
    return encodeReply(encode(body_reply{text}));
}

std::map<call_kind, call_handler> echoHandlers(std::atomic<int> &runs)
{
    return {{call_kind::Body,
             [&runs](std::string_view payload) -> result<std::string> {
                 ++runs;
                 const auto request = decode<body_request>(payload);
                 if (!succeeded(request))
                     return errorOf(request);
                 return encode(body_reply{"body of " + valueOf(request).sha256});
             }},
            {call_kind::Claim, [](std::string_view) -> result<std::string> {
                 return notRun(error_code::Conflict, "other body", milliseconds(40));
             }}};
}

} // namespace

class calls_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(calls_test);
    CPPUNIT_TEST(concurrentCallsGetTheirOwnReplies);
    CPPUNIT_TEST(errorsKeepCodeAndVerdict);
    CPPUNIT_TEST(refusedConnectionIsNotRun);
    CPPUNIT_TEST(callMayHaveRunIfPeerClosesBeforeReply);
    CPPUNIT_TEST(repliesToOtherCallsAreDropped);
    CPPUNIT_TEST(lateReplyIsNotGivenToNextCall);
    CPPUNIT_TEST(replayedConnectionIsRejected);
    CPPUNIT_TEST(peerWithoutKeyIsRejected);
    CPPUNIT_TEST(stopCancelsOpenCall);
    CPPUNIT_TEST_SUITE_END();

    void concurrentCallsGetTheirOwnReplies()
    {
        fixture context;
        std::atomic<int> runs{0};
        call_server server({"127.0.0.1", 0}, serverIdentity, echoHandlers(runs), context.metrics,
                           context.events);
        const endpoint address = valueOf(server.start());
        call_client client(clientIdentity, context.metrics, context.events);
        std::vector<std::thread> threads;
        threads.reserve(8);
        std::atomic<int> right{0};
        for (int index = 0; index < 8; ++index) {
            threads.emplace_back([&, index] {
                for (int round = 0; round < 50; ++round) {
                    const std::string name = std::to_string(index * 1000 + round);
                    const auto reply = callTyped<body_reply>(client, address, call_kind::Body,
                                                             body_request{name}, testTimeout);
                    if (succeeded(reply) && valueOf(reply).content == "body of " + name)
                        ++right;
                }
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(400, right.load());
        CPPUNIT_ASSERT_EQUAL(400, runs.load());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             context.count("poplarspool_peer_stray_answers_total"));
    }

    void errorsKeepCodeAndVerdict()
    {
        fixture context;
        std::atomic<int> runs{0};
        call_server server({"127.0.0.1", 0}, serverIdentity, echoHandlers(runs), context.metrics,
                           context.events);
        const endpoint address = valueOf(server.start());
        call_client client(clientIdentity, context.metrics, context.events);
        const auto refused = callTyped<claim_reply>(client, address, call_kind::Claim,
                                                    claim_request{}, testTimeout);
        CPPUNIT_ASSERT(errorOf(refused)
                       == notRun(error_code::Conflict, "other body", milliseconds(40)));
        const auto unknown = callTyped<events_reply>(client, address, call_kind::Events,
                                                     events_request{}, testTimeout);
        CPPUNIT_ASSERT(errorOf(unknown).ran == verdict::NotRun);
        const auto tooLarge = client.call(address, call_kind::Body,
                                          std::string(config::maxPeerCallBytes, 'x'), testTimeout);
        CPPUNIT_ASSERT(errorOf(tooLarge).ran == verdict::NotRun);
    }

    void refusedConnectionIsNotRun()
    {
        fixture context;
        endpoint address;
        {
            const scripted_peer closedPeer([](int) {});
            address = closedPeer.address();
        }
        call_client client(clientIdentity, context.metrics, context.events);
        const auto reply = callTyped<body_reply>(client, address, call_kind::Body,
                                                 body_request{"a"}, testTimeout);
        CPPUNIT_ASSERT(errorOf(reply).ran == verdict::NotRun);
    }

    void callMayHaveRunIfPeerClosesBeforeReply()
    {
        fixture context;
        const scripted_peer peer([](int fd) { acceptCall(fd); });
        call_client client(clientIdentity, context.metrics, context.events);
        const auto reply = callTyped<body_reply>(client, peer.address(), call_kind::Body,
                                                 body_request{"a"}, testTimeout);
        CPPUNIT_ASSERT(errorOf(reply).ran == verdict::MayHaveRun);
    }

    /// Guards against accepting a reply that belongs to another call. Before the right reply, the
    /// peer sends one to another call, one for an earlier incarnation of the client and one from
    /// an earlier incarnation of the peer. All have the right frame kind.
    void repliesToOtherCallsAreDropped()
    {
        fixture context;
        const scripted_peer peer([](int fd) {
            const frame_header right = replyTo(acceptCall(fd));
            frame_header other = right;
            other.callId = right.callId + 1;
            sendFrame(fd, other, encodedBody("of another call"));
            frame_header formerClient = right;
            formerClient.receiverIncarnation = clientIdentity.incarnation - 1;
            sendFrame(fd, formerClient, encodedBody("for a former incarnation"));
            frame_header formerPeer = right;
            formerPeer.senderIncarnation = serverIdentity.incarnation - 1;
            sendFrame(fd, formerPeer, encodedBody("of a former incarnation"));
            sendFrame(fd, right, encodedBody("right"));
        });
        call_client client(clientIdentity, context.metrics, context.events);
        const auto reply = callTyped<body_reply>(client, peer.address(), call_kind::Body,
                                                 body_request{"a"}, testTimeout);
        CPPUNIT_ASSERT_EQUAL(std::string("right"), valueOf(reply).content);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3),
                             context.count("poplarspool_peer_stray_answers_total"));
    }

    /// The peer replies to the first call only after its timeout. The second call must not read
    /// that late reply as its own.
    void lateReplyIsNotGivenToNextCall()
    {
        fixture context;
        std::promise<void> release;
        std::shared_future<void> released = release.get_future().share();
        std::atomic<int> calls{0};
        std::map<call_kind, call_handler> handlers{
                {call_kind::Body, [&, released](std::string_view) -> result<std::string> {
                     const int number = ++calls;
                     if (number == 1)
                         released.wait();
                     return encode(body_reply{std::to_string(number)});
                 }}};
        call_server server({"127.0.0.1", 0}, serverIdentity, handlers, context.metrics,
                           context.events);
        const endpoint address = valueOf(server.start());
        call_client client(clientIdentity, context.metrics, context.events);
        const auto first = callTyped<body_reply>(client, address, call_kind::Body,
                                                 body_request{"a"}, milliseconds(300));
        CPPUNIT_ASSERT(errorOf(first).code == error_code::TimedOut);
        release.set_value();
        const auto second = callTyped<body_reply>(client, address, call_kind::Body,
                                                  body_request{"b"}, testTimeout);
        CPPUNIT_ASSERT(succeeded(second));
        CPPUNIT_ASSERT(valueOf(second).content != "1");
    }

    /// Replays a recorded connection. The server expects frame counters that continue the random
    /// number in its own hello, so no recorded call may run.
    void replayedConnectionIsRejected()
    {
        fixture context;
        std::atomic<int> runs{0};
        call_server server({"127.0.0.1", 0}, serverIdentity, echoHandlers(runs), context.metrics,
                           context.events);
        const endpoint address = valueOf(server.start());
        const auto exchange = [&](std::uint64_t counter) {
            const descriptor socket = std::move(valueOf(*connect(address)));
            const frame_header hello = receiveHeader(socket.get());
            frame_header call;
            call.kind = frame_kind::Hello;
            call.sender = senderNumber(clientIdentity.instance);
            call.senderIncarnation = clientIdentity.incarnation;
            call.receiverIncarnation = hello.senderIncarnation;
            call.counter = counter == 0 ? hello.counter + 1 : counter;
            const std::uint64_t used = call.counter;
            sendFrame(socket.get(), call, {});
            call.kind = frame_kind::Call;
            ++call.counter;
            sendFrame(socket.get(), call, encodeCall(call_kind::Body, encode(body_request{"a"})));
            readFrame(socket.get(), key, config::maxPeerCallBytes, testDeadline(), -1);
            return used;
        };
        const std::uint64_t recorded = exchange(0);
        CPPUNIT_ASSERT_EQUAL(1, runs.load());
        exchange(recorded);
        CPPUNIT_ASSERT_EQUAL(1, runs.load());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             context.count("poplarspool_peer_dropped_total{reason=\"replay\"}"));
    }

    void peerWithoutKeyIsRejected()
    {
        fixture context;
        std::atomic<int> runs{0};
        call_server server({"127.0.0.1", 0}, serverIdentity, echoHandlers(runs), context.metrics,
                           context.events);
        const endpoint address = valueOf(server.start());
        call_client wrongKeyClient({{"client"}, 3, "another secret"}, context.metrics,
                                   context.events);
        const auto reply = callTyped<body_reply>(wrongKeyClient, address, call_kind::Body,
                                                 body_request{"a"}, testTimeout);
        CPPUNIT_ASSERT(errorOf(reply).ran == verdict::NotRun);

        const descriptor socket = std::move(valueOf(*connect(address)));
        receiveHeader(socket.get());
        sendAll(socket.get(), "GET / HTTP/1.1\r\n" + std::string(200, 'x'), testDeadline(), -1);
        const auto end = readFrame(socket.get(), key, 0, testDeadline(), -1);
        CPPUNIT_ASSERT(std::get<socket_fault>(end) == socket_fault::Closed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             context.count("poplarspool_peer_dropped_total{reason=\"foreign\"}"));
        CPPUNIT_ASSERT_EQUAL(0, runs.load());
    }

    void stopCancelsOpenCall()
    {
        fixture context;
        std::promise<void> arrived;
        std::promise<void> release;
        const scripted_peer peer([&](int fd) {
            acceptCall(fd);
            arrived.set_value();
            release.get_future().wait();
        });
        call_client client(clientIdentity, context.metrics, context.events);
        auto reply = std::async(std::launch::async, [&] {
            return callTyped<body_reply>(client, peer.address(), call_kind::Body, body_request{"a"},
                                         testTimeout);
        });
        arrived.get_future().wait();
        client.stop();
        const auto outcome = reply.get();
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Cancelled);
        CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::MayHaveRun);
        release.set_value();
    }

    static std::unique_ptr<result<descriptor>> connect(const endpoint &address)
    {
        auto socket = std::make_unique<result<descriptor>>(connectTo(address, testDeadline(), -1));
        CPPUNIT_ASSERT(succeeded(*socket));
        return socket;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(calls_test);
