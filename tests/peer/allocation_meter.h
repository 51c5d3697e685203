#pragma once

#include <cstddef>

namespace poplarspool::peer {

/// Counts what this thread allocates while it lives.
class allocation_meter
{
public:
    allocation_meter();
    std::size_t bytes() const;

private:
    std::size_t before;
};

} // namespace poplarspool::peer
