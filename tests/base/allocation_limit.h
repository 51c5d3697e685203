#pragma once

#include <cstddef>

namespace poplarspool::test {

/// During its lifetime, allocations of more than maxBytes fail on all threads.
class allocation_limit
{
public:
    explicit allocation_limit(std::size_t maxBytes);
    allocation_limit(const allocation_limit &) = delete;
    allocation_limit &operator=(const allocation_limit &) = delete;
    ~allocation_limit();
};

} // namespace poplarspool::test
