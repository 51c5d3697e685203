#include "allocation_meter.h"

#include <cstdlib>
#include <new>

namespace {

thread_local std::size_t allocatedBytes = 0;

} // namespace

void *operator new(std::size_t size)
{
    allocatedBytes += size;
    if (void *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace poplarspool::peer {

allocation_meter::allocation_meter() : before(allocatedBytes) { }

std::size_t allocation_meter::bytes() const
{
    return allocatedBytes - before;
}

} // namespace poplarspool::peer
