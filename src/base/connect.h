#pragma once

#include "base/socket.h"

#include <span>
#include <vector>

namespace poplarspool {

/// How an attempt to connect has ended.
enum class connect_end {
    Connected,
    Refused, ///< The host refuses the connection (ECONNREFUSED).
    Silent, ///< No answer before the deadline.
    Interrupted,
    InvalidAddress, ///< Not an IP address and port.
    Failed, ///< For another reason.
};

struct connect_result
{
    descriptor connection; ///< Open if connected.
    connect_end end = connect_end::Failed;
    std::string_view reason; ///< Of a failure, for a message.
};

/// Connects a socket with TCP_NODELAY.
/// @param interruptFd Descriptor that interrupts the wait; -1 for none.
connect_result tryConnect(const endpoint &to, socket_deadline deadline, int interruptFd);

/// As tryConnect(), with an error that names the address.
result<descriptor> connectTo(const endpoint &to, socket_deadline deadline, int interruptFd);

/// @returns The error of an attempt that has not connected.
error connectErrorOf(const endpoint &to, const connect_result &failed);

/// @returns Whether the host refuses the connection; false if it doesn't answer before the
///          deadline.
bool isConnectionRefused(const endpoint &to, socket_deadline deadline);

/// Connects to all addresses at once and closes the connections.
/// @returns The ends, in the order of the addresses.
std::vector<connect_end> probeAll(std::span<const endpoint> addresses, socket_deadline deadline);

} // namespace poplarspool
