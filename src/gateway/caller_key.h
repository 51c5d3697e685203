#pragma once

#include "poplarspool/gateway/dialect.h"
#include "poplarspool/gateway/route_index.h"

namespace poplarspool::gateway {

/// @param index Of the table.
/// @returns The workspace whose key the request shows; null where it shows none, an unknown one, or
///          more than one.
const workspaces::workspace *keyOwnerOf(const http_request &request, const dialect &names,
                                        const route_table &table, const route_index &index);

} // namespace poplarspool::gateway
