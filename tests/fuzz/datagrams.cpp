#include "crashes/crash_message.h"
#include "duties/usage_update.h"
#include "fuzz.h"
#include "gateway/limit_message.h"
#include "peer/frame.h"
#include "peer/gossip_message.h"
#include "poplarspool/gateway/catalogue_updater.h"
#include "poplarspool/peer/load_exchange.h"
#include "poplarspool/peer/store_update.h"
#include "poplarspool/scaling/fleet_plan.h"
#include "streams/origin_message.h"
#include "withdrawals/withdrawal_message.h"

#include <algorithm>

using namespace poplarspool;
using fuzz::require;

namespace {

/// An arbitrary fixed time, so that the same input gives the same result in each run.
const mono_time fixedNow{std::chrono::hours(1000)};

/// Checks that a value decoded from the bytes can be encoded, and is unchanged when decoded again.
template <class Encode, class Decode>
void checkRoundTrip(std::string_view bytes, const Encode &encode, const Decode &decode)
{
    const auto decoded = decode(bytes);
    if (!succeeded(decoded))
        return;
    const auto encoded = encode(valueOf(decoded));
    require(succeeded(encoded), "a decoded value can't be encoded");
    const auto redecoded = decode(valueOf(encoded));
    require(succeeded(redecoded), "an encoded value can't be decoded");
    // Compares the encodings, because a NaN in a value differs from itself.
    const auto reencoded = encode(valueOf(redecoded));
    require(succeeded(reencoded) && valueOf(reencoded) == valueOf(encoded),
            "a value changes when encoded and decoded again");
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
                return result<std::string>(peer::encodeGossip(message, fixedNow));
            },
            [](std::string_view encoded) { return peer::decodeGossip(encoded, fixedNow); });
}

void checkRunnerChange(std::string_view bytes)
{
    checkRoundTrip(
            bytes, [](const gateway::runner_change &change) { return gateway::encode(change); },
            gateway::decodeRunnerChange);
}

void checkRouteTable(std::string_view bytes)
{
    const gateway::route_table noTable;
    checkRoundTrip(
            bytes,
            [&](const gateway::route_table &table) { return gateway::encode(table, noTable); },
            [&](std::string_view encoded) { return gateway::decodeRouteTable(encoded, noTable); });
}

/// Checkpoints that the holders of a duty's lease store for their successors.
void checkCheckpoints(std::string_view bytes)
{
    if (const auto checkpoint = duties::decodeUsageCheckpoint(bytes))
        require(duties::decodeUsageCheckpoint(duties::encode(*checkpoint)) == checkpoint,
                "a usage checkpoint changes when encoded and decoded again");
    if (const auto checkpoint = scaling::decodeFleetCheckpoint(bytes))
        require(scaling::decodeFleetCheckpoint(scaling::encode(*checkpoint)) == checkpoint,
                "a fleet checkpoint changes when encoded and decoded again");
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view bytes(reinterpret_cast<const char *>(data), size);
    switch (fuzz::takeByte(bytes) % 12) {
    case 0:
        checkFrame(bytes);
        break;
    case 1:
        checkGossip(bytes);
        break;
    case 2:
        checkRoundTrip(
                bytes, [](const peer::load_update &update) { return peer::encode(update); },
                peer::decodeLoadUpdate);
        break;
    case 3:
        checkRoundTrip(
                bytes, [](const peer::store_update &update) { return peer::encode(update); },
                peer::decodeStoreUpdate);
        break;
    case 4:
        checkRunnerChange(bytes);
        break;
    case 5:
        checkRouteTable(bytes);
        break;
    case 6:
        checkRoundTrip(
                bytes, [](const duties::usage_update &update) { return duties::encode(update); },
                duties::decodeUsageUpdate);
        break;
    case 7:
        checkCheckpoints(bytes);
        break;
    case 8:
        checkRoundTrip(
                bytes,
                [](const gateway::limit_message &message) { return gateway::encode(message); },
                gateway::decodeLimitMessage);
        break;
    case 9:
        checkRoundTrip(
                bytes,
                [](const crashes::crash_message &message) { return crashes::encode(message); },
                crashes::decodeCrashMessage);
        break;
    case 10:
        checkRoundTrip(
                bytes,
                [](const withdrawals::withdrawal_update &update) {
                    return withdrawals::encode(update);
                },
                withdrawals::decodeWithdrawalUpdate);
        break;
    default:
        checkRoundTrip(
                bytes,
                [](const streams::origin_message &message) { return streams::encode(message); },
                streams::decodeOriginMessage);
        break;
    }
    return 0;
}
