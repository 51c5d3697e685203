#include "peer/codec.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/config.h"
#include "poplarspool/peer/load_exchange.h"

namespace poplarspool::peer {

namespace {

/// Bytes of the smallest item of either list.
constexpr std::size_t leastWorkBytes = 13;
constexpr std::size_t leastChainBytes = 9;

template <class Codec, class News>
void describe(Codec &codec, News &news)
{
    codec.list(news.work, config::maxLoadItems, leastWorkBytes, [](Codec &each, auto &item) {
        each.fixed(item.runner);
        each.small(item.open);
        each.small(item.readingMs);
        each.small(item.laterMs);
        each.fixed(item.tokensIn);
        each.small(item.waiting);
        each.small(item.waitingLater);
    });
    codec.list(news.cached, config::maxCachedNews, leastChainBytes, [](Codec &each, auto &item) {
        each.fixed(item.runner);
        each.fixed(item.chain);
        each.small(item.isRead);
    });
}

} // namespace

std::uint32_t runnerKey(const runner_id &id)
{
    return static_cast<std::uint32_t>(hashOf(id.text));
}

result<std::string> encode(const load_news &news)
{
    return encoded([&news](encoder &out) { describe(out, news); });
}

result<load_news> decodeLoadNews(std::string_view payload)
{
    try {
        decoder in(payload);
        load_news news;
        describe(in, news);
        in.finish();
        return news;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed load news");
    }
}

} // namespace poplarspool::peer
