#include "peer/codec.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/config.h"
#include "poplarspool/peer/load_exchange.h"

namespace poplarspool::peer {

namespace {

/// Minimum bytes of an encoded item of each list.
constexpr std::size_t minWorkBytes = 13;
constexpr std::size_t minPrefixBytes = 9;

template <class Codec, class Update>
void loadUpdateFields(Codec &codec, Update &update)
{
    codec.list(update.work, config::maxLoadItems, minWorkBytes, [](Codec &each, auto &item) {
        each.fixed(item.runner);
        each.small(item.open);
        each.small(item.readingMs);
        each.small(item.laterMs);
        each.fixed(item.tokensIn);
        each.small(item.waiting);
        each.small(item.waitingLater);
    });
    codec.list(update.cached, config::maxCachedNews, minPrefixBytes, [](Codec &each, auto &item) {
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

result<std::string> encode(const load_news &update)
{
    return encoded([&update](encoder &out) { loadUpdateFields(out, update); });
}

result<load_news> decodeLoadNews(std::string_view payload)
{
    try {
        decoder in(payload);
        load_news update;
        loadUpdateFields(in, update);
        in.finish();
        return update;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed load update");
    }
}

} // namespace poplarspool::peer
