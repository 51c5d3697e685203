#include "node/demand.h"

#include "poplarspool/base/bounded_json.h"
#include "poplarspool/config.h"

#include <nlohmann/json.hpp>

namespace poplarspool::node {

using json = nlohmann::json;

demand_book::demand_book(instance_id self, clock_source clock)
    : self(std::move(self)), clock(std::move(clock))
{ }

void demand_book::onRequest(const pool_id &pool, double prefillSeconds, double decodeSeconds)
{
    const std::lock_guard lock(guard);
    totals &mine = own[pool];
    mine.prefill += prefillSeconds;
    mine.decode += decodeSeconds;
    heard[{pool, self.text}] = mine;
}

void demand_book::onRumor(const peer::rumor &news)
{
    const std::string rest = news.key.substr(demandRumorPrefix.size());
    const std::size_t slash = rest.find('/');
    const json parsed = parseJson(news.payload);
    if (slash == std::string::npos || !parsed.is_array() || parsed.size() != 2
        || !parsed[0].is_number() || !parsed[1].is_number())
        return;
    const std::lock_guard lock(guard);
    heard[{pool_id{rest.substr(0, slash)}, rest.substr(slash + 1)}] = {parsed[0].get<double>(),
                                                                       parsed[1].get<double>()};
}

void demand_book::tell(const std::function<void(peer::rumor)> &spread)
{
    std::map<pool_id, totals> mine;
    {
        const std::lock_guard lock(guard);
        if (clock.mono() - toldAt < config::loadSpreadTime)
            return;
        toldAt = clock.mono();
        mine = own;
    }
    const auto version = static_cast<std::uint64_t>(clock.wall().time_since_epoch().count());
    for (const auto &[pool, sum] : mine) {
        const std::string key = std::string(demandRumorPrefix) + pool.text + "/" + self.text;
        spread({key, version, json::array({sum.prefill, sum.decode}).dump()});
    }
}

policy::demand_estimate demand_book::since(const pool_id &pool)
{
    const std::lock_guard lock(guard);
    const mono_time now = clock.mono();
    const auto asked = askedAt.find(pool);
    const bool isFirst = asked == askedAt.end();
    const double elapsed =
            isFirst ? 0.0 : std::chrono::duration<double>(now - asked->second).count();
    askedAt[pool] = now;
    policy::demand_estimate wanted;
    for (const auto &[from, sum] : heard) {
        if (from.first != pool)
            continue;
        totals &counted = seen[from];
        // A counter that went back is a restarted instance's: it counts from zero again.
        if (sum.prefill < counted.prefill || sum.decode < counted.decode)
            counted = {};
        if (elapsed > 0) {
            wanted.prefillSeconds += (sum.prefill - counted.prefill) / elapsed;
            wanted.decodeSeconds += (sum.decode - counted.decode) / elapsed;
        }
        counted = sum;
    }
    return wanted;
}

} // namespace poplarspool::node
