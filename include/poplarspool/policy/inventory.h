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

/// Kind of the runners in a pool.
enum class runner_kind { Engine, Service };

/// Phase of the requests that an engine is configured for.
enum class engine_role { Mixed, Prefill, Decode };

std::string_view nameOf(runner_kind kind);
std::string_view nameOf(engine_role role);

/// Inverse of nameOf().
/// @returns None if the name is unknown.
std::optional<runner_kind> runnerKindOf(std::string_view name);
std::optional<engine_role> engineRoleOf(std::string_view name);

struct model_version
{
    std::string model;
    std::string version;

    auto operator<=>(const model_version &) const = default;
};

/// A target as described in the inventory.
struct runner_spec
{
    runner_id id;
    pool_id pool;
    zone_id zone;
    endpoint address;
    bool checksFence = false; ///< Refuses an order with an outdated fencing token.
    bool isDraining = false; ///< Receives no new work; running streams finish.
    std::uint32_t accelerators = 1;
    std::uint32_t kvPieces = 1000; ///< Size of the KV memory in pieces.
    std::uint32_t pieceTokens = 16; ///< Tokens per piece.
    double prefillTokensPerSecond = 8000; ///< Total of the engine.
    double decodeTokensPerSecond = 1500; ///< Total of the engine over all streams.
    std::uint32_t concurrency = 64; ///< Maximum number of requests that run at once.
    std::vector<model_version> supportedModels; ///< Engines only.
    std::vector<std::string> adapters; ///< Engines only.

    bool operator==(const runner_spec &) const = default;
};

struct pool_spec
{
    pool_id id;
    runner_kind kind = runner_kind::Engine;
    std::vector<model_version> serves; ///< Engines: models that this pool is to serve.
    std::string service; ///< Services: the NAME in /v1/services/NAME/…
    engine_role startRole = engine_role::Mixed; ///< Engines: role before the first plan.

    bool operator==(const pool_spec &) const = default;
};

/// The configured fleet. `runners` is sorted by id; a runner_handle is an index into it.
struct inventory
{
    std::string deployment;
    std::vector<zone_id> zones;
    std::vector<pool_spec> pools;
    std::vector<runner_spec> runners;

    bool operator==(const inventory &) const = default;
};

/// @returns An invalid handle if there is no such runner.
runner_handle findRunner(const inventory &fleet, const runner_id &id);

/// @returns nullptr if there is no such pool.
const pool_spec *findPool(const inventory &fleet, const pool_id &id);

/// Transparent hash, for lookups by string_view without constructing a string.
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

/// A runner's capacity in the units that load estimates use.
struct runner_rates
{
    double prefillTokensPerSecond = 1; ///< This and the next two: in the mixed role.
    double prefillTokenSeconds = 1;
    double decodeTokenSeconds = 1;
    double piecesPerToken = 0;
    double pieces = 0;
    double slots = 1; ///< Requests that run at once.

    bool operator==(const runner_rates &) const = default;
};

runner_rates ratesOf(const runner_spec &spec);

/// The part of a runner_spec that routing reads, stored contiguously.
struct indexed_runner
{
    runner_rates rates;
    std::uint32_t zone = UINT32_MAX; ///< Index into inventory::zones.
    engine_role startRole = engine_role::Mixed;
    bool isModelExpected = false; ///< Served by its pool; assumed loaded before a report.

    bool operator==(const indexed_runner &) const = default;
};

struct indexed_candidate
{
    runner_handle runner;
    indexed_runner facts;

    bool operator==(const indexed_candidate &) const = default;
};

/// Runners that can serve one model or service, except those that are draining. If all of them are
/// draining, the list exists and is empty.
struct candidate_list
{
    std::vector<indexed_candidate> runners;
    std::vector<std::uint64_t> idHashes; ///< In the same order, for rendezvous hashing.

    bool operator==(const candidate_list &) const = default;
};

/// Maps models and services to the runners that can serve them according to the inventory. Built
/// once per configuration, so that routing visits only the runners that can serve a request.
struct view_index
{
    std::shared_ptr<const inventory> fleet; ///< Inventory that the index was built from.
    text_map<candidate_list> models; ///< Engines by the models they support.
    text_map<candidate_list> services; ///< Runners by plain service.
    text_map<runner_handle> ids;
    text_map<std::uint32_t> zones;
};

view_index indexOf(std::shared_ptr<const inventory> fleet);

} // namespace poplarspool::policy
