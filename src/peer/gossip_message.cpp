#include "peer/gossip_message.h"

#include "peer/codec.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/peer/limits.h"

#include <algorithm>
#include <bit>
#include <stdexcept>

namespace poplarspool::peer {

namespace {

constexpr std::size_t minRecordBytes = 17;
constexpr std::size_t minHeartbeatBytes = 12;
constexpr std::size_t minRumorBytes = 5;
constexpr std::size_t maxItems = 256;
constexpr std::size_t maxHostBytes = 64;
constexpr milliseconds maxAge = std::chrono::hours(24);

constexpr std::uint8_t leavingFlag = 1;
constexpr std::uint8_t deadFlag = 2;

/// @returns Age in milliseconds plus one; 0 means never. Rounded up, so that a confirmation
///          never looks more recent than it is.
std::uint64_t ageOf(mono_time time, mono_time now)
{
    if (time == mono_time{})
        return 0;
    const milliseconds age = std::chrono::ceil<milliseconds>(now - time);
    return static_cast<std::uint64_t>(std::clamp(age, milliseconds(0), maxAge).count()) + 1;
}

mono_time timeOf(std::uint64_t age, mono_time now)
{
    if (age == 0)
        return {};
    if (age - 1 > static_cast<std::uint64_t>(maxAge.count()))
        throw malformed_payload("age out of range");
    return now - milliseconds(age - 1);
}

/// Reference time and version to which the ages and versions of one message are relative.
struct message_base
{
    mono_time now;
    std::uint64_t version = 0;
};

void timeField(encoder &out, const mono_time &time, const message_base &base)
{
    out.varint(ageOf(time, base.now));
}

void timeField(decoder &in, mono_time &time, const message_base &base)
{
    time = timeOf(in.varint(), base.now);
}

/// Encodes the distance to the base version. Nearly all members have the newest version, so the
/// distance takes one byte. It wraps around if the version is above the base.
void versionField(encoder &out, std::uint64_t version, const message_base &base)
{
    out.varint(base.version - version);
}

void versionField(decoder &in, std::uint64_t &version, const message_base &base)
{
    version = base.version - in.varint();
}

void flagsField(encoder &out, const member_record &record)
{
    const unsigned flags = (record.isLeaving ? leavingFlag : 0U) | (record.isDead ? deadFlag : 0U);
    out.fixed(static_cast<std::uint8_t>(flags));
}

void flagsField(decoder &in, member_record &record)
{
    std::uint8_t flags = 0;
    in.fixed(flags);
    if ((flags & ~(leavingFlag | deadFlag)) != 0)
        throw malformed_payload("unknown member flags");
    record.isLeaving = (flags & leavingFlag) != 0;
    record.isDead = (flags & deadFlag) != 0;
}

template <class Codec, class Endpoint>
void endpointFields(Codec &codec, Endpoint &address)
{
    codec.text(address.host, maxHostBytes);
    codec.fixed(address.port);
}

template <class Codec, class Heartbeat>
void heartbeatFields(Codec &codec, Heartbeat &heartbeat, const message_base &base)
{
    codec.small(heartbeat.sequence);
    versionField(codec, heartbeat.appliedVersion, base);
    codec.small(heartbeat.openStreams);
    timeField(codec, heartbeat.confirmedAt, base);
}

template <class Codec, class Record>
void recordFields(Codec &codec, Record &record, const message_base &base)
{
    codec.text(record.id.text, config::maxNameBytes);
    codec.text(record.zone.text, config::maxNameBytes);
    endpointFields(codec, record.callerAddress);
    endpointFields(codec, record.peerAddress);
    codec.small(record.incarnation);
    codec.small(record.refutation);
    codec.small(record.suspicion);
    flagsField(codec, record);
    timeField(codec, record.diedAt, base);
    heartbeatFields(codec, record.heartbeat, base);
}

template <class Codec, class Rumor>
void rumorFields(Codec &codec, Rumor &rumor, const message_base &base)
{
    codec.text(rumor.value.key, config::maxNameBytes);
    codec.small(rumor.value.version);
    codec.text(rumor.value.payload, config::maxRumorBytes);
    codec.small(rumor.renewal);
    timeField(codec, rumor.spreadAt, base);
}

template <class Codec, class Message>
void messageFields(Codec &codec, Message &message, message_base base)
{
    codec.fixed(message.purpose);
    if (message.purpose > gossip_purpose::Page)
        throw malformed_payload("unknown gossip purpose");
    codec.fixed(message.subject);
    codec.small(message.page);
    codec.small(base.version);
    codec.list(message.records, maxItems, minRecordBytes, [&base](auto &inner, auto &record) {
        recordFields(inner, record, base);
        if (!record.id.isValid() || record.incarnation == 0)
            throw malformed_payload("member record without id or incarnation");
        if (record.isDead && record.diedAt == mono_time{})
            throw malformed_payload("dead member without time of death");
    });
    codec.list(message.heartbeats, maxItems, minHeartbeatBytes, [&base](auto &inner, auto &known) {
        inner.fixed(known.handle);
        heartbeatFields(inner, known.heartbeat, base);
    });
    codec.list(message.rumors, maxItems, minRumorBytes,
               [&base](auto &inner, auto &rumor) { rumorFields(inner, rumor, base); });
}

std::uint64_t newestVersion(const gossip_message &message)
{
    std::uint64_t newest = 0;
    for (const member_record &record : message.records)
        newest = std::max(newest, record.heartbeat.appliedVersion);
    for (const heartbeat_update &known : message.heartbeats)
        newest = std::max(newest, known.heartbeat.appliedVersion);
    return newest;
}

std::size_t varintBytes(std::uint64_t value)
{
    return static_cast<std::size_t>(std::bit_width(value | 1) + 6) / 7;
}

constexpr std::size_t maxAgeBytes = 4;
/// Upper bound; a version distance takes one byte except for members that lag behind.
constexpr std::size_t versionBytes = 4;

std::size_t wireBytesOf(const member_heartbeat &heartbeat)
{
    return varintBytes(heartbeat.sequence) + versionBytes + varintBytes(heartbeat.openStreams)
            + maxAgeBytes;
}

std::size_t wireBytesOf(const endpoint &address)
{
    return 1 + address.host.size() + sizeof(address.port);
}

std::size_t wireBytesOfText(const std::string &text)
{
    return varintBytes(text.size()) + text.size();
}

} // namespace

std::string encodeGossip(const gossip_message &message, mono_time now)
{
    encoder out;
    messageFields(out, message, message_base{now, newestVersion(message)});
    return out.take();
}

result<gossip_message> decodeGossip(std::string_view payload, mono_time arrivedAt)
{
    try {
        decoder in(payload);
        gossip_message message;
        messageFields(in, message, message_base{arrivedAt});
        in.finish();
        return message;
    } catch (const std::runtime_error &fault) {
        return mayHaveRun(error_code::Broken, fault.what());
    }
}

std::size_t wireBytesOf(const member_record &record)
{
    return wireBytesOfText(record.id.text) + wireBytesOfText(record.zone.text)
            + wireBytesOf(record.callerAddress) + wireBytesOf(record.peerAddress)
            + varintBytes(record.incarnation) + varintBytes(record.refutation)
            + varintBytes(record.suspicion) + 1 + maxAgeBytes + wireBytesOf(record.heartbeat);
}

std::size_t wireBytesOf(const heartbeat_update &known)
{
    return sizeof(known.handle) + wireBytesOf(known.heartbeat);
}

std::size_t wireBytesOf(const rumor_update &rumor)
{
    return wireBytesOfText(rumor.value.key) + varintBytes(rumor.value.version)
            + wireBytesOfText(rumor.value.payload) + varintBytes(rumor.renewal) + maxAgeBytes;
}

} // namespace poplarspool::peer
