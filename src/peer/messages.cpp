#include "poplarspool/peer/messages.h"

#include "peer/codec.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/peer/limits.h"

namespace poplarspool::peer {

namespace {

// Minimum bytes of an encoded item; a received count is checked against them.
constexpr std::size_t minObjectBytes = 3;
constexpr std::size_t minPairBytes = 2;
constexpr std::size_t minEventBytes = 9;

/// Describes the fields of a message for both encoding and decoding.
template <class Message>
struct layout;

template <>
struct layout<watched_request>
{
    template <class Codec, class Value>
    static void fields(Codec &codec, Value &message)
    {
        codec.small(message.knownVersion);
    }
};

template <>
struct layout<watched_reply>
{
    template <class Codec, class Value>
    static void fields(Codec &codec, Value &message)
    {
        codec.small(message.version);
        codec.list(message.objects, config::maxWireObjects, minObjectBytes,
                   [](auto &inner, auto &object) {
                       inner.text(object.key, config::maxWireKeyBytes);
                       inner.text(object.value, config::maxObjectBytes);
                       inner.small(object.version);
                   });
    }
};

template <>
struct layout<body_request>
{
    template <class Codec, class Value>
    static void fields(Codec &codec, Value &message)
    {
        codec.text(message.sha256, config::maxNameBytes);
    }
};

template <>
struct layout<body_reply>
{
    template <class Codec, class Value>
    static void fields(Codec &codec, Value &message)
    {
        codec.text(message.content, config::maxPeerCallBytes);
    }
};

template <>
struct layout<claim_request>
{
    template <class Codec, class Value>
    static void fields(Codec &codec, Value &message)
    {
        codec.text(message.key, config::maxWireKeyBytes);
        codec.text(message.bodyHash, config::maxNameBytes);
        codec.text(message.nonce, config::maxNameBytes);
        codec.text(message.owner.text, config::maxNameBytes);
        codec.small(message.timeLeftMs);
    }
};

template <>
struct layout<claim_reply>
{
    template <class Codec, class Value>
    static void fields(Codec &codec, Value &message)
    {
        codec.text(message.bodyHash, config::maxNameBytes);
        codec.text(message.nonce, config::maxNameBytes);
        codec.text(message.owner.text, config::maxNameBytes);
    }
};

template <>
struct layout<answer_request>
{
    template <class Codec, class Value>
    static void fields(Codec &codec, Value &message)
    {
        codec.text(message.key, config::maxWireKeyBytes);
        codec.text(message.nonce, config::maxNameBytes);
        codec.small(message.waitMs);
    }
};

template <>
struct layout<answer_reply>
{
    template <class Codec, class Value>
    static void fields(Codec &codec, Value &message)
    {
        codec.small(message.state);
        if (message.state > answer_state::Lost)
            throw malformed_payload("unknown answer state");
        codec.fixed(message.status);
        codec.list(message.headers, config::maxWireHeaders, minPairBytes,
                   [](auto &inner, auto &header) {
                       inner.text(header.first, config::maxHeaderBytes);
                       inner.text(header.second, config::maxHeaderBytes);
                   });
        codec.text(message.contentType, config::maxHeaderBytes);
        codec.text(message.body, config::maxPeerCallBytes);
    }
};

template <>
struct layout<events_request>
{
    template <class Codec, class Value>
    static void fields(Codec &codec, Value &message)
    {
        codec.text(message.filter.kind, config::maxWireKeyBytes);
        codec.text(message.filter.request, config::maxWireKeyBytes);
        codec.text(message.filter.runner, config::maxWireKeyBytes);
    }
};

template <>
struct layout<event>
{
    template <class Codec, class Value>
    static void fields(Codec &codec, Value &entry)
    {
        codec.fixed(entry.at.wallMs);
        codec.small(entry.at.count);
        codec.text(entry.instance.text, config::maxNameBytes);
        codec.text(entry.kind, config::maxWireKeyBytes);
        codec.list(entry.fields, config::maxWireEventFields, minPairBytes,
                   [](auto &inner, auto &field) {
                       inner.text(field.key, config::maxWireKeyBytes);
                       inner.text(field.value, config::maxHeaderBytes);
                   });
    }
};

template <>
struct layout<events_reply>
{
    template <class Codec, class Value>
    static void fields(Codec &codec, Value &message)
    {
        codec.list(message.events, config::maxWireEvents, minEventBytes,
                   [](auto &inner, auto &entry) { layout<event>::fields(inner, entry); });
    }
};

/// @returns The payload; empty, which no decoder accepts, if the message exceeds a bound.
template <class Message>
std::string encodeAny(const Message &message)
{
    try {
        encoder out;
        layout<Message>::fields(out, message);
        return out.take();
    } catch (const malformed_payload &) {
        return {};
    }
}

} // namespace

template <class Message>
result<Message> decode(std::string_view payload)
{
    try {
        decoder in(payload);
        Message message;
        layout<Message>::fields(in, message);
        in.finish();
        return message;
    } catch (const malformed_payload &fault) {
        return mayHaveRun(error_code::Broken, fault.what());
    } catch (const cereal::Exception &) {
        return mayHaveRun(error_code::Broken, "payload is truncated");
    }
}

std::string encode(const watched_request &message)
{
    return encodeAny(message);
}

std::string encode(const watched_reply &message)
{
    return encodeAny(message);
}

std::string encode(const body_request &message)
{
    return encodeAny(message);
}

std::string encode(const body_reply &message)
{
    return encodeAny(message);
}

std::string encode(const claim_request &message)
{
    return encodeAny(message);
}

std::string encode(const claim_reply &message)
{
    return encodeAny(message);
}

std::string encode(const answer_request &message)
{
    return encodeAny(message);
}

std::string encode(const answer_reply &message)
{
    return encodeAny(message);
}

std::string encode(const events_request &message)
{
    return encodeAny(message);
}

std::string encode(const events_reply &message)
{
    return encodeAny(message);
}

template result<watched_request> decode<watched_request>(std::string_view);
template result<watched_reply> decode<watched_reply>(std::string_view);
template result<body_request> decode<body_request>(std::string_view);
template result<body_reply> decode<body_reply>(std::string_view);
template result<claim_request> decode<claim_request>(std::string_view);
template result<claim_reply> decode<claim_reply>(std::string_view);
template result<answer_request> decode<answer_request>(std::string_view);
template result<answer_reply> decode<answer_reply>(std::string_view);
template result<events_request> decode<events_request>(std::string_view);
template result<events_reply> decode<events_reply>(std::string_view);

} // namespace poplarspool::peer
