#pragma once

#include "base/socket.h"
#include "peer/datagram_socket.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/named_thread.h"

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace poplarspool::peer {

/// Callbacks on the thread of the loop.
struct datagram_handlers
{
    /// Sends the updates that are due.
    /// @returns Time of the next call.
    std::function<mono_time()> sendDue;
    /// Handles a received payload.
    /// @returns False if the payload can't be decoded.
    std::function<bool(std::uint64_t sender, std::string_view payload)> receive;
};

/// A thread that periodically sends updates to other instances and receives theirs.
class datagram_loop
{
public:
    /// @param name Name of the thread.
    /// @param metric See datagram_socket.
    datagram_loop(std::string name, datagram_settings settings, frame_kind kind,
                  const std::string &metric, datagram_handlers handlers, clock_source clock,
                  metrics_registry &metrics, journal &events);
    ~datagram_loop();

    result<unit> start();
    void stop();
    /// Thread-safe.
    void send(const std::vector<endpoint> &to, const result<std::string> &payload);

private:
    void run();
    void runOnce();

    const std::string name;
    const datagram_handlers handlers;
    const clock_source clock;
    const step_failure_reporter faults;
    std::mutex sendGuard;
    datagram_socket socket;
    pollable_flag stopping;
    std::thread thread;
    mono_time nextSendAt{}; ///< Time of the next sendDue(). Used by the thread only.
};

} // namespace poplarspool::peer
