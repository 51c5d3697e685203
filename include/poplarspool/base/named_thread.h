#pragma once

#include "poplarspool/base/journal.h"

#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace poplarspool {

/// Starts a thread that is known by a name, such as "store_watch_config".
std::thread startNamed(std::string name, std::function<void()> run);

/// @returns The calling thread's name; "unnamed" where it was not given one.
std::string_view threadName();

/// While it lives, an exception that nobody catches is logged with its thread before it ends the
/// process: `uncaught_exception thread=… type=… reason=…`.
/// @attention One at a time.
class uncaught_log
{
public:
    /// @param events Must outlive this.
    explicit uncaught_log(journal &events);
    uncaught_log(const uncaught_log &) = delete;
    uncaught_log &operator=(const uncaught_log &) = delete;
    ~uncaught_log();
};

} // namespace poplarspool
