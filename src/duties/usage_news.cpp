#include "duties/usage_news.h"

#include "peer/codec.h"
#include "poplarspool/config.h"
#include "poplarspool/duties/limits.h"

namespace poplarspool::duties {

namespace {

/// Bytes of the smallest count.
constexpr std::size_t leastCountBytes = 2;
/// The year 9999, in Unix milliseconds: sums of such times don't overflow.
constexpr std::int64_t latestToldMs = 253'402'300'799'999;

template <class Codec, class Time>
void describeTime(Codec &codec, Time &time)
{
    std::int64_t sinceMs = time.time_since_epoch().count();
    codec.fixed(sinceMs);
    if constexpr (Codec::isDecoding) {
        if (sinceMs < 0 || sinceMs > latestToldMs)
            throw peer::bad_payload("a time that is none");
        time = wall_time(milliseconds(sinceMs));
    }
}

template <class Codec, class News>
void describe(Codec &codec, News &news)
{
    describeTime(codec, news.toldAt);
    describeTime(codec, news.heard.at);
    codec.small(news.heard.clocks);
    codec.small(news.isLast);
    codec.fixed(news.usage.life);
    codec.small(news.usage.window);
    codec.list(news.usage.counts, config::maxToldCounts, leastCountBytes,
               [](Codec &each, auto &item) {
                   each.text(item.first.text, config::maxNameBytes);
                   each.small(item.second);
               });
}

} // namespace

result<std::string> encode(const usage_news &news)
{
    return peer::encoded([&news](peer::encoder &out) { describe(out, news); });
}

result<usage_news> decodeUsageNews(std::string_view payload)
{
    try {
        peer::decoder in(payload);
        usage_news news;
        describe(in, news);
        in.finish();
        return news;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed news of usage");
    }
}

} // namespace poplarspool::duties
