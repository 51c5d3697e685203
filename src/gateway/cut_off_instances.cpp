#include "gateway/cut_off_instances.h"

#include "poplarspool/gateway/limits.h"

namespace poplarspool::gateway {

namespace {

constexpr std::string_view keyPrefix = "cut_off/";
constexpr std::string_view cutOffText = "1";
constexpr std::string_view connectedText = "0";

} // namespace

peer::rumor rumorOf(const cut_off_announcement &announced, std::uint64_t version)
{
    return {std::string(keyPrefix) + announced.instance.text, version,
            std::string(announced.isCutOff ? cutOffText : connectedText)};
}

std::optional<cut_off_announcement> cutOffAnnouncementOf(const peer::rumor &rumor)
{
    const bool isCutOff = rumor.payload == cutOffText;
    if (!rumor.key.starts_with(keyPrefix) || (!isCutOff && rumor.payload != connectedText))
        return std::nullopt;
    return cut_off_announcement{{rumor.key.substr(keyPrefix.size())}, isCutOff};
}

void cut_off_instances::record(const cut_off_announcement &announced)
{
    const std::lock_guard lock(guard);
    const mono_time now = clock.mono();
    std::erase_if(expiries, [now](const auto &one) { return one.second <= now; });
    if (announced.isCutOff)
        expiries[announced.instance] = now + config::cutOffExpiry;
    else
        expiries.erase(announced.instance);
}

bool cut_off_instances::contains(const instance_id &instance) const
{
    const std::lock_guard lock(guard);
    const auto found = expiries.find(instance);
    return found != expiries.end() && found->second > clock.mono();
}

std::vector<policy::member> cut_off_instances::without(std::vector<policy::member> members) const
{
    const std::lock_guard lock(guard);
    if (expiries.empty())
        return members;
    const mono_time now = clock.mono();
    std::erase_if(members, [&](const policy::member &one) {
        const auto found = expiries.find(one.id);
        return found != expiries.end() && found->second > now;
    });
    return members;
}

} // namespace poplarspool::gateway
