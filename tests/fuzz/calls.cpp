#include "fuzz.h"
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
    const std::string text = encode(valueOf(decoded));
    const auto again = decode<Message>(text);
    require(succeeded(again), "what was encoded can't be decoded");
    require(encode(valueOf(again)) == text, "what was encoded is decoded as another value");
}

void checkCall(std::string_view bytes)
{
    const auto decoded = decodeCall(bytes);
    if (!succeeded(decoded))
        return;
    const auto again = decodeCall(encodeCall(valueOf(decoded).kind, valueOf(decoded).payload));
    require(succeeded(again) && valueOf(again).kind == valueOf(decoded).kind
                    && valueOf(again).payload == valueOf(decoded).payload,
            "a call is decoded as another one");
}

/// Also refusals: what a peer says went wrong must be told as it was.
void checkReply(std::string_view bytes)
{
    const auto decoded = decodeReply(bytes);
    const auto again = decodeReply(encodeReply(decoded));
    require(succeeded(again) == succeeded(decoded), "an outcome is decoded as another one");
    if (succeeded(decoded))
        require(valueOf(again) == valueOf(decoded), "an answer is decoded as another one");
    else
        require(errorOf(again).code == errorOf(decoded).code
                        && errorOf(again).ran == errorOf(decoded).ran
                        && errorOf(again).retryAfter == errorOf(decoded).retryAfter,
                "a failure is decoded as another one");
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    constexpr std::array checks{checkMessage<watched_ask>,
                                checkMessage<watched_reply>,
                                checkMessage<body_ask>,
                                checkMessage<body_reply>,
                                checkMessage<claim_ask>,
                                checkMessage<claim_reply>,
                                checkMessage<answer_ask>,
                                checkMessage<answer_reply>,
                                checkMessage<events_ask>,
                                checkMessage<events_reply>,
                                checkCall,
                                checkReply};
    std::string_view bytes(reinterpret_cast<const char *>(data), size);
    checks.at(fuzz::takeByte(bytes) % checks.size())(bytes);
    return 0;
}
