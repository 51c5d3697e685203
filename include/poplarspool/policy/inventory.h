#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarspool::policy {

/// What a runner of a pool is.
enum class runner_kind { Engine, Service };

/// The part of the work that an engine takes.
enum class engine_role { Mixed, Prefill, Decode };

std::string_view nameOf(runner_kind kind);
std::string_view nameOf(engine_role role);

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

} // namespace poplarspool::policy
