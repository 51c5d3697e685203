#include "base/http_listener.h"

#include "base/socket.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/base/named_thread.h"

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

namespace poplarspool {

namespace {

/// Pause between two tries to bind the address again after the listening socket was lost.
constexpr std::chrono::milliseconds rebindPause{50};

/// Runs each task on the accepting thread. The server has its own thread pool, which rejects
/// connections above its limit immediately; the library's pool would queue them without a limit.
class inline_task_queue : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override { task(); }
    void shutdown() override { }
};

/// Replaces the library's default SO_REUSEPORT, with which a second process could bind the same
/// port and receive half of its connections without an error.
void setListenerOptions(int fd)
{
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    limitReceiveBuffer(fd);
}

} // namespace

http_listener::http_listener(connection_handler onConnection)
    : onConnection(std::move(onConnection))
{
    new_task_queue = [] { return new inline_task_queue; };
    set_socket_options(setListenerOptions);
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
    // The library's backlog is 5: in a burst, most connections would be delayed by seconds.
    if (bound.port == 0 || ::listen(svr_sock_, config::listenBacklog) != 0)
        return notRun(error_code::Unavailable, "can't listen on " + textOf(bind));
    acceptor = startNamedThread("http_accept", [this, bound] { acceptUntilStopped(bound); });
    return bound;
}

/// The library stops listening permanently on any error of accept() that it doesn't handle, such as
/// network errors of a connection that was already lost (ECONNABORTED, ENETDOWN). The instance
/// would continue to run without being reachable, so the address is bound again.
void http_listener::acceptUntilStopped(const endpoint &address)
{
    while (true) {
        listen_after_bind();
        std::unique_lock lock(guard);
        svr_sock_ = INVALID_SOCKET;
        while (!isStopped && !bindTo(address)) {
            lock.unlock();
            std::this_thread::sleep_for(rebindPause);
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
    onConnection(fd);
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
