#pragma once

#include "poplarspool/base/settings.h"

#include <memory>

namespace poplarspool::node {

/// One entry instance: all libraries wired together, the content of `poplarspool serve`.
class instance
{
public:
    explicit instance(settings choices);
    ~instance();

    /// Binds all addresses and starts all threads.
    result<unit> start();
    /// Was asked to read its settings anew: they are read at the start only, and the log says so.
    void noteReload();
    /// Begins a graceful shutdown: marked leaving, serves for the grace time and until the last
    /// stream is done. Returns at once.
    void leave();
    /// Waits until the shutdown is complete.
    void wait();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::node
