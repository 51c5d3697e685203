#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/result.h"

#include <atomic>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace poplarspool {

/// Accepts connections with cpp-httplib and passes each to a handler.
class http_listener : private httplib::Server
{
public:
    using connection_handler = std::function<void(int fd)>;

    /// @param onConnection Takes ownership of the descriptor. Runs on the accepting thread.
    explicit http_listener(connection_handler onConnection);
    ~http_listener() override;

    result<endpoint> start(const endpoint &bind);
    /// Stops accepting. No connection is passed to the handler afterwards.
    void stop();

private:
    bool process_and_close_socket(socket_t fd) override;
    bool bindTo(const endpoint &address);
    void acceptUntilStopped(const endpoint &address);

    const connection_handler onConnection;
    std::mutex guard; ///< Serialises binding and stopping.
    bool isStopped = false;
    std::thread acceptor;
};

} // namespace poplarspool
