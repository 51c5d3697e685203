#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplarspool::policy {

/// What a runner of a pool is.
enum class runner_kind { Engine, Service };

/// The part of the work that an engine takes.
enum class engine_role { Mixed, Prefill, Decode };

std::string_view nameOf(runner_kind kind);
std::string_view nameOf(engine_role role);

/// @returns What nameOf() names so; none where nothing is.
std::optional<runner_kind> runnerKindOf(std::string_view name);
std::optional<engine_role> engineRoleOf(std::string_view name);

struct model_version
{
    std::string model;
    std::string version;

    auto operator<=>(const model_version &) const = default;
};

/// A target as the asset register knows it.
struct runner_spec
{
    runner_id id;
    pool_id pool;
    zone_id zone;
    endpoint address;
    bool checksFence = false; ///< Refuses an order whose fencing number is old.
    bool isDraining = false; ///< Gets no new work; running streams finish.
    std::uint32_t accelerators = 1;
    std::uint32_t kvPieces = 1000; ///< Pieces of KV memory.
    std::uint32_t pieceTokens = 16; ///< Tokens that one piece holds.
    double prefillTokensPerSecond = 8000; ///< Of the whole engine.
    double decodeTokensPerSecond = 1500; ///< Of the whole engine, all streams together.
    std::uint32_t concurrency = 64; ///< Requests that it runs at once.
    std::vector<model_version> mayCarry; ///< Engines only.
    std::vector<std::string> adapters; ///< Engines only.

    bool operator==(const runner_spec &) const = default;
};

struct pool_spec
{
    pool_id id;
    runner_kind kind = runner_kind::Engine;
    std::vector<model_version> serves; ///< Engines: the models wanted in this pool.
    std::string service; ///< Services: the NAME in /v1/services/NAME/…
    engine_role startRole = engine_role::Mixed; ///< Engines: before any plan.

    bool operator==(const pool_spec &) const = default;
};

/// The fixed fleet. Runners are sorted by id; a runner_handle is an index into them.
struct inventory
{
    std::string deployment;
    std::vector<zone_id> zones;
    std::vector<pool_spec> pools;
    std::vector<runner_spec> runners;

    bool operator==(const inventory &) const = default;
};

/// @returns An invalid handle where there is none.
runner_handle findRunner(const inventory &fleet, const runner_id &id);

/// @returns nullptr where there is none.
const pool_spec *findPool(const inventory &fleet, const pool_id &id);

/// Text keys that are looked up without making a string first.
struct text_hash
{
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

template <class Value>
using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

/// A runner's capacity, in the form in which estimates need it.
struct runner_rates
{
    double prefillTokensPerSecond = 1; ///< In mixed role, as the next two.
    double prefillTokenSeconds = 1;
    double decodeTokenSeconds = 1;
    double piecesPerToken = 0;
    double pieces = 0;
    double slots = 1; ///< Requests at once.

    bool operator==(const runner_rates &) const = default;
};

runner_rates ratesOf(const runner_spec &spec);

/// What a request's path needs of one runner's spec, beside each other in memory.
struct indexed_runner
{
    runner_rates rates;
    std::uint32_t zone = UINT32_MAX; ///< Place in inventory::zones.
    engine_role startRole = engine_role::Mixed;
    bool startsWithModel = false; ///< Wanted in its pool, so expected before the first report.

    bool operator==(const indexed_runner &) const = default;
};

struct indexed_candidate
{
    runner_handle runner;
    indexed_runner facts;

    bool operator==(const indexed_candidate &) const = default;
};

/// Runners that may serve one model or service. A list is there, if empty, also where all of them
/// are draining.
struct candidate_list
{
    std::vector<indexed_candidate> runners;
    std::vector<std::uint64_t> idHashes; ///< In the same order; for rendezvous.

    bool operator==(const candidate_list &) const = default;
};

/// Who could serve what, by the inventory alone. Built once per configuration, so that a request
/// looks only at the runners that may serve it.
struct view_index
{
    std::shared_ptr<const inventory> fleet; ///< That it was built from.
    text_map<candidate_list> models; ///< Engines that may carry a model.
    text_map<candidate_list> services; ///< Runners of a plain service.
    text_map<runner_handle> ids;
    text_map<std::uint32_t> zones;
};

view_index indexOf(std::shared_ptr<const inventory> fleet);

} // namespace poplarspool::policy
