#include "peer/listen.h"

#include "peer/numeric_address.h"

#include <netinet/in.h>
#include <sys/socket.h>

namespace poplarspool::peer {

namespace {

constexpr int listenBacklog = 512;

error bindFailure(const endpoint &bindAddress, std::string_view step)
{
    return notRun(error_code::Unavailable,
                  "can't " + std::string(step) + " TCP " + textOf(bindAddress));
}

} // namespace

result<descriptor> listenOn(const endpoint &bindAddress)
{
    const auto address = numericAddressOf(bindAddress);
    if (!address)
        return bindFailure(bindAddress, "parse");
    descriptor listener(socket(address->family(), SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const int yes = 1;
    setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    limitReceiveBuffer(listener.get());
    if (bind(listener.get(), address->get(), address->size) != 0)
        return bindFailure(bindAddress, "bind");
    if (listen(listener.get(), listenBacklog) != 0)
        return bindFailure(bindAddress, "listen on");
    return listener;
}

} // namespace poplarspool::peer
