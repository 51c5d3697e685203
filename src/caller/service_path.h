#pragma once

#include "poplarspool/base/result.h"

#include <string>
#include <string_view>

namespace poplarspool::caller {

/// The service that a request is for, and the path within that service.
struct service_target
{
    std::string service;
    std::string path; ///< Path as the service sees it, in canonical form, with the query.

    bool operator==(const service_target &) const = default;
};

/// Parses `/v1/services/NAME/PATH?QUERY`.
///
/// Rules select calls that run at most once by a path prefix. A path that a service resolves to
/// `/receipts` but that does not match the rule's prefix (`/x/../receipts`, `//receipts`,
/// `/%72eceipts`) would be treated as retryable, and a retry could create the receipt twice. So dot
/// segments and empty segments are rejected, and escaped unreserved characters are decoded
/// (RFC 3986, 6.2.2.2): each resource has exactly one path.
/// @param target Path with query, after `/v1/services/`.
/// @returns BadRequest (NotRun) if the name or the path is invalid.
result<service_target> parseServiceTarget(std::string_view target);

} // namespace poplarspool::caller
