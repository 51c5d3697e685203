#include "gateway/tunnel_message.h"

#include "peer/codec.h"
#include "poplarspool/base/limits.h"

namespace poplarspool::gateway {

namespace {

template <class Codec, class Request>
void serialize(Codec &codec, Request &request)
{
    codec.text(request.carrier.text, config::maxNameBytes);
    codec.text(request.target.text, config::maxNameBytes);
    codec.fixed(request.startedAtMs);
}

} // namespace

std::string_view nameOf(tunnel_outcome outcome)
{
    switch (outcome) {
    case tunnel_outcome::Connected:
        return "connected";
    case tunnel_outcome::Refused:
        return "refused";
    case tunnel_outcome::Silent:
        return "silent";
    case tunnel_outcome::CutOff:
        return "cut_off";
    case tunnel_outcome::Unlisted:
        return "unlisted";
    case tunnel_outcome::Withdrawn:
        return "withdrawn";
    case tunnel_outcome::Rejected:
        break;
    }
    return "rejected";
}

std::string tunnelFrame(const tunnel_sender &from, std::uint64_t callId, hybrid_time sentAt,
                        std::string_view payload)
{
    peer::frame_header header;
    header.kind = peer::frame_kind::Tunnel;
    header.sender = peer::senderNumber(from.instance);
    header.senderIncarnation = from.incarnation;
    header.callId = callId;
    header.sentAt = sentAt;
    return peer::sealFrame(from.key, header, payload);
}

std::string encode(const tunnel_request &request)
{
    auto encoded = peer::tryEncode([&](peer::encoder &out) { serialize(out, request); });
    return succeeded(encoded) ? std::move(valueOf(encoded)) : std::string();
}

result<tunnel_request> decodeTunnelRequest(std::string_view payload)
{
    try {
        peer::decoder in(payload);
        tunnel_request request;
        serialize(in, request);
        in.finish();
        return request;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed request for a tunnel");
    }
}

std::string encode(tunnel_outcome outcome)
{
    peer::encoder out;
    out.fixed(outcome);
    return out.take();
}

result<tunnel_outcome> decodeTunnelOutcome(std::string_view payload)
{
    try {
        peer::decoder in(payload);
        tunnel_outcome outcome = tunnel_outcome::Rejected;
        in.fixed(outcome);
        in.finish();
        if (outcome < tunnel_outcome::Connected || outcome > tunnel_outcome::Withdrawn)
            return notRun(error_code::Broken, "unknown outcome of a tunnel");
        return outcome;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed outcome of a tunnel");
    }
}

} // namespace poplarspool::gateway
