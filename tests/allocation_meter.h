#pragma once

#include <cstddef>

namespace poplarspool::test {

/// Counts the bytes that the current thread has allocated since construction.
class allocation_meter
{
public:
    allocation_meter();
    std::size_t bytes() const;

private:
    std::size_t before;
};

} // namespace poplarspool::test
