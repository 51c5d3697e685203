#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/result.h"
#include "poplarspool/policy/view.h"

#include <functional>
#include <memory>

namespace poplarspool::runner {

/// The seam to a plain service.
struct service_api
{
    /// Passes one request on; the reply is handed on as it arrives, after its head.
    std::function<result<http_reply>(const endpoint &, const http_request &, milliseconds timeLimit,
                                     const http_head_receiver &, const http_receiver &)>
            call;
    /// Asks whether it is up and how busy (`GET /load`); a service without that page counts as up.
    std::function<result<policy::load_report>(const endpoint &)> load;
};

service_api httpServiceApi(const std::shared_ptr<http_pool> &pool);

/// @returns The headers that go end to end: without those of the connection (hop by hop).
http_headers endToEndHeaders(const http_headers &headers);

} // namespace poplarspool::runner
