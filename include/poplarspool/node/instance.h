#pragma once

#include "poplarspool/base/settings.h"

#include <memory>

namespace poplarspool::node {

/// One instance of `poplarspool serve` with all its components.
class instance
{
public:
    explicit instance(settings choices);
    ~instance();

    /// Binds all addresses and starts all threads.
    result<unit> start();
    /// Logs that a request to reload the settings is ignored: they are read at start only.
    void recordReload();
    /// Begins a graceful shutdown and returns at once. The instance is announced as leaving; it
    /// serves for the grace period and until its last open stream has ended.
    void leave();
    /// Blocks until the shutdown is complete.
    void wait();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::node
