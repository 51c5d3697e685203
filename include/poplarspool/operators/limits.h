#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of inventories, rules and operator calls.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Limits of an inventory.
inline constexpr std::size_t maxZones = 64;
inline constexpr std::size_t maxPools = 64;
inline constexpr std::size_t maxRunners = 4096;
inline constexpr std::size_t maxModels = 64;
inline constexpr std::size_t maxAdapters = 1024;
/// Limits of the rules.
inline constexpr std::size_t maxClasses = 16;
inline constexpr std::size_t maxCallers = 4096;
inline constexpr std::size_t maxWorkspaces = 16384;
inline constexpr std::size_t maxRequestRules = 1024;
/// Bounds of the memory of a process, in MiB.
inline constexpr double minMemoryMb = 1;
inline constexpr double maxMemoryMb = 1e6;
/// Minimum and maximum length of the secret that the instances share, in bytes.
inline constexpr std::size_t minPeerKeyBytes = 16;
inline constexpr std::size_t maxPeerKeyBytes = 256;
/// Maximum size of one request to the operator address, in bytes: two files of maxObjectBytes,
/// escaped.
inline constexpr std::size_t maxOperatorBodyBytes = 5 * 1024 * 1024;
/// Maximum number of connections to the operator address.
inline constexpr std::uint32_t maxOperatorConnections = 32;
/// Time limit of one call made by an operator command.
inline constexpr std::chrono::milliseconds operatorCallTimeout = 10s;
/// Number of accepted changes recorded in the configuration's head, so that a late retry gets the
/// correct answer.
inline constexpr std::size_t headHistorySize = 16;

} // namespace poplarspool::config
