// Loaded into one gateway: refuses its connections to runners as long as a file exists, as a host
// does at which nothing listens. A runner can't tell apart who connects, so it can't refuse one
// gateway alone.

#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

/// Runners of the soak listen at this port.
constexpr std::uint16_t runnerPort = 8080;

bool isRefused(const sockaddr *to)
{
    if (to == nullptr || to->sa_family != AF_INET)
        return false;
    const char *file = std::getenv("SOAK_REFUSED_LINKS");
    return ntohs(reinterpret_cast<const sockaddr_in *>(to)->sin_port) == runnerPort
            && file != nullptr && access(file, F_OK) == 0;
}

} // namespace

extern "C" int connect(int fd, const sockaddr *to, socklen_t size)
{
    if (isRefused(to)) {
        errno = ECONNREFUSED;
        return -1;
    }
    using connect_call = int (*)(int, const sockaddr *, socklen_t);
    static const auto next = reinterpret_cast<connect_call>(dlsym(RTLD_NEXT, "connect"));
    return next(fd, to, size);
}
