#include "peer/call_wire.h"

#include "peer/codec.h"
#include "poplarspool/peer/limits.h"

#include <openssl/rand.h>

#include <stdexcept>

namespace poplarspool::peer {

namespace {

enum class reply_kind : std::uint8_t { Answer = 0, Failure = 1 };

constexpr std::size_t maxErrorTextBytes = 4096;

template <class Codec, class Failure>
void errorFields(Codec &codec, Failure &failure)
{
    codec.small(failure.code);
    codec.small(failure.ran);
    codec.text(failure.message, maxErrorTextBytes);
}

socket_fault readExactly(int fd, char *to, std::size_t size, socket_deadline deadline,
                         int interruptFd)
{
    std::size_t done = 0;
    while (done < size) {
        const receive_result piece = receiveSome(fd, to + done, size - done, deadline, interruptFd);
        if (piece.fault != socket_fault::None)
            return piece.fault;
        done += piece.bytes;
    }
    return socket_fault::None;
}

std::string encodeFailure(const error &failure)
{
    error bounded = failure;
    bounded.message.resize(std::min(bounded.message.size(), maxErrorTextBytes));
    encoder out;
    out.fixed(reply_kind::Failure);
    errorFields(out, bounded);
    out.small(bounded.retryAfter ? bounded.retryAfter->count() + 1 : 0);
    return out.take();
}

error decodeFailure(decoder &in)
{
    error failure;
    errorFields(in, failure);
    std::uint32_t retryAfter = 0;
    in.small(retryAfter);
    if (failure.code > error_code::Internal || failure.ran > verdict::MayHaveRun)
        throw malformed_payload("unknown error code or verdict");
    if (retryAfter > 0)
        failure.retryAfter = milliseconds(retryAfter - 1);
    return failure;
}

} // namespace

stream_read readFrame(int fd, const frame_key &key, std::size_t maxPayload,
                      socket_deadline deadline, int interruptFd)
{
    std::string bytes(frameHeaderBytes, '\0');
    socket_fault fault = readExactly(fd, bytes.data(), bytes.size(), deadline, interruptFd);
    if (fault != socket_fault::None)
        return fault;
    const auto peeked = peekHeader(bytes);
    if (const auto *bad = std::get_if<frame_fault>(&peeked))
        return *bad;
    const std::size_t length = std::get<frame_header>(peeked).length;
    if (length > maxPayload)
        return frame_fault::Foreign;
    bytes.resize(frameHeaderBytes + length);
    fault = readExactly(fd, bytes.data() + frameHeaderBytes, length, deadline, interruptFd);
    if (fault != socket_fault::None)
        return fault;
    const auto opened = openFrame(key, bytes);
    if (const auto *bad = std::get_if<frame_fault>(&opened))
        return *bad;
    return stream_frame{std::get<opened_frame>(opened).header, bytes.substr(frameHeaderBytes)};
}

std::string encodeCall(call_kind kind, std::string_view payload)
{
    encoder out;
    out.fixed(kind);
    out.text(payload, config::maxPeerCallBytes);
    return out.take();
}

result<call_request> decodeCall(std::string_view bytes)
{
    try {
        decoder in(bytes);
        call_request request;
        in.fixed(request.kind);
        in.text(request.payload, config::maxPeerCallBytes);
        in.finish();
        return request;
    } catch (const std::runtime_error &fault) {
        return notRun(error_code::Broken, fault.what());
    }
}

std::string encodeReply(const result<std::string> &outcome)
{
    if (!succeeded(outcome))
        return encodeFailure(errorOf(outcome));
    encoder out;
    out.fixed(reply_kind::Answer);
    out.text(valueOf(outcome), config::maxPeerCallBytes);
    return out.take();
}

result<std::string> decodeReply(std::string_view bytes)
{
    try {
        decoder in(bytes);
        reply_kind kind{};
        in.fixed(kind);
        if (kind == reply_kind::Failure)
            return decodeFailure(in);
        std::string payload;
        in.text(payload, config::maxPeerCallBytes);
        in.finish();
        return payload;
    } catch (const std::runtime_error &fault) {
        return mayHaveRun(error_code::Broken, fault.what());
    }
}

std::uint64_t randomNumber()
{
    std::uint64_t number = 0;
    if (RAND_bytes(reinterpret_cast<unsigned char *>(&number), sizeof(number)) != 1)
        throw std::runtime_error("RAND_bytes failed");
    return number;
}

} // namespace poplarspool::peer
