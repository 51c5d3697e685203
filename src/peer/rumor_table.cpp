#include "peer/rumor_table.h"

#include "poplarspool/config.h"

#include <tuple>

namespace poplarspool::peer {

namespace {

/// Payloads take part so that two writers of one version still end up the same everywhere.
bool isNewer(const travelling_rumor &a, const travelling_rumor &b)
{
    return std::tie(a.news.version, a.renewal, a.news.payload)
            > std::tie(b.news.version, b.renewal, b.news.payload);
}

bool isBounded(const rumor &news)
{
    return !news.key.empty() && news.key.size() <= config::maxNameBytes
            && news.payload.size() <= config::maxRumorBytes;
}

} // namespace

bool rumor_table::spread(rumor news, mono_time now)
{
    if (!isBounded(news) || !hasRoom(news.key))
        return false;
    known_rumor &entry = known[news.key];
    if (news.version < entry.rumor.news.version)
        return false;
    const bool isRenewal = news.version == entry.rumor.news.version;
    const std::uint32_t renewal = isRenewal ? entry.rumor.renewal + 1 : 0;
    entry = known_rumor{travelling_rumor{std::move(news), renewal, now}};
    return true;
}

bool rumor_table::join(const travelling_rumor &news, mono_time now)
{
    if (!isBounded(news.news) || now - news.spreadAt > keepTime || !hasRoom(news.news.key))
        return false;
    const auto [place, isNew] = known.try_emplace(news.news.key, known_rumor{news});
    if (isNew)
        return true;
    travelling_rumor &present = place->second.rumor;
    if (!isNewer(news, present))
        return false;
    const bool isNewVersion = news.news.version > present.news.version;
    place->second = known_rumor{news};
    return isNewVersion;
}

void rumor_table::expire(mono_time now)
{
    std::erase_if(known,
                  [&](const auto &entry) { return now - entry.second.rumor.spreadAt > keepTime; });
}

std::vector<known_rumor *> rumor_table::untold(std::uint32_t limit)
{
    std::vector<known_rumor *> result;
    for (auto &[key, entry] : known) {
        if (entry.told < limit)
            result.push_back(&entry);
    }
    return result;
}

std::vector<rumor> rumor_table::all() const
{
    std::vector<rumor> result;
    result.reserve(known.size());
    for (const auto &[key, entry] : known)
        result.push_back(entry.rumor.news);
    return result;
}

bool rumor_table::hasRoom(const std::string &key) const
{
    return known.size() < config::maxRumors || known.contains(key);
}

} // namespace poplarspool::peer
