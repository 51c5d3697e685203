#pragma once

#include "base/socket.h"
#include "peer/datagram_port.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/named_thread.h"

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace poplarspool::peer {

/// All called on the loop's thread.
struct datagram_handlers
{
    /// Sends what is due.
    /// @returns When it is to be called again.
    std::function<mono_time()> tell;
    /// @returns False where the payload can't be read.
    std::function<bool(std::uint64_t sender, std::string_view payload)> hear;
};

/// A thread that tells other instances something now and then, and hears the same from them.
class datagram_loop
{
public:
    /// @param name Of the thread.
    /// @param metric As of datagram_port.
    datagram_loop(std::string name, datagram_settings choices, frame_kind kind,
                  const std::string &metric, datagram_handlers handlers, clock_source clock,
                  metrics_registry &metrics, journal &events);
    ~datagram_loop();

    result<unit> start();
    void stop();
    /// @attention Only from tell(), or after stop().
    void send(const std::vector<endpoint> &to, const result<std::string> &payload);

private:
    void run();
    void takeStep();

    const std::string name;
    const datagram_handlers handlers;
    const clock_source clock;
    const step_faults faults;
    datagram_port port;
    raised_flag stopping;
    std::thread thread;
    mono_time nextAt{}; ///< When to tell again. Of the thread alone.
};

} // namespace poplarspool::peer
