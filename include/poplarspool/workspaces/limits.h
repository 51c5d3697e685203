#pragma once

#include <chrono>
#include <cstddef>

/// Limits for workspaces.
namespace poplarspool::config {

/// Maximum size in bytes of a key to look up; operators issue no longer keys.
inline constexpr std::size_t maxWorkspaceKeyBytes = 512;

} // namespace poplarspool::config
