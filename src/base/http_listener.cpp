#include "base/http_listener.h"

#include "poplarspool/base/named_thread.h"
#include "poplarspool/config.h"

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

namespace poplarspool {

namespace {

/// Time before a listening socket that was lost is bound again.
constexpr std::chrono::milliseconds rebindTime{50};

/// Runs each task on the accepting thread: the server has its own threads, which refuse at once
/// what the library's queue would let wait unseen.
class direct_queue : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override { task(); }
    void shutdown() override { }
};

/// The library's default is SO_REUSEPORT, which lets a second process take the same port and half
/// of its connections without any error.
void allowQuickRestart(int fd)
{
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
}

} // namespace

http_listener::http_listener(connection_taker take) : take(std::move(take))
{
    new_task_queue = [] { return new direct_queue; };
    set_socket_options(allowQuickRestart);
}

http_listener::~http_listener()
{
    stop();
}

result<endpoint> http_listener::start(const endpoint &bind)
{
    const std::lock_guard lock(guard);
    endpoint bound = bind;
    if (bind.port == 0) {
        const int port = bind_to_any_port(bind.host);
        bound.port = static_cast<std::uint16_t>(std::max(port, 0));
    } else if (!bind_to_port(bind.host, bind.port)) {
        bound.port = 0;
    }
    // The library's backlog is 5: in a burst, most connections would wait for seconds.
    if (bound.port == 0 || ::listen(svr_sock_, config::listenBacklog) != 0)
        return notRun(error_code::Unavailable, "can't listen on " + textOf(bind));
    acceptor = startNamed("http_accept", [this, bound] { acceptUntilStopped(bound); });
    return bound;
}

/// The library stops listening for good at any error of accept() that it doesn't know, among them
/// network errors of a connection that is already lost again (ECONNABORTED, ENETDOWN). The instance
/// would live on without being reachable; so the address is bound again.
void http_listener::acceptUntilStopped(const endpoint &address)
{
    while (true) {
        listen_after_bind();
        std::unique_lock lock(guard);
        svr_sock_ = INVALID_SOCKET;
        while (!isStopped && !bindTo(address)) {
            lock.unlock();
            std::this_thread::sleep_for(rebindTime);
            lock.lock();
        }
        if (isStopped)
            return;
    }
}

bool http_listener::bindTo(const endpoint &address)
{
    return bind_to_port(address.host, address.port)
            && ::listen(svr_sock_, config::listenBacklog) == 0;
}

bool http_listener::process_and_close_socket(socket_t fd)
{
    take(fd);
    return true;
}

void http_listener::stop()
{
    {
        const std::lock_guard lock(guard);
        isStopped = true;
        const int fd = svr_sock_.exchange(INVALID_SOCKET);
        if (fd != INVALID_SOCKET) {
            shutdown(fd, SHUT_RDWR);
            close(fd);
        }
    }
    if (acceptor.joinable())
        acceptor.join();
}

} // namespace poplarspool
