#include "streams/origin_message.h"

#include "peer/codec.h"

#include <type_traits>

namespace poplarspool::streams {

namespace {

template <class Codec, class Update>
void updateFields(Codec &codec, Update &update)
{
    codec.fixed(update.key);
    codec.fixed(update.version);
    codec.small(update.ageMs);
    codec.small(update.validMs);
}

template <class Codec, class Reply>
void replyFields(Codec &codec, Reply &reply)
{
    codec.fixed(reply.number);
    codec.small(reply.isKnown);
    if (reply.isKnown)
        updateFields(codec, reply.known);
}

template <class Codec>
void messageFields(Codec &codec, auto &message)
{
    using message_type = std::remove_cvref_t<decltype(message)>;
    if constexpr (std::is_same_v<message_type, origin_update>) {
        updateFields(codec, message);
    } else if constexpr (std::is_same_v<message_type, origin_query>) {
        codec.fixed(message.number);
        codec.fixed(message.key);
    } else {
        replyFields(codec, message);
    }
}

template <class Message>
origin_message decodeAs(peer::decoder &in)
{
    Message message;
    messageFields(in, message);
    in.finish();
    return message;
}

} // namespace

result<std::string> encode(const origin_message &message)
{
    return peer::tryEncode([&message](peer::encoder &out) {
        out.varint(message.index());
        std::visit([&out](const auto &one) { messageFields(out, one); }, message);
    });
}

result<origin_message> decodeOriginMessage(std::string_view payload)
{
    try {
        peer::decoder in(payload);
        switch (in.varint()) {
        case 0:
            return decodeAs<origin_update>(in);
        case 1:
            return decodeAs<origin_query>(in);
        case 2:
            return decodeAs<origin_reply>(in);
        default:
            return notRun(error_code::Broken, "stream origin message of an unknown kind");
        }
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed stream origin message");
    }
}

} // namespace poplarspool::streams
