#pragma once

#include "base/connection_pool.h"
#include "gateway/runner_call.h"
#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/dialect.h"

namespace poplarspool::gateway {

/// Calls of ours to a runner that carry no caller's request.
/// @param check Asked once the connection stands, right before the first byte is sent; false:
///              nothing may be sent any more.
/// @returns The whole reply. A failure's verdict is NotRun where no byte has left.
/// @attention A call that fails resets its connection: what is still queued never leaves.
result<http_reply> askRunner(connection_pool &connections, const dialect &names,
                             const runner &target, const http_request &asked, milliseconds time,
                             const std::function<bool()> &check = {});

struct whole_reply
{
    http_reply reply;
    descriptor connection; ///< Open where another call can use it.
};

/// One call on a connection of its own.
/// @param who For errors, such as "runner i-1".
/// @param check As for askRunner().
/// @attention As for askRunner().
result<whole_reply> callOn(descriptor connection, const std::string &who, std::string_view request,
                           socket_deadline deadline, const std::function<bool()> &check);

/// @returns When a connection can be used again after that reply; zero or less: not at all.
milliseconds idleTimeOf(const http_headers &headers);

} // namespace poplarspool::gateway
