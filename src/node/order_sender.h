#pragma once

#include "poplarspool/runner/engine.h"

#include <functional>

namespace poplarspool::node {

/// Called when the connection for an order is established and guarded, right before the order is
/// sent.
using before_send = std::function<void()>;

/// @returns The same API, except that each order is sent on a connection of its own under the
///          calling thread's order_guard: an aborted connection of a pool could not be
///          distinguished from one in use by another thread. Without a guard nothing is sent.
/// @param hook For tests: called at the worst point at which the process can be stopped.
runner::engine_api withGuardedOrders(runner::engine_api engines, const before_send &hook = {});

} // namespace poplarspool::node
