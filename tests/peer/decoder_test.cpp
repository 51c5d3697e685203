#include "allocation_meter.h"
#include "peer/call_wire.h"
#include "peer/frame.h"
#include "peer/gossip_message.h"
#include "peer/replay_window.h"
#include "poplarspool/peer/limits.h"
#include "poplarspool/peer/messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <random>

using namespace poplarspool;
using namespace poplarspool::peer;

namespace {

const mono_time now = mono_time{} + std::chrono::hours(1);

/// Allowed allocation per byte of payload: an item of a vector takes more memory than its
/// shortest encoding, by less than this factor.
constexpr std::size_t memoryPerByte = 48;
constexpr std::size_t baseMemory = 4096;

struct sample
{
    std::string name;
    std::string payload;
    std::function<bool(std::string_view)> decodes;
};

template <class Message>
sample sampleOf(std::string name, const Message &message)
{
    return {std::move(name), encode(message),
            [](std::string_view payload) { return succeeded(decode<Message>(payload)); }};
}

event sampleEvent()
{
    return {{1700000000000, 3}, {"node-1"}, "order_sent", {{"runner", "r1"}, {"version", "8"}}};
}

answer_reply sampleAnswer()
{
    return {answer_state::Done, 200, {{"X-Kind", "receipt"}}, "application/json", "{\"ok\":true}"};
}

gossip_message sampleGossip()
{
    member_record record;
    record.id = {"node-1"};
    record.zone = {"colombo-a"};
    record.callerAddress = {"10.0.0.1", 8080};
    record.peerAddress = {"10.0.0.1", 7000};
    record.incarnation = 1700000000000;
    record.isLeaving = true;
    record.isDead = true;
    record.diedAt = now - milliseconds(77);
    record.heartbeat = {12, 40, 3, now - milliseconds(1500)};
    gossip_message message;
    message.purpose = gossip_purpose::Page;
    message.page = 17;
    message.records = {record, record};
    message.heartbeats = {{99, {5, 41, 0, {}}}, {98, {6, 2, 1000, now}}};
    message.rumors = {{{"load/r-1", 7, "payload"}, 2, now - milliseconds(20)}};
    return message;
}

/// Fixed corpus with one message of each kind.
std::vector<sample> corpus()
{
    std::vector<sample> all;
    all.push_back(sampleOf("watched_request", watched_request{300}));
    all.push_back(
            sampleOf("watched_reply", watched_reply{9, {{"head", "value", 8}, {"o", "", 9}}}));
    all.push_back(sampleOf("body_request", body_request{std::string(64, 'a')}));
    all.push_back(sampleOf("body_reply", body_reply{std::string(500, 'x')}));
    all.push_back(
            sampleOf("claim_request", claim_request{"key", "hash", "nonce", {"node-1"}, 1000}));
    all.push_back(sampleOf("claim_reply", claim_reply{"hash", "nonce", {"node-2"}}));
    all.push_back(sampleOf("answer_request", answer_request{"key", "nonce", 500}));
    all.push_back(sampleOf("answer_reply", sampleAnswer()));
    all.push_back(sampleOf("events_request", events_request{{"order_sent", "", "r1"}}));
    all.push_back(sampleOf("events_reply", events_reply{{sampleEvent(), sampleEvent()}}));
    all.push_back({"gossip", encodeGossip(sampleGossip(), now),
                   [](std::string_view payload) { return succeeded(decodeGossip(payload, now)); }});
    all.push_back({"call", encodeCall(call_kind::Claim, "abc"),
                   [](std::string_view payload) { return succeeded(decodeCall(payload)); }});
    all.push_back({"reply", encodeReply(notRun(error_code::Conflict, "no", milliseconds(5))),
                   [](std::string_view payload) {
                       const auto outcome = decodeReply(payload);
                       return !succeeded(outcome) && errorOf(outcome).code != error_code::Broken;
                   }});
    return all;
}

void assertDecodesWithinMemoryBound(const sample &origin, const std::string &payload)
{
    const test::allocation_meter meter;
    origin.decodes(payload);
    const std::size_t allowed = payload.size() * memoryPerByte + baseMemory;
    CPPUNIT_ASSERT_MESSAGE(origin.name, meter.bytes() <= allowed);
}

template <class Message>
void assertRoundTrip(const Message &message)
{
    const auto outcome = decode<Message>(encode(message));
    CPPUNIT_ASSERT(succeeded(outcome));
    CPPUNIT_ASSERT(valueOf(outcome) == message);
}

frame_header sampleHeader()
{
    return {frame_kind::Call, 5, 11, 12, 13, 14, 15, {1700000000000, 16}};
}

} // namespace

class decoder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decoder_test);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(flippedBitsStayWithinMemoryBound);
    CPPUNIT_TEST(truncatedPayloadsAreRejected);
    CPPUNIT_TEST(trailingBytesAreRejected);
    CPPUNIT_TEST(forgedCountsAllocateNothing);
    CPPUNIT_TEST(oversizedMessagesAreNotEncoded);
    CPPUNIT_TEST(frameRoundTrips);
    CPPUNIT_TEST(modifiedFramesAreRejected);
    CPPUNIT_TEST(replayedCountersAreRejected);
    CPPUNIT_TEST_SUITE_END();

    void messagesRoundTrip()
    {
        assertRoundTrip(watched_reply{9, {{"head", "value", 8}, {"o", "", 9}}});
        assertRoundTrip(claim_request{"key", "hash", "nonce", {"node-1"}, 1000});
        assertRoundTrip(sampleAnswer());
        assertRoundTrip(events_reply{{sampleEvent(), sampleEvent()}});
        const auto gossip = decodeGossip(encodeGossip(sampleGossip(), now), now);
        CPPUNIT_ASSERT(succeeded(gossip));
        CPPUNIT_ASSERT(valueOf(gossip) == sampleGossip());
        const error failure = notRun(error_code::Conflict, "no", milliseconds(5));
        CPPUNIT_ASSERT(decodeReply(encodeReply(failure)) == result<std::string>(failure));
    }

    void flippedBitsStayWithinMemoryBound()
    {
        std::mt19937_64 random(11);
        for (const sample &origin : corpus()) {
            CPPUNIT_ASSERT_MESSAGE(origin.name, origin.decodes(origin.payload));
            for (int round = 0; round < 3000; ++round) {
                std::string payload = origin.payload;
                for (std::uint64_t flips = 1 + random() % 4; flips > 0; --flips)
                    payload[random() % payload.size()] ^= static_cast<char>(1U << random() % 8);
                assertDecodesWithinMemoryBound(origin, payload);
            }
        }
    }

    void truncatedPayloadsAreRejected()
    {
        for (const sample &origin : corpus()) {
            for (std::size_t size = 0; size < origin.payload.size(); ++size) {
                const std::string truncated = origin.payload.substr(0, size);
                CPPUNIT_ASSERT_MESSAGE(origin.name, !origin.decodes(truncated));
                assertDecodesWithinMemoryBound(origin, truncated);
            }
        }
    }

    void trailingBytesAreRejected()
    {
        for (const sample &origin : corpus()) {
            if (origin.name != "reply")
                CPPUNIT_ASSERT_MESSAGE(origin.name, !origin.decodes(origin.payload + '\0'));
        }
    }

    /// Guards against allocating by an unchecked count: a message of a few bytes that claims 2^30
    /// elements would exhaust the memory of the process before the decoder finds it truncated.
    void forgedCountsAllocateNothing()
    {
        const std::vector<std::string> forgedCounts{
                std::string("\x80\x80\x80\x80\x04"), std::string("\xff\xff\xff\xff\x0f"),
                std::string("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"),
                std::string("\xff\xff\x03")};
        for (const sample &origin : corpus()) {
            for (const std::string &forgedCount : forgedCounts) {
                for (std::size_t place = 0; place < origin.payload.size(); ++place) {
                    std::string payload = origin.payload;
                    payload.replace(place, 1, forgedCount);
                    assertDecodesWithinMemoryBound(origin, payload);
                }
            }
        }
    }

    void oversizedMessagesAreNotEncoded()
    {
        CPPUNIT_ASSERT(encode(body_request{std::string(1000, 'a')}).empty());
        CPPUNIT_ASSERT(!succeeded(decode<body_request>({})));
    }

    void frameRoundTrips()
    {
        const frame_key key = deriveFrameKey("secret");
        const std::string frame = sealFrame(key, sampleHeader(), "hello");
        CPPUNIT_ASSERT_EQUAL(frameHeaderBytes + 5, frame.size());
        const auto opened = openFrame(key, frame);
        CPPUNIT_ASSERT(std::get<opened_frame>(opened).header == sampleHeader());
        CPPUNIT_ASSERT_EQUAL(std::string("hello"),
                             std::string(std::get<opened_frame>(opened).payload));
    }

    void modifiedFramesAreRejected()
    {
        const frame_key key = deriveFrameKey("secret");
        const std::string frame = sealFrame(key, sampleHeader(), "hello");
        const auto isRejected = [&](const std::string &bytes) {
            return std::holds_alternative<frame_fault>(openFrame(key, bytes));
        };
        for (std::size_t bit = 0; bit < frame.size() * 8; ++bit) {
            std::string changed = frame;
            changed[bit / 8] ^= static_cast<char>(1U << bit % 8);
            CPPUNIT_ASSERT(isRejected(changed));
        }
        for (std::size_t size = 0; size < frame.size(); ++size)
            CPPUNIT_ASSERT(isRejected(frame.substr(0, size)));
        CPPUNIT_ASSERT(isRejected(frame + "x"));
        CPPUNIT_ASSERT(isRejected(sealFrame(deriveFrameKey("other"), sampleHeader(), "hello")));
    }

    void replayedCountersAreRejected()
    {
        replay_guard guard;
        const auto check = [&](incarnation_number senderIncarnation, std::uint64_t counter) {
            return guard.check(1, senderIncarnation, counter, now);
        };
        CPPUNIT_ASSERT(check(1, 10) == replay_verdict::Fresh);
        CPPUNIT_ASSERT(check(1, 10) == replay_verdict::Seen);
        CPPUNIT_ASSERT(check(1, 8) == replay_verdict::Fresh);
        CPPUNIT_ASSERT(check(1, 8) == replay_verdict::Seen);
        CPPUNIT_ASSERT(check(1, 10 + config::replayWindowSize) == replay_verdict::Fresh);
        CPPUNIT_ASSERT(check(1, 9) == replay_verdict::Seen);
        CPPUNIT_ASSERT(check(2, 1) == replay_verdict::Fresh);
        CPPUNIT_ASSERT(check(1, 5000) == replay_verdict::OldIncarnation);
        for (std::uint64_t sender = 0; sender < 3 * config::maxMembers; ++sender)
            guard.check(sender, 1, 1, now);
        CPPUNIT_ASSERT(guard.size() <= 2 * config::maxMembers);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decoder_test);
