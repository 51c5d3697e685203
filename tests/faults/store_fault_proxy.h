#pragma once

#include "poplarspool/base/http.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace poplarspool::faults {

/// HTTP proxy between an instance and the stand-in platform. Injects a fault exactly between a
/// write taking effect and its answer, or disconnects a single instance from the platform.
class store_fault_proxy
{
public:
    /// Called after a write took effect and before the writer gets the answer. Returns false to
    /// drop the answer.
    using write_hook = std::function<bool(const http_request &write)>;

    store_fault_proxy(const endpoint &listen, const endpoint &platform);
    ~store_fault_proxy();

    void setWriteHook(write_hook hook);
    /// While blocked, the connection of each call is closed without an answer. Calls in progress
    /// lose the answer that they get from the platform.
    void setBlocked(bool isBlocked);

private:
    std::optional<http_reply> forward(const http_request &request);

    const endpoint platform;
    metrics_registry metrics;
    http_pool pool;
    std::atomic<bool> blocked{false};
    std::mutex mutex;
    write_hook writeHook;
    http_server server;
};

/// @returns The order record that a write stores, as JSON text; empty if it stores something else.
std::string extractOrderRecord(const http_request &write);

} // namespace poplarspool::faults
