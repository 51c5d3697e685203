#pragma once

#include <cstdint>
#include <mutex>
#include <set>

namespace poplarspool {

/// Bytes in the kernel's queues.
struct queued_bytes
{
    std::int64_t unread = 0; ///< Received and not yet read.
    std::int64_t unsent = 0; ///< Written and not yet acknowledged by the peer.

    bool operator==(const queued_bytes &) const = default;
};

/// The open connections of a server, for reports.
class open_sockets
{
public:
    void add(int fd);
    /// Must be called before the descriptor is closed.
    void remove(int fd);
    queued_bytes queuedBytes() const;

private:
    mutable std::mutex guard;
    std::set<int> descriptors;
};

} // namespace poplarspool
