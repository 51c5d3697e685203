#include "poplarspool/streams/origin_registry.h"

#include "peer/frame.h"
#include "peer/port_offset.h"
#include "poplarspool/streams/limits.h"
#include "streams/origin_message.h"
#include "streams/origin_table.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>

namespace poplarspool::streams {

namespace {

constexpr std::uint16_t originPortOffset = 4;

std::uint32_t millisecondsBetween(mono_time from, mono_time to)
{
    const auto time = std::chrono::ceil<milliseconds>(to - from).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time, 0, UINT32_MAX));
}

origin_update updateOf(stream_key key, const stream_origin &origin, mono_time now)
{
    return {key, origin.version, millisecondsBetween(origin.recordedAt, now),
            millisecondsBetween(now, origin.expiresAt)};
}

stream_origin originOf(const origin_update &update, mono_time now)
{
    const milliseconds valid(update.validMs);
    return {update.version, now - milliseconds(update.ageMs),
            now + std::min(valid, config::maxOriginRetention)};
}

} // namespace

struct origin_registry::state
{
    /// A query and its replies so far.
    struct waiting_query
    {
        std::optional<found_origin> found;
        std::size_t repliesLeft = 0;
    };

    explicit state(origin_dependencies given);

    std::vector<peer::fleet_instance> holdersOf(stream_key key, std::size_t count) const;
    void keep(stream_key key, const stream_origin &origin, mono_time now);
    std::optional<found_origin> findHere(stream_key key);
    std::optional<found_origin> ask(stream_key key);
    void receiveQuery(std::uint64_t sender, const origin_query &query);
    void receiveReply(std::uint64_t sender, const origin_reply &reply);

    const origin_dependencies dependencies;
    const std::uint64_t selfNumber;
    gauge &kept;
    counter &told;
    counter &evicted;
    counter &known;
    counter &unknown;
    counter &unanswered;

    std::mutex guard;
    std::condition_variable replied;
    origin_table table;
    std::map<std::uint64_t, waiting_query> waiting; ///< By number.
    std::uint64_t lastNumber = 0;
};

origin_registry::state::state(origin_dependencies given)
    : dependencies(std::move(given)), selfNumber(peer::senderNumber(dependencies.self)),
      kept(dependencies.metrics.gaugeOf("poplarspool_stream_origins")),
      told(dependencies.metrics.counterOf("poplarspool_stream_origins_told_total")),
      evicted(dependencies.metrics.counterOf("poplarspool_stream_origins_evicted_total")),
      known(dependencies.metrics.counterOf(
              "poplarspool_stream_origin_queries_total{end=\"known\"}")),
      unknown(dependencies.metrics.counterOf(
              "poplarspool_stream_origin_queries_total{end=\"unknown\"}")),
      unanswered(dependencies.metrics.counterOf(
              "poplarspool_stream_origin_queries_total{end=\"unanswered\"}"))
{ }

/// The instances other than this one that come first for the key.
std::vector<peer::fleet_instance> origin_registry::state::holdersOf(stream_key key,
                                                                    std::size_t count) const
{
    const auto fleet = dependencies.fleet.current();
    const std::string_view bytes(reinterpret_cast<const char *>(&key), sizeof(key));
    std::vector<peer::fleet_instance> holders;
    for (const std::size_t index : peer::rankedInstances(*fleet, bytes, count + 1)) {
        const peer::fleet_instance &one = fleet->instances[index];
        if (one.number != selfNumber && one.peerAddress.isValid() && holders.size() < count)
            holders.push_back(one);
    }
    return holders;
}

void origin_registry::state::keep(stream_key key, const stream_origin &origin, mono_time now)
{
    const std::lock_guard lock(guard);
    evicted.add(table.record(key, origin, now));
}

std::optional<found_origin> origin_registry::state::findHere(stream_key key)
{
    const std::lock_guard lock(guard);
    const auto found = table.find(key, dependencies.clock.mono());
    if (!found)
        return std::nullopt;
    return found_origin{*found, dependencies.self, true};
}

/// Asks all holders at once and takes the first record.
std::optional<found_origin> origin_registry::state::ask(stream_key key)
{
    std::vector<endpoint> to;
    for (const peer::fleet_instance &one : holdersOf(key, config::askedOriginHolders))
        to.push_back(originAddressOf(one.peerAddress));
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(guard);
        if (to.empty() || waiting.size() >= config::maxOriginQueries) {
            unanswered.add();
            return std::nullopt;
        }
        number = ++lastNumber;
        waiting[number].repliesLeft = to.size();
    }
    dependencies.send(to, encode(origin_message(origin_query{number, key})));
    std::unique_lock lock(guard);
    waiting_query &query = waiting.at(number);
    const bool isAnswered = replied.wait_for(lock, config::originReplyTimeout, [&query] {
        return query.found || query.repliesLeft == 0;
    });
    std::optional<found_origin> found = std::move(query.found);
    waiting.erase(number);
    (found ? known : isAnswered ? unknown : unanswered).add();
    return found;
}

void origin_registry::state::receiveQuery(std::uint64_t sender, const origin_query &query)
{
    const auto fleet = dependencies.fleet.current();
    const auto asker = std::ranges::find(fleet->instances, sender, &peer::fleet_instance::number);
    if (asker == fleet->instances.end())
        return;
    origin_reply reply;
    reply.number = query.number;
    if (const auto found = findHere(query.key)) {
        reply.isKnown = true;
        reply.known = updateOf(query.key, found->origin, dependencies.clock.mono());
    }
    dependencies.send({originAddressOf(asker->peerAddress)}, encode(origin_message(reply)));
}

void origin_registry::state::receiveReply(std::uint64_t sender, const origin_reply &reply)
{
    const auto fleet = dependencies.fleet.current();
    const auto holder = std::ranges::find(fleet->instances, sender, &peer::fleet_instance::number);
    const std::lock_guard lock(guard);
    const auto query = waiting.find(reply.number);
    if (query == waiting.end())
        return;
    query->second.repliesLeft -= std::min<std::size_t>(query->second.repliesLeft, 1);
    if (reply.isKnown)
        query->second.found = {originOf(reply.known, dependencies.clock.mono()),
                               holder == fleet->instances.end() ? instance_id{} : holder->id,
                               false};
    replied.notify_all();
}

origin_registry::origin_registry(origin_dependencies given)
    : inner(std::make_unique<state>(std::move(given)))
{ }

origin_registry::~origin_registry() = default;

void origin_registry::record(stream_key key, const stream_origin &origin)
{
    const mono_time now = inner->dependencies.clock.mono();
    inner->keep(key, origin, now);
    std::vector<endpoint> to;
    for (const peer::fleet_instance &one : inner->holdersOf(key, config::originHolders))
        to.push_back(originAddressOf(one.peerAddress));
    inner->told.add(to.size());
    if (!to.empty())
        inner->dependencies.send(to, encode(origin_message(updateOf(key, origin, now))));
}

std::optional<found_origin> origin_registry::find(stream_key key)
{
    const auto here = inner->findHere(key);
    return here ? here : inner->ask(key);
}

bool origin_registry::receive(std::uint64_t sender, std::string_view payload)
{
    const auto decoded = decodeOriginMessage(payload);
    if (!succeeded(decoded))
        return false;
    const origin_message &message = valueOf(decoded);
    const mono_time now = inner->dependencies.clock.mono();
    if (const auto *update = std::get_if<origin_update>(&message))
        inner->keep(update->key, originOf(*update, now), now);
    else if (const auto *query = std::get_if<origin_query>(&message))
        inner->receiveQuery(sender, *query);
    else
        inner->receiveReply(sender, std::get<origin_reply>(message));
    return true;
}

mono_time origin_registry::updateGauges()
{
    const std::lock_guard lock(inner->guard);
    inner->kept.set(static_cast<std::int64_t>(inner->table.size()));
    return inner->dependencies.clock.mono() + config::idleOriginInterval;
}

endpoint originAddressOf(const endpoint &peerAddress)
{
    return peer::atPortOffset(peerAddress, originPortOffset);
}

} // namespace poplarspool::streams
