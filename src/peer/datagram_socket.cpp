#include "peer/datagram_socket.h"

#include "peer/numeric_address.h"
#include "poplarspool/peer/limits.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace poplarspool::peer {

datagram_socket::datagram_socket(datagram_settings settings, frame_kind kind,
                                 metrics_registry &metrics, const std::string &metric)
    : settings(std::move(settings)), kind(kind), key(deriveFrameKey(this->settings.key)),
      sent(metrics.counterOf(metric + "{direction=\"sent\"}")),
      dropped(metrics.counterOf(metric + "{direction=\"dropped\"}")),
      notSent(metrics.counterOf(metric + "{direction=\"untold\"}"))
{ }

result<unit> datagram_socket::open()
{
    const auto address = numericAddressOf(settings.address);
    const error failure =
            notRun(error_code::Unavailable, "can't bind UDP " + textOf(settings.address));
    if (!address)
        return failure;
    socket = descriptor(::socket(address->family(), SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!socket.isOpen() || bind(socket.get(), address->get(), address->size) != 0)
        return failure;
    return unit{};
}

void datagram_socket::send(const std::vector<endpoint> &to, const result<std::string> &payload)
{
    if (!succeeded(payload))
        return notSent.add();
    frame_header header;
    header.kind = kind;
    header.sender = senderNumber(settings.self);
    header.senderIncarnation = settings.incarnation;
    header.counter = ++counterSent;
    const std::string frame = sealFrame(key, header, valueOf(payload));
    for (const endpoint &peer : to) {
        const auto address = numericAddressOf(peer);
        if (!address)
            continue;
        // A datagram that the kernel rejects counts as lost in transit.
        sendto(socket.get(), frame.data(), frame.size(), MSG_DONTWAIT, address->get(),
               address->size);
        sent.add();
    }
}

void datagram_socket::receive(
        const std::function<bool(std::uint64_t sender, std::string_view payload)> &accept)
{
    std::array<char, config::maxDatagramBytes + 1> buffer; // NOLINT: filled by recv()
    while (true) {
        const ssize_t size = recv(socket.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size < 0 && errno == EINTR)
            continue;
        if (size < 0)
            return;
        if (!acceptFrame({buffer.data(), static_cast<std::size_t>(size)}, accept))
            dropped.add();
    }
}

/// Drops reordered and duplicate datagrams, because older state would overwrite newer.
bool datagram_socket::acceptFrame(
        std::string_view bytes, const std::function<bool(std::uint64_t, std::string_view)> &accept)
{
    const auto opened = openFrame(key, bytes);
    const auto *frame = std::get_if<opened_frame>(&opened);
    if (frame == nullptr || frame->header.kind != kind)
        return false;
    const sender_position position{frame->header.senderIncarnation, frame->header.counter};
    sender_position &last = lastAccepted[frame->header.sender];
    if (position <= last || !accept(frame->header.sender, frame->payload))
        return false;
    last = position;
    return true;
}

} // namespace poplarspool::peer
