#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/result.h"
#include "poplarspool/caller/caller_server.h"

namespace poplarspool::caller {

/// Parses and validates the headers that are common to all requests.
/// @param request Id generated for this request.
/// @returns BadRequest (NotRun) that names the invalid header.
result<request_head> parseHead(const http_headers &headers, request_id request,
                               mono_time arrivedAt);

/// @returns The headers to forward to a service: with the request id, and without the caller's key,
///          claimed name and time limit, which are meant for the instance only.
http_headers headersForService(const http_headers &headers, const request_id &request);

} // namespace poplarspool::caller
