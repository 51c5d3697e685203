#include "gateway/suspect_news.h"

#include "gateway/envelope.h"
#include "peer/codec.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>

namespace poplarspool::gateway {

namespace {

constexpr std::string_view endedPrefix = "ended/";
constexpr std::string_view servedPrefix = "served/";
/// Requests in one rumor, so that it keeps its bound of bytes.
constexpr std::size_t maxDigestsTold = 56;
constexpr std::size_t digestBytes = 8;

template <class Codec, class Life, class Digests>
void describeEnd(Codec &codec, Life &life, Digests &digests)
{
    codec.fixed(life.life);
    codec.fixed(life.endedMs);
    codec.list(digests, maxDigestsTold, digestBytes,
               [](Codec &each, auto &digest) { each.fixed(digest); });
}

std::vector<suspect> readEnd(peer::decoder &in)
{
    ended_life life;
    std::vector<std::uint64_t> digests;
    describeEnd(in, life, digests);
    std::vector<suspect> told;
    told.reserve(digests.size());
    for (const std::uint64_t digest : digests)
        told.push_back({digest, {life}, 0});
    return told;
}

std::vector<suspect> readServed(peer::decoder &in)
{
    suspect told;
    in.fixed(told.digest);
    in.fixed(told.servedMs);
    return {told};
}

} // namespace

std::vector<peer::rumor> rumorsOf(const instance_id &self, const end_report &report)
{
    std::vector<peer::rumor> made;
    for (std::size_t first = 0; first < report.digests.size(); first += maxDigestsTold) {
        const std::size_t count = std::min(maxDigestsTold, report.digests.size() - first);
        const auto begin = report.digests.begin() + static_cast<std::ptrdiff_t>(first);
        const std::vector<std::uint64_t> part(begin, begin + static_cast<std::ptrdiff_t>(count));
        auto payload =
                peer::encoded([&](peer::encoder &out) { describeEnd(out, report.life, part); });
        // More requests of the same end are a newer version of the same rumor.
        if (succeeded(payload))
            made.push_back({std::string(endedPrefix) + digestText(report.life.life) + "/"
                                    + std::to_string(first) + "/" + digestText(hashOf(self.text)),
                            count, std::move(valueOf(payload))});
    }
    return made;
}

peer::rumor servedRumor(std::uint64_t digest, std::int64_t servedMs)
{
    peer::encoder out;
    out.fixed(digest);
    out.fixed(servedMs);
    return {std::string(servedPrefix) + digestText(digest), static_cast<std::uint64_t>(servedMs),
            out.take()};
}

result<std::vector<suspect>> suspectsIn(const peer::rumor &news)
{
    const bool isEnd = news.key.starts_with(endedPrefix);
    if (!isEnd && !news.key.starts_with(servedPrefix))
        return std::vector<suspect>{};
    try {
        peer::decoder in(news.payload);
        std::vector<suspect> told = isEnd ? readEnd(in) : readServed(in);
        in.finish();
        return told;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed news of a runner's end");
    }
}

} // namespace poplarspool::gateway
