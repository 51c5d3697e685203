#pragma once

#include "poplarspool/base/http.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace poplarspool::faults {

/// Stands between instances and the stand-in platform, so that a fault comes exactly between a
/// write's effect and its answer, or cuts off one instance alone.
class store_gate
{
public:
    /// Sees a write that took effect before its writer does; returns false to lose the answer.
    using write_hook = std::function<bool(const http_request &write)>;

    store_gate(const endpoint &listen, const endpoint &platform);
    ~store_gate();

    void setHook(write_hook hook);
    /// Breaks all calls, those under way too once they have their answer.
    void setClosed(bool isClosed);

private:
    std::optional<http_reply> pass(const http_request &request);

    const endpoint platform;
    metrics_registry metrics;
    http_pool pool;
    std::atomic<bool> closed{false};
    std::mutex mutex;
    write_hook onWrite;
    http_server server;
};

/// @returns The order record that a write puts, as JSON text; empty where it puts something else.
std::string orderRecordIn(const http_request &write);

} // namespace poplarspool::faults
