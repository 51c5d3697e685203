#pragma once

#include "poplarspool/base/result.h"

#include <string>
#include <string_view>

namespace poplarspool::caller {

/// A call of a plain service, as it stands in the path of a request.
struct service_target
{
    std::string service;
    std::string path; ///< The service's own, with the query; in one form per place.

    bool operator==(const service_target &) const = default;
};

/// Takes `/v1/services/NAME/PATH?QUERY` apart.
///
/// Rules say by the start of a path which calls run at most once. A path that a service reads as
/// `/receipts` and the rules don't (`/x/../receipts`, `//receipts`, `/%72eceipts`) would be taken
/// for repeatable, and a receipt would be made twice. So dot segments and empty segments are
/// refused, and escapes of characters that need none are undone (RFC 3986, 6.2.2.2): one place has
/// one form.
/// @param target Path with query, after `/v1/services/`.
/// @returns BadRequest (not run).
result<service_target> parseServiceTarget(std::string_view target);

} // namespace poplarspool::caller
