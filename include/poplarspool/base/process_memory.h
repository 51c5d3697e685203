#pragma once

#include "poplarspool/base/metrics.h"

#include <cstdint>

namespace poplarspool {

/// Where the memory of this process is, in bytes.
struct process_memory
{
    std::int64_t resident = 0; ///< As the kernel counts it; 0 if that is unknown.
    std::int64_t allocated = 0; ///< In use by the program.
    std::int64_t retained = 0; ///< Freed by the program and kept by the allocator.

    bool operator==(const process_memory &) const = default;
};

process_memory currentProcessMemory();

/// Makes the allocator return large blocks to the system as soon as they are freed. By default it
/// stops doing so after the first ones: it then keeps them, and between smaller blocks their memory
/// is never returned.
void limitRetainedMemory();

/// Metrics of the process's memory.
class process_memory_gauges
{
public:
    explicit process_memory_gauges(metrics_registry &metrics);
    /// Sets them to the present values. Takes the allocator's locks: for reports only.
    void update();

private:
    gauge &resident;
    gauge &allocated;
    gauge &retained;
};

} // namespace poplarspool
