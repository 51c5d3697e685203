#pragma once

#include <cstddef>

namespace poplarspool::test {

/// During its lifetime, allocations of more than maxBytes fail on all threads.
class scarce_memory
{
public:
    explicit scarce_memory(std::size_t maxBytes);
    scarce_memory(const scarce_memory &) = delete;
    scarce_memory &operator=(const scarce_memory &) = delete;
    ~scarce_memory();
};

} // namespace poplarspool::test
