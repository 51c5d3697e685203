#include "base/allocation_limit.h"

#include <atomic>
#include <cstdlib>
#include <limits>
#include <new>

namespace {

std::atomic<std::size_t> maxAllocation{std::numeric_limits<std::size_t>::max()};

} // namespace

// All ordinary forms are replaced together, because the library's sorting allocates its buffer with
// one form and frees it with another.

void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    return size > maxAllocation ? nullptr : std::malloc(size);
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

allocation_limit::allocation_limit(std::size_t maxBytes)
{
    maxAllocation = maxBytes;
}

allocation_limit::~allocation_limit()
{
    maxAllocation = std::numeric_limits<std::size_t>::max();
}

} // namespace poplarspool::test
