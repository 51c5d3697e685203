#include "peer/datagram_port.h"

#include "peer/numeric_address.h"
#include "poplarspool/config.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace poplarspool::peer {

datagram_port::datagram_port(datagram_settings choices, frame_kind kind, metrics_registry &metrics,
                             const std::string &metric)
    : choices(std::move(choices)), kind(kind), key(deriveFrameKey(this->choices.key)),
      sent(metrics.counterOf(metric + "{direction=\"sent\"}")),
      dropped(metrics.counterOf(metric + "{direction=\"dropped\"}")),
      untold(metrics.counterOf(metric + "{direction=\"untold\"}"))
{ }

result<unit> datagram_port::open()
{
    const auto address = numericAddressOf(choices.address);
    const error failure =
            notRun(error_code::Unavailable, "can't bind UDP " + textOf(choices.address));
    if (!address)
        return failure;
    socket = descriptor(::socket(address->family(), SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!socket.isOpen() || bind(socket.get(), address->get(), address->size) != 0)
        return failure;
    return unit{};
}

void datagram_port::send(const std::vector<endpoint> &to, const result<std::string> &payload)
{
    if (!succeeded(payload))
        return untold.add();
    frame_header header;
    header.kind = kind;
    header.sender = senderNumber(choices.self);
    header.senderLife = choices.life;
    header.counter = ++counterSent;
    const std::string frame = sealFrame(key, header, valueOf(payload));
    for (const endpoint &peer : to) {
        const auto address = numericAddressOf(peer);
        if (!address)
            continue;
        // A datagram that the kernel refuses is lost like any other.
        sendto(socket.get(), frame.data(), frame.size(), MSG_DONTWAIT, address->get(),
               address->size);
        sent.add();
    }
}

void datagram_port::receive(
        const std::function<bool(std::uint64_t sender, std::string_view payload)> &take)
{
    std::array<char, config::maxDatagramBytes + 1> buffer; // NOLINT: filled by recv()
    while (true) {
        const ssize_t size = recv(socket.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size < 0 && errno == EINTR)
            continue;
        if (size < 0)
            return;
        if (!takeFrame({buffer.data(), static_cast<std::size_t>(size)}, take))
            dropped.add();
    }
}

/// Late and repeated datagrams are dropped: an older state would undo a newer one.
bool datagram_port::takeFrame(std::string_view bytes,
                              const std::function<bool(std::uint64_t, std::string_view)> &take)
{
    const auto opened = openFrame(key, bytes);
    const auto *frame = std::get_if<opened_frame>(&opened);
    if (frame == nullptr || frame->header.kind != kind)
        return false;
    const sender_mark mark{frame->header.senderLife, frame->header.counter};
    sender_mark &last = marks[frame->header.sender];
    if (mark <= last || !take(frame->header.sender, frame->payload))
        return false;
    last = mark;
    return true;
}

} // namespace poplarspool::peer
