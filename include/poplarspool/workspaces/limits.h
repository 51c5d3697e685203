#pragma once

#include <chrono>
#include <cstddef>

/// Limits for workspaces.
namespace poplarspool::config {

/// Maximum size in bytes of a key that is looked up. Operators issue no keys above this size.
inline constexpr std::size_t maxWorkspaceKeyBytes = 512;

} // namespace poplarspool::config
