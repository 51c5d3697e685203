#pragma once

#include <cstddef>

namespace poplarspool::test {

/// While it lives, no allocation of more bytes succeeds, on any thread.
class scarce_memory
{
public:
    explicit scarce_memory(std::size_t mostBytes);
    scarce_memory(const scarce_memory &) = delete;
    scarce_memory &operator=(const scarce_memory &) = delete;
    ~scarce_memory();
};

} // namespace poplarspool::test
