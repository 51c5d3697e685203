#include "fuzz.h"
#include "gateway/tunnel_message.h"
#include "peer/call_wire.h"
#include "poplarspool/peer/messages.h"

using namespace poplarspool;
using namespace poplarspool::peer;
using fuzz::require;

namespace {

template <class Message>
void checkMessage(std::string_view bytes)
{
    const auto decoded = decode<Message>(bytes);
    if (!succeeded(decoded))
        return;
    const std::string encoded = encode(valueOf(decoded));
    const auto redecoded = decode<Message>(encoded);
    require(succeeded(redecoded), "an encoded message can't be decoded");
    require(encode(valueOf(redecoded)) == encoded,
            "a message changes when encoded and decoded again");
}

void checkCall(std::string_view bytes)
{
    const auto decoded = decodeCall(bytes);
    if (!succeeded(decoded))
        return;
    const auto redecoded = decodeCall(encodeCall(valueOf(decoded).kind, valueOf(decoded).payload));
    require(succeeded(redecoded) && valueOf(redecoded).kind == valueOf(decoded).kind
                    && valueOf(redecoded).payload == valueOf(decoded).payload,
            "a call changes when encoded and decoded again");
}

/// Also covers failures: an error that a peer reports must be passed on unchanged.
void checkReply(std::string_view bytes)
{
    const auto decoded = decodeReply(bytes);
    const auto redecoded = decodeReply(encodeReply(decoded));
    require(succeeded(redecoded) == succeeded(decoded),
            "a success becomes a failure, or a failure a success, when encoded and decoded again");
    if (succeeded(decoded))
        require(valueOf(redecoded) == valueOf(decoded),
                "an answer changes when encoded and decoded again");
    else
        require(errorOf(redecoded).code == errorOf(decoded).code
                        && errorOf(redecoded).ran == errorOf(decoded).ran
                        && errorOf(redecoded).retryAfter == errorOf(decoded).retryAfter,
                "a failure changes when encoded and decoded again");
}

void checkTunnelRequest(std::string_view bytes)
{
    const auto decoded = gateway::decodeTunnelRequest(bytes);
    if (!succeeded(decoded))
        return;
    const auto redecoded = gateway::decodeTunnelRequest(gateway::encode(valueOf(decoded)));
    require(succeeded(redecoded) && valueOf(redecoded) == valueOf(decoded),
            "a request for a tunnel changes when encoded and decoded again");
}

void checkTunnelOutcome(std::string_view bytes)
{
    const auto decoded = gateway::decodeTunnelOutcome(bytes);
    if (!succeeded(decoded))
        return;
    const auto redecoded = gateway::decodeTunnelOutcome(gateway::encode(valueOf(decoded)));
    require(succeeded(redecoded) && valueOf(redecoded) == valueOf(decoded),
            "the outcome of a tunnel changes when encoded and decoded again");
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    constexpr std::array checks{checkMessage<watched_request>,
                                checkMessage<watched_reply>,
                                checkMessage<body_request>,
                                checkMessage<body_reply>,
                                checkMessage<claim_request>,
                                checkMessage<claim_reply>,
                                checkMessage<answer_request>,
                                checkMessage<answer_reply>,
                                checkMessage<events_request>,
                                checkMessage<events_reply>,
                                checkCall,
                                checkReply,
                                checkTunnelRequest,
                                checkTunnelOutcome};
    std::string_view bytes(reinterpret_cast<const char *>(data), size);
    checks.at(fuzz::takeByte(bytes) % checks.size())(bytes);
    return 0;
}
