#include "crashes/crash_update.h"

#include "peer/codec.h"
#include "poplarspool/base/hash.h"

#include <algorithm>

namespace poplarspool::crashes {

namespace {

constexpr std::string_view endedPrefix = "ended/";
constexpr std::string_view servedPrefix = "served/";
/// Maximum number of requests in one rumor, so that it stays within the size limit of rumors.
constexpr std::size_t maxDigestsPerRumor = 56;
constexpr std::size_t digestBytes = 8;

template <class Codec, class Incarnation, class Digests>
void serializeEnd(Codec &codec, Incarnation &ended, Digests &digests)
{
    codec.fixed(ended.incarnationKey);
    codec.fixed(ended.endedAtMs);
    codec.list(digests, maxDigestsPerRumor, digestBytes,
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
    in.fixed(received.digest);
    in.fixed(received.servedAtMs);
    return {received};
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

peer::rumor servedRumor(std::uint64_t digest, std::int64_t servedAtMs)
{
    peer::encoder out;
    out.fixed(digest);
    out.fixed(servedAtMs);
    return {std::string(servedPrefix) + digestText(digest), static_cast<std::uint64_t>(servedAtMs),
            out.take()};
}

result<std::vector<crash_record>> decodeCrashRecords(const peer::rumor &rumor)
{
    const bool isEnd = rumor.key.starts_with(endedPrefix);
    if (!isEnd && !rumor.key.starts_with(servedPrefix))
        return std::vector<crash_record>{};
    try {
        peer::decoder in(rumor.payload);
        std::vector<crash_record> received = isEnd ? decodeEnd(in) : decodeServed(in);
        in.finish();
        return received;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed rumor of a runner's end");
    }
}

} // namespace poplarspool::crashes
