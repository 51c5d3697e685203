#include "poplarspool/base/memory_budget.h"

#include "poplarspool/base/limits.h"

namespace poplarspool {

std::size_t requestMemoryBytes(double memoryMb)
{
    constexpr double mebibyte = 1024.0 * 1024.0;
    return static_cast<std::size_t>(memoryMb * mebibyte * config::requestMemoryShare);
}

memory_budget::memory_budget(std::size_t maxBytes, metrics_registry &metrics)
    : maxBytes(maxBytes), reservedGauge(metrics.gaugeOf("poplarspool_memory_reserved_bytes")),
      refused(metrics.counterOf("poplarspool_memory_refused_total"))
{
    metrics.gaugeOf("poplarspool_memory_budget_bytes").set(static_cast<std::int64_t>(maxBytes));
}

bool memory_budget::reserve(std::size_t bytes, std::size_t held)
{
    // Few large requests would otherwise turn away many small ones.
    const bool isSmall = bytes + held <= config::smallRequestBytes;
    const std::size_t bound =
            isSmall ? maxBytes : maxBytes - maxBytes / config::smallRequestReserveDivisor;
    std::size_t reserved = reservedBytes.load();
    do {
        if (bytes > bound || reserved > bound - bytes) {
            refused.add();
            return false;
        }
    } while (!reservedBytes.compare_exchange_weak(reserved, reserved + bytes));
    reservedGauge.add(static_cast<std::int64_t>(bytes));
    return true;
}

void memory_budget::release(std::size_t bytes)
{
    reservedBytes.fetch_sub(bytes);
    reservedGauge.add(-static_cast<std::int64_t>(bytes));
}

memory_reservation::~memory_reservation()
{
    if (budget != nullptr)
        budget->release(heldBytes);
}

bool memory_reservation::extend(std::size_t bytes)
{
    if (budget == nullptr)
        return true;
    if (!budget->reserve(bytes, heldBytes))
        return false;
    heldBytes += bytes;
    return true;
}

} // namespace poplarspool
