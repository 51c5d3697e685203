#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/result.h"

#include <atomic>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace poplarspool {

/// Accepts connections by cpp-httplib and hands each to a function.
class http_listener : private httplib::Server
{
public:
    using connection_taker = std::function<void(int fd)>;

    /// @param take Becomes the owner of the descriptor; runs on the accepting thread.
    explicit http_listener(connection_taker take);
    ~http_listener() override;

    result<endpoint> start(const endpoint &bind);
    /// No connection is handed on afterwards.
    void stop();

private:
    bool process_and_close_socket(socket_t fd) override;
    bool bindTo(const endpoint &address);
    void acceptUntilStopped(const endpoint &address);

    const connection_taker take;
    std::mutex guard; ///< Of binding against stopping.
    bool isStopped = false;
    std::thread acceptor;
};

} // namespace poplarspool
