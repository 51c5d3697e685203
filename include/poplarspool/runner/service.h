#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/result.h"
#include "poplarspool/policy/view.h"

#include <functional>
#include <memory>

namespace poplarspool::runner {

/// Interface to a plain service.
struct service_api
{
    /// Forwards one request. The receivers get the reply's head, then its body as it arrives.
    std::function<result<http_reply>(const endpoint &, const http_request &, milliseconds timeLimit,
                                     const http_head_receiver &, const http_receiver &)>
            call;
    /// Checks the health and load of the service (`GET /load`); one without that path counts as up.
    std::function<result<policy::load_report>(const endpoint &)> load;
};

service_api httpServiceApi(const std::shared_ptr<http_pool> &pool);

/// @returns The end-to-end headers, without the hop-by-hop headers of the connection.
http_headers endToEndHeaders(const http_headers &headers);

} // namespace poplarspool::runner
