#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/result.h"
#include "poplarspool/caller/caller_server.h"

namespace poplarspool::caller {

/// Reads and checks the headers that every request may bring.
/// @param request Its new id.
/// @returns BadRequest (not run) that names the faulty header.
result<request_head> parseHead(const http_headers &headers, request_id request,
                               mono_time arrivedAt);

/// @returns Headers for a plain service: without the caller's key and claimed name, which are for
///          this system alone, and with the id of the request.
http_headers headersForService(const http_headers &headers, const request_id &request);

} // namespace poplarspool::caller
