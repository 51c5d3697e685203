#include "poplarspool/base/process_memory.h"

#include "poplarspool/base/limits.h"

#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace poplarspool {

namespace {

std::int64_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    if (!(file >> total >> resident))
        return 0;
    return resident * sysconf(_SC_PAGESIZE);
}

} // namespace

process_memory currentProcessMemory()
{
    const struct mallinfo2 info = mallinfo2();
    return {residentBytes(), static_cast<std::int64_t>(info.uordblks + info.hblkhd),
            static_cast<std::int64_t>(info.fordblks)};
}

void limitRetainedMemory()
{
    mallopt(M_ARENA_MAX, config::mallocArenas);
    mallopt(M_MMAP_THRESHOLD, config::mappedBlockBytes);
}

process_memory_gauges::process_memory_gauges(metrics_registry &metrics)
    : resident(metrics.gaugeOf("poplarspool_memory_resident_bytes")),
      allocated(metrics.gaugeOf("poplarspool_memory_allocated_bytes")),
      retained(metrics.gaugeOf("poplarspool_memory_retained_bytes"))
{ }

void process_memory_gauges::update()
{
    const process_memory now = currentProcessMemory();
    resident.set(now.resident);
    allocated.set(now.allocated);
    retained.set(now.retained);
}

} // namespace poplarspool
