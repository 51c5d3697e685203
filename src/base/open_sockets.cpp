#include "base/open_sockets.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace poplarspool {

namespace {

std::int64_t queueSize(int fd, unsigned long queue)
{
    int bytes = 0;
    return ioctl(fd, queue, &bytes) == 0 ? bytes : 0;
}

} // namespace

void open_sockets::add(int fd)
{
    const std::lock_guard lock(guard);
    descriptors.insert(fd);
}

void open_sockets::remove(int fd)
{
    const std::lock_guard lock(guard);
    descriptors.erase(fd);
}

queued_bytes open_sockets::queuedBytes() const
{
    const std::lock_guard lock(guard);
    queued_bytes all;
    for (const int fd : descriptors) {
        all.unread += queueSize(fd, SIOCINQ);
        all.unsent += queueSize(fd, SIOCOUTQ);
    }
    return all;
}

} // namespace poplarspool
