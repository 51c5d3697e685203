#include "duties/usage_news.h"
#include "fuzz.h"
#include "peer/frame.h"
#include "peer/gossip_message.h"
#include "poplarspool/gateway/catalogue_keeper.h"
#include "poplarspool/peer/load_exchange.h"
#include "poplarspool/peer/store_news.h"
#include "poplarspool/scaling/fleet_plan.h"

#include <algorithm>

using namespace poplarspool;
using fuzz::require;

namespace {

/// Any, and fixed: the same bytes mean the same on each run.
const mono_time now{std::chrono::hours(1000)};

/// @param decoded What some bytes were read as: it can be written, and reads as the same again.
template <class Encode, class Decode>
void checkRoundTrip(std::string_view bytes, const Encode &encode, const Decode &decode)
{
    const auto decoded = decode(bytes);
    if (!succeeded(decoded))
        return;
    const auto text = encode(valueOf(decoded));
    require(succeeded(text), "what was decoded can't be encoded");
    const auto again = decode(valueOf(text));
    require(succeeded(again), "what was encoded can't be decoded");
    // Compared as text, since a number may be none (NaN).
    const auto repeated = encode(valueOf(again));
    require(succeeded(repeated) && valueOf(repeated) == valueOf(text),
            "what was encoded is decoded as another value");
}

void checkFrame(std::string_view bytes)
{
    static const peer::frame_key key = peer::deriveFrameKey("key-of-the-test-fleet");
    peer::peekHeader(bytes);
    peer::openFrame(key, bytes);
    const std::string sealed = peer::sealFrame(key, {}, bytes);
    const auto opened = peer::openFrame(key, sealed);
    const auto *frame = std::get_if<peer::opened_frame>(&opened);
    require(frame != nullptr && frame->payload == bytes, "a sealed frame can't be opened");
}

void checkGossip(std::string_view bytes)
{
    checkRoundTrip(
            bytes,
            [](const peer::gossip_message &message) {
                return result<std::string>(peer::encodeGossip(message, now));
            },
            [](std::string_view text) { return peer::decodeGossip(text, now); });
}

void checkRunnerChange(std::string_view bytes)
{
    checkRoundTrip(
            bytes, [](const gateway::runner_change &change) { return gateway::encode(change); },
            gateway::decodeRunnerChange);
}

void checkRouteTable(std::string_view bytes)
{
    const gateway::route_table none;
    checkRoundTrip(
            bytes, [&](const gateway::route_table &table) { return gateway::encode(table, none); },
            [&](std::string_view text) { return gateway::decodeRouteTable(text, none); });
}

/// What holders of a duty leave to each other in the store.
void checkNotes(std::string_view bytes)
{
    if (const auto note = duties::decodeUsageNote(bytes))
        require(duties::decodeUsageNote(duties::encode(*note)) == note,
                "a note of usage is read as another one");
    if (const auto note = scaling::decodeFleetNote(bytes))
        require(scaling::decodeFleetNote(scaling::encode(*note)) == note,
                "a note of the fleet is read as another one");
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view bytes(reinterpret_cast<const char *>(data), size);
    switch (fuzz::takeByte(bytes) % 8) {
    case 0:
        checkFrame(bytes);
        break;
    case 1:
        checkGossip(bytes);
        break;
    case 2:
        checkRoundTrip(
                bytes, [](const peer::load_news &news) { return peer::encode(news); },
                peer::decodeLoadNews);
        break;
    case 3:
        checkRoundTrip(
                bytes, [](const peer::store_news &news) { return peer::encode(news); },
                peer::decodeStoreNews);
        break;
    case 4:
        checkRunnerChange(bytes);
        break;
    case 5:
        checkRouteTable(bytes);
        break;
    case 6:
        checkRoundTrip(
                bytes, [](const duties::usage_news &news) { return duties::encode(news); },
                duties::decodeUsageNews);
        break;
    default:
        checkNotes(bytes);
        break;
    }
    return 0;
}
