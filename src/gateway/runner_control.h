#pragma once

#include "base/connection_pool.h"
#include "gateway/runner_call.h"
#include "gateway/runner_connector.h"
#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/dialect.h"

namespace poplarspool::gateway {

/// Status with which a runner says that the request is for another runner or for another stage.
inline constexpr int misdirectedStatus = 421;

/// Sends a request of the gateway itself to a runner, over a direct connection only: an order must
/// come from the instance that holds the right to it.
/// @param check Called once the connection is established, right before the first byte is sent; if
///              it returns false, nothing is sent.
/// @returns The whole reply. The verdict of an error is NotRun if no byte was sent.
/// @attention A failed call resets its connection: bytes still queued are never sent.
result<http_reply> callRunner(connection_pool &connections, const dialect &names,
                              const runner &target, const http_request &request,
                              milliseconds timeout, const std::function<bool()> &check = {});

/// As above, over a tunnel if the runner's link is broken.
result<http_reply> callRunner(runner_connector &connections, const dialect &names,
                              const runner &target, const http_request &request,
                              milliseconds timeout);

struct whole_reply
{
    http_reply reply;
    descriptor connection; ///< Open if another call can use it.
};

/// Sends one request on the given connection.
/// @param name Name for errors, such as "runner i-1".
/// @param check As for callRunner().
/// @attention As for callRunner().
result<whole_reply> callOn(descriptor connection, const std::string &name,
                           const request_text &request, socket_deadline deadline,
                           const std::function<bool()> &check);

/// @returns Time for which the connection can be reused after a reply with these headers; if not
///          positive, it can't be reused.
milliseconds idleTimeOf(const http_headers &headers);

} // namespace poplarspool::gateway
