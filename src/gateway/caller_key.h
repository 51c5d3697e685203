#pragma once

#include "poplarspool/gateway/dialect.h"
#include "poplarspool/gateway/route_index.h"

namespace poplarspool::gateway {

/// @param index Index of `table`.
/// @returns The workspace whose key the request carries; null if it carries no key, an unknown key
///          or more than one key header.
const workspaces::workspace *keyOwnerOf(const http_request &request, const dialect &names,
                                        const route_table &table, const route_index &index);

} // namespace poplarspool::gateway
