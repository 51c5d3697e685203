#include "poplarspool/peer/store_news.h"

#include "peer/codec.h"
#include "poplarspool/config.h"

#include <algorithm>

namespace poplarspool::peer {

namespace {

/// Bytes of the smallest item of either list.
constexpr std::size_t leastKindBytes = 7;
constexpr std::size_t leastChangeBytes = 1;

template <class Codec, class News>
void describe(Codec &codec, News &news)
{
    codec.list(news.kinds, config::maxToldKinds, leastKindBytes, [](Codec &each, auto &item) {
        each.small(item.kind);
        each.small(item.isAnswered);
        each.small(item.since);
        each.small(item.version.epoch);
        each.small(item.version.revision);
        each.small(item.ageMs);
        each.list(item.changes, config::maxToldChanges, leastChangeBytes,
                  [](Codec &inner, auto &change) { inner.text(change, config::maxChangeBytes); });
    });
}

} // namespace

result<std::string> encode(const store_news &news)
{
    return encoded([&news](encoder &out) { describe(out, news); });
}

result<store_news> decodeStoreNews(std::string_view payload)
{
    try {
        decoder in(payload);
        store_news news;
        describe(in, news);
        in.finish();
        return news;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed news of the store");
    }
}

void recent_changes::reset(store_version to)
{
    begin = to.revision;
    version = to;
    steps.clear();
}

void recent_changes::add(std::uint64_t since, store_version to, std::vector<std::string> changes,
                         mono_time now)
{
    const bool isTooLong = std::ranges::any_of(
            changes, [](const std::string &one) { return one.size() > config::maxChangeBytes; });
    if (isTooLong)
        return reset(to);
    if (to.epoch != version.epoch || since > version.revision)
        reset({to.epoch, since});
    if (!changes.empty()) {
        std::size_t bytes = 0;
        for (const std::string &one : changes)
            bytes += one.size() + leastChangeBytes;
        steps.push_back({since, to.revision, now, std::move(changes), bytes});
    }
    version = std::max(version, to);
    while (!steps.empty()
           && (steps.size() > config::maxToldChanges
               || now - steps.front().at > config::toldChangeTime)) {
        begin = std::max(begin, steps.front().to);
        steps.pop_front();
    }
}

kind_news recent_changes::tell(std::size_t maxBytes) const
{
    auto first = steps.end();
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (first != steps.begin()) {
        const step &before = *std::prev(first);
        bytes += before.bytes;
        count += before.changes.size();
        if (bytes > maxBytes || count > config::maxToldChanges)
            break;
        --first;
    }
    kind_news told;
    told.version = version;
    told.since = first == steps.begin() ? begin : std::prev(first)->to;
    for (; first != steps.end(); ++first)
        told.changes.insert(told.changes.end(), first->changes.begin(), first->changes.end());
    return told;
}

} // namespace poplarspool::peer
