#pragma once

#include "base/socket.h"

namespace poplarspool::peer {

/// @returns A non-blocking socket that listens at the address (TCP).
result<descriptor> listenOn(const endpoint &bindAddress);

} // namespace poplarspool::peer
