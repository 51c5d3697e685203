#include "allocation_meter.h"

#include <cstdlib>
#include <new>

namespace {

thread_local std::size_t allocatedBytes = 0;

} // namespace

// All ordinary forms are replaced together, because std::stable_sort allocates its buffer with one
// form and frees it with another.

void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    allocatedBytes += size;
    return std::malloc(size);
}

void *operator new(std::size_t size)
{
    if (void *memory = operator new(size, std::nothrow))
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

void operator delete(void *memory, const std::nothrow_t &) noexcept
{
    std::free(memory);
}

namespace poplarspool::test {

allocation_meter::allocation_meter() : before(allocatedBytes) { }

std::size_t allocation_meter::bytes() const
{
    return allocatedBytes - before;
}

} // namespace poplarspool::test
