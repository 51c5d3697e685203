#pragma once

#include "poplarspool/base/metrics.h"

#include <atomic>
#include <cstddef>

namespace poplarspool {

/// @param memoryMb Memory of the process, in MiB.
/// @returns Bytes that requests and answers at work may hold together.
std::size_t requestMemoryBytes(double memoryMb);

/// Limits the bytes that all requests of one process hold together. Limits per request don't: their
/// number times the largest body is far more than a process may use, and one that exceeds its
/// memory is killed with all its requests.
class memory_budget
{
public:
    memory_budget(std::size_t maxBytes, metrics_registry &metrics);

    /// @param held Bytes that the same request holds already. The last part of the budget is kept
    ///             for requests that hold no more than config::smallRequestBytes.
    /// @returns Whether the bytes were reserved.
    bool reserve(std::size_t bytes, std::size_t held);
    void release(std::size_t bytes);

private:
    const std::size_t maxBytes;
    std::atomic<std::size_t> reservedBytes{0};
    gauge &reservedGauge;
    counter &refused;
};

/// The bytes that one request and its answer hold. They are released at the end of the request.
class memory_reservation
{
public:
    /// @param budget Null: no limit.
    explicit memory_reservation(memory_budget *budget) : budget(budget) { }
    memory_reservation(const memory_reservation &) = delete;
    memory_reservation &operator=(const memory_reservation &) = delete;
    ~memory_reservation();

    /// @returns Whether `bytes` more were reserved.
    bool extend(std::size_t bytes);

private:
    memory_budget *const budget;
    std::size_t heldBytes = 0;
};

} // namespace poplarspool
