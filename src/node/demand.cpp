#include "node/demand.h"

#include "poplarspool/base/bounded_json.h"
#include "poplarspool/node/limits.h"

#include <nlohmann/json.hpp>

namespace poplarspool::node {

using json = nlohmann::json;

demand_table::demand_table(instance_id self, clock_source clock)
    : self(std::move(self)), clock(std::move(clock))
{ }

void demand_table::onRequest(const pool_id &pool, double prefillSeconds, double decodeSeconds)
{
    const std::lock_guard lock(guard);
    totals &mine = ownTotals[pool];
    mine.prefill += prefillSeconds;
    mine.decode += decodeSeconds;
    received[{pool, self.text}] = mine;
}

void demand_table::onRumor(const peer::rumor &rumor)
{
    const std::string suffix = rumor.key.substr(demandRumorPrefix.size());
    const std::size_t slash = suffix.find('/');
    const json parsed = parseJson(rumor.payload);
    if (slash == std::string::npos || !parsed.is_array() || parsed.size() != 2
        || !parsed[0].is_number() || !parsed[1].is_number())
        return;
    const std::lock_guard lock(guard);
    received[{pool_id{suffix.substr(0, slash)}, suffix.substr(slash + 1)}] = {
            parsed[0].get<double>(), parsed[1].get<double>()};
}

void demand_table::announce(const std::function<void(peer::rumor)> &spread)
{
    std::map<pool_id, totals> mine;
    {
        const std::lock_guard lock(guard);
        if (clock.mono() - announcedAt < config::minLoadRumorInterval)
            return;
        announcedAt = clock.mono();
        mine = ownTotals;
    }
    const auto version = static_cast<std::uint64_t>(clock.wall().time_since_epoch().count());
    for (const auto &[pool, sum] : mine) {
        const std::string key = std::string(demandRumorPrefix) + pool.text + "/" + self.text;
        spread({key, version, json::array({sum.prefill, sum.decode}).dump()});
    }
}

policy::demand_estimate demand_table::demandSinceLastQuery(const pool_id &pool)
{
    const std::lock_guard lock(guard);
    const mono_time now = clock.mono();
    const auto lastQuery = queriedAt.find(pool);
    const bool isFirst = lastQuery == queriedAt.end();
    const double elapsed =
            isFirst ? 0.0 : std::chrono::duration<double>(now - lastQuery->second).count();
    queriedAt[pool] = now;
    policy::demand_estimate estimate;
    for (const auto &[from, sum] : received) {
        if (from.first != pool)
            continue;
        totals &counted = alreadyCounted[from];
        // A counter that has decreased belongs to a restarted instance, which counts from zero
        // again.
        if (sum.prefill < counted.prefill || sum.decode < counted.decode)
            counted = {};
        if (elapsed > 0) {
            estimate.prefillSeconds += (sum.prefill - counted.prefill) / elapsed;
            estimate.decodeSeconds += (sum.decode - counted.decode) / elapsed;
        }
        counted = sum;
    }
    return estimate;
}

} // namespace poplarspool::node
