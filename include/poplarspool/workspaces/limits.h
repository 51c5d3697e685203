#pragma once

#include <chrono>
#include <cstddef>

/// Limits of what is known of workspaces.
namespace poplarspool::config {

/// Bytes of a key that is looked up; none that an operator hands out is longer.
inline constexpr std::size_t maxWorkspaceKeyBytes = 512;

} // namespace poplarspool::config
