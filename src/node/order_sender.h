#pragma once

#include "poplarspool/runner/engine.h"

#include <functional>

namespace poplarspool::node {

/// Called when a connection for an order stands and is guarded, right before the order is sent.
using before_send = std::function<void()>;

/// @returns The same engines, but that each order goes out on a connection of its own, under the
///          calling thread's order_guard: a pooled connection that was aborted could not be told
///          from one that is in use elsewhere. Without a guard nothing is sent.
/// @param hook For tests: the worst point at which the process can be stopped.
runner::engine_api withGuardedOrders(runner::engine_api engines, const before_send &hook = {});

} // namespace poplarspool::node
