#include "peer/datagram_loop.h"

#include "poplarspool/base/limits.h"

#include <algorithm>
#include <poll.h>

namespace poplarspool::peer {

datagram_loop::datagram_loop(std::string name, datagram_settings settings, frame_kind kind,
                             const std::string &metric, datagram_handlers handlers,
                             clock_source clock, metrics_registry &metrics, journal &events)
    : name(std::move(name)), handlers(std::move(handlers)), clock(std::move(clock)),
      faults(stepFailureReporterOf(events, metrics)),
      socket(std::move(settings), kind, metrics, metric)
{ }

datagram_loop::~datagram_loop()
{
    stop();
}

result<unit> datagram_loop::start()
{
    const auto opened = socket.open();
    if (!succeeded(opened))
        return errorOf(opened);
    thread = startNamedThread(name, [this] { run(); });
    return unit{};
}

void datagram_loop::stop()
{
    stopping.raise();
    if (thread.joinable())
        thread.join();
}

void datagram_loop::send(const std::vector<endpoint> &to, const result<std::string> &payload)
{
    const std::lock_guard lock(sendGuard);
    socket.send(to, payload);
}

/// Each iteration collects its update anew. The update of a failed iteration is lost, as any
/// datagram may be.
void datagram_loop::run()
{
    nextSendAt = clock.mono();
    while (!stopping.isRaised()) {
        if (!runLoggingExceptions(faults, [this] { runOnce(); }))
            waitForSocket(-1, 0, socket_clock::now() + config::failedStepPause,
                          stopping.descriptorNumber());
    }
}

void datagram_loop::runOnce()
{
    if (clock.mono() >= nextSendAt)
        nextSendAt = handlers.sendDue();
    const auto remaining = std::chrono::ceil<milliseconds>(nextSendAt - clock.mono());
    waitForSocket(socket.descriptorNumber(), POLLIN,
                  socket_clock::now() + std::max(remaining, milliseconds(0)),
                  stopping.descriptorNumber());
    socket.receive([this](std::uint64_t sender, std::string_view payload) {
        bool isDecoded = false;
        // No pause after a failure, because it would delay updates from other senders.
        return runLoggingExceptions(faults, [&] { isDecoded = handlers.receive(sender, payload); })
                && isDecoded;
    });
}

} // namespace poplarspool::peer
