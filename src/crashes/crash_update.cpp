#include "crashes/crash_update.h"

#include "crashes/crash_message.h"
#include "peer/codec.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/crashes/limits.h"

#include <algorithm>

namespace poplarspool::crashes {

namespace {

constexpr std::string_view endedPrefix = "ended/";
/// Sent by instances of the former release.
constexpr std::string_view servedPrefix = "served/";
constexpr std::string_view clearedPrefix = "cleared/";
constexpr std::string_view partPrefix = "part/";
/// Maximum number of requests in one rumor, so that it stays within the size limit of rumors.
constexpr std::size_t maxDigestsPerRumor = 56;
constexpr std::size_t keyBytes = 8;

template <class Codec, class Incarnation, class Digests>
void serializeEnd(Codec &codec, Incarnation &ended, Digests &digests)
{
    codec.fixed(ended.incarnationKey);
    codec.fixed(ended.endedAtMs);
    codec.list(digests, maxDigestsPerRumor, keyBytes,
               [](Codec &each, auto &digest) { each.fixed(digest); });
}

std::vector<crash_record> decodeEnd(peer::decoder &in)
{
    ended_incarnation ended;
    std::vector<std::uint64_t> digests;
    serializeEnd(in, ended, digests);
    std::vector<crash_record> received;
    received.reserve(digests.size());
    for (const std::uint64_t digest : digests)
        received.push_back({digest, {ended}, 0});
    return received;
}

std::vector<crash_record> decodeServed(peer::decoder &in)
{
    crash_record received;
    in.fixed(received.key);
    in.fixed(received.servedAtMs);
    return {received};
}

template <class Codec, class Key, class Incarnations>
void clearedFields(Codec &codec, Key &key, Incarnations &incarnations)
{
    codec.fixed(key);
    codec.list(incarnations, config::maxCrashIncarnations, 2 * keyBytes,
               [](Codec &each, auto &ended) {
                   each.fixed(ended.incarnationKey);
                   each.fixed(ended.endedAtMs);
               });
}

std::vector<crash_record> decodeCleared(peer::decoder &in)
{
    std::uint64_t key = 0;
    std::vector<ended_incarnation> incarnations;
    clearedFields(in, key, incarnations);
    crash_record received;
    for (ended_incarnation &each : incarnations) {
        each.isCleared = true;
        received = merged(received, {0, {std::move(each)}});
    }
    received.key = key;
    return {received};
}

std::vector<crash_record> decodePart(std::string_view payload)
{
    const auto decoded = decodeCrashMessage(payload);
    const auto *notice = succeeded(decoded) ? std::get_if<part_notice>(&valueOf(decoded)) : nullptr;
    if (notice == nullptr)
        throw peer::malformed_payload("no record of a part");
    return {notice->record};
}

std::vector<crash_record> decodePayload(const peer::rumor &rumor)
{
    if (rumor.key.starts_with(partPrefix))
        return decodePart(rumor.payload);
    peer::decoder in(rumor.payload);
    std::vector<crash_record> received = rumor.key.starts_with(endedPrefix) ? decodeEnd(in)
            : rumor.key.starts_with(servedPrefix)                           ? decodeServed(in)
                                                                            : decodeCleared(in);
    in.finish();
    return received;
}

bool isCrashRumor(std::string_view key)
{
    return key.starts_with(endedPrefix) || key.starts_with(servedPrefix)
            || key.starts_with(clearedPrefix) || key.starts_with(partPrefix);
}

} // namespace

std::vector<peer::rumor> rumorsOf(const instance_id &self, const end_report &report)
{
    std::vector<peer::rumor> rumors;
    for (std::size_t first = 0; first < report.digests.size(); first += maxDigestsPerRumor) {
        const std::size_t count = std::min(maxDigestsPerRumor, report.digests.size() - first);
        const auto begin = report.digests.begin() + static_cast<std::ptrdiff_t>(first);
        const std::vector<std::uint64_t> part(begin, begin + static_cast<std::ptrdiff_t>(count));
        auto payload =
                peer::tryEncode([&](peer::encoder &out) { serializeEnd(out, report.ended, part); });
        // The count is the version: a report with more requests replaces the earlier rumor.
        if (succeeded(payload))
            rumors.push_back({std::string(endedPrefix) + digestText(report.ended.incarnationKey)
                                      + "/" + std::to_string(first) + "/"
                                      + digestText(hashOf(self.text)),
                              count, std::move(valueOf(payload))});
    }
    return rumors;
}

peer::rumor clearedRumor(const crash_record &cleared)
{
    std::vector<ended_incarnation> incarnations;
    std::uint64_t ends = 0;
    for (const ended_incarnation &each : cleared.incarnations) {
        if (!each.isCleared)
            continue;
        incarnations.push_back(each);
        ends = hashOf(digestText(each.incarnationKey), ends);
    }
    peer::encoder out;
    clearedFields(out, cleared.key, incarnations);
    return {std::string(clearedPrefix) + digestText(cleared.key) + "/" + digestText(ends), 1,
            out.take()};
}

peer::rumor partRumor(const crash_record &convicted)
{
    auto payload = encode(part_notice{convicted});
    return {std::string(partPrefix) + digestText(convicted.key), convicted.incarnations.size(),
            succeeded(payload) ? std::move(valueOf(payload)) : std::string()};
}

result<std::vector<crash_record>> decodeCrashRecords(const peer::rumor &rumor)
{
    if (!isCrashRumor(rumor.key))
        return std::vector<crash_record>{};
    try {
        return decodePayload(rumor);
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed rumor of a runner's end");
    }
}

} // namespace poplarspool::crashes
