#include "peer/datagram_loop.h"

#include "poplarspool/config.h"

#include <algorithm>
#include <poll.h>

namespace poplarspool::peer {

datagram_loop::datagram_loop(std::string name, datagram_settings choices, frame_kind kind,
                             const std::string &metric, datagram_handlers handlers,
                             clock_source clock, metrics_registry &metrics, journal &events)
    : name(std::move(name)), handlers(std::move(handlers)), clock(std::move(clock)),
      faults(stepFaultsOf(events, metrics)), port(std::move(choices), kind, metrics, metric)
{ }

datagram_loop::~datagram_loop()
{
    stop();
}

result<unit> datagram_loop::start()
{
    const auto opened = port.open();
    if (!succeeded(opened))
        return errorOf(opened);
    thread = startNamed(name, [this] { run(); });
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
    port.send(to, payload);
}

/// What is told is collected anew each time: that of a step that failed is lost like any datagram.
void datagram_loop::run()
{
    nextAt = clock.mono();
    while (!stopping.isRaised()) {
        if (!contained(faults, [this] { takeStep(); }))
            waitForSocket(-1, 0, socket_clock::now() + config::failedStepPause,
                          stopping.descriptorNumber());
    }
}

void datagram_loop::takeStep()
{
    if (clock.mono() >= nextAt)
        nextAt = handlers.tell();
    const auto left = std::chrono::ceil<milliseconds>(nextAt - clock.mono());
    waitForSocket(port.descriptorNumber(), POLLIN,
                  socket_clock::now() + std::max(left, milliseconds(0)),
                  stopping.descriptorNumber());
    port.receive([this](std::uint64_t sender, std::string_view payload) {
        bool isRead = false;
        // There is no pause: news of other senders would wait.
        return contained(faults, [&] { isRead = handlers.hear(sender, payload); }) && isRead;
    });
}

} // namespace poplarspool::peer
