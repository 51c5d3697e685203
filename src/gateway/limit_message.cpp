#include "gateway/limit_message.h"

#include "peer/packed_address_codec.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/limits.h"

#include <cmath>

namespace poplarspool::gateway {

namespace {

constexpr std::size_t minNoticeBytes = 17;
/// Resolution of a limit on the wire, in requests per second.
constexpr double limitUnit = 0.001;

/// 0 stands for no limit: config::minRateLimit is above the resolution.
std::uint64_t wireLimitOf(const std::optional<double> &perSecond)
{
    return perSecond ? static_cast<std::uint64_t>(std::llround(*perSecond / limitUnit)) : 0;
}

std::optional<double> limitOfWire(std::uint64_t units)
{
    constexpr auto least = static_cast<std::uint64_t>(config::minRateLimit / limitUnit);
    constexpr auto most = static_cast<std::uint64_t>(config::maxRateLimit / limitUnit);
    if (units == 0)
        return std::nullopt;
    if (units < least || units > most)
        throw peer::malformed_payload("rate limit out of range");
    return static_cast<double>(units) * limitUnit;
}

void stageField(peer::encoder &out, engine_stage stage)
{
    out.varint(static_cast<std::uint64_t>(stage));
}

void stageField(peer::decoder &in, engine_stage &stage)
{
    const std::uint64_t value = in.varint();
    if (value > static_cast<std::uint64_t>(engine_stage::Decode))
        throw peer::malformed_payload("unknown engine stage");
    stage = static_cast<engine_stage>(value);
}

template <class Codec, class Notice>
void noticeFields(Codec &codec, Notice &notice)
{
    codec.fixed(notice.runner);
    codec.fixed(notice.startedAtMs);
    if constexpr (Codec::isDecoding)
        notice.perSecond = limitOfWire(codec.varint());
    else
        codec.varint(wireLimitOf(notice.perSecond));
    codec.small(notice.isInferred);
    stageField(codec, notice.stage);
    codec.small(notice.askedAgoMs);
    codec.small(notice.heardAgoMs);
}

template <class Codec, class Update>
void updateFields(Codec &codec, Update &update)
{
    codec.list(update.notices, config::maxLimitNotices, minNoticeBytes,
               [](Codec &each, auto &notice) { noticeFields(each, notice); });
    codec.list(update.forwardTo, config::maxForwardGroup, peer::packedAddressBytes,
               [](Codec &each, auto &address) { peer::addressFields(each, address); });
}

template <class Codec, class Request>
void requestFields(Codec &codec, Request &request)
{
    codec.fixed(request.number);
    noticeFields(codec, request.known);
    codec.small(request.count);
    codec.small(request.isUrgent);
    codec.small(request.sentBefore);
}

template <class Codec, class Reply>
void replyFields(Codec &codec, Reply &reply)
{
    codec.fixed(reply.number);
    codec.small(reply.granted);
    codec.small(reply.retryInMs);
    noticeFields(codec, reply.known);
}

template <class Codec>
void messageFields(Codec &codec, auto &message)
{
    using message_type = std::remove_cvref_t<decltype(message)>;
    if constexpr (std::is_same_v<message_type, limit_update>)
        updateFields(codec, message);
    else if constexpr (std::is_same_v<message_type, permit_request>)
        requestFields(codec, message);
    else
        replyFields(codec, message);
}

template <class Message>
limit_message decodeAs(peer::decoder &in)
{
    Message message;
    messageFields(in, message);
    in.finish();
    return message;
}

} // namespace

result<std::string> encode(const limit_message &message)
{
    return peer::tryEncode([&message](peer::encoder &out) {
        out.varint(message.index());
        std::visit([&out](const auto &one) { messageFields(out, one); }, message);
    });
}

result<limit_message> decodeLimitMessage(std::string_view payload)
{
    try {
        peer::decoder in(payload);
        switch (in.varint()) {
        case 0:
            return decodeAs<limit_update>(in);
        case 1:
            return decodeAs<permit_request>(in);
        case 2:
            return decodeAs<permit_reply>(in);
        default:
            return notRun(error_code::Broken, "limit message of an unknown kind");
        }
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed limit message");
    }
}

} // namespace poplarspool::gateway
