#pragma once

#include "base/socket.h"
#include "poplarspool/base/metrics.h"

namespace poplarspool::gateway {

/// Carries bytes between two connected sockets, in both directions, until both sides have closed
/// their connections or one has failed. A graceful close of one side is passed on after the bytes
/// before it; a reset resets the other connection at once. Each direction buffers at most
/// config::tunnelBufferBytes: a slow receiver slows its sender down.
/// @param interruptFd Ends both connections when it becomes readable.
void carryBytes(descriptor near, descriptor far, int interruptFd, counter &bytesCarried);

} // namespace poplarspool::gateway
