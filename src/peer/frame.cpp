#include "peer/frame.h"

#include "peer/codec.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/peer/limits.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <stdexcept>

namespace poplarspool::peer {

namespace {

constexpr std::uint32_t frameMagic = 0x50535031;
constexpr std::uint8_t frameFormat = 1;
constexpr std::string_view keyLabel = "poplarspool peer frames 1";
constexpr std::size_t macOffset = frameHeaderBytes - frameMacBytes;

frame_key hmacOf(const void *key, std::size_t keySize, std::string_view bytes)
{
    frame_key digest{};
    unsigned int size = 0;
    const auto *data = reinterpret_cast<const unsigned char *>(bytes.data());
    if (HMAC(EVP_sha256(), key, static_cast<int>(keySize), data, bytes.size(), digest.data(), &size)
        == nullptr)
        throw std::runtime_error("HMAC-SHA-256 is not available");
    return digest;
}

/// @returns MAC over the header, without its MAC field, and the payload.
frame_key macOf(const frame_key &key, std::string_view header, std::string_view payload)
{
    std::string covered;
    covered.reserve(header.size() + payload.size());
    covered.append(header).append(payload);
    return hmacOf(key.data(), key.size(), covered);
}

template <class Codec, class Header>
void headerFields(Codec &codec, Header &header)
{
    codec.fixed(header.kind);
    codec.fixed(header.length);
    codec.fixed(header.sender);
    codec.fixed(header.senderIncarnation);
    codec.fixed(header.receiverIncarnation);
    codec.fixed(header.counter);
    codec.fixed(header.callId);
    codec.fixed(header.sentAt.wallMs);
    codec.fixed(header.sentAt.count);
}

} // namespace

frame_key deriveFrameKey(std::string_view secret)
{
    return hmacOf(secret.data(), secret.size(), keyLabel);
}

std::uint64_t senderNumber(const instance_id &instance)
{
    return hashOf(instance.text);
}

std::string sealFrame(const frame_key &key, frame_header header, std::string_view payload)
{
    header.length = static_cast<std::uint32_t>(payload.size());
    encoder out;
    out.fixed(frameMagic);
    out.fixed(frameFormat);
    headerFields(out, header);
    std::string frame = out.take();
    const frame_key mac = macOf(key, frame, payload);
    frame.reserve(frameHeaderBytes + payload.size());
    frame.append(reinterpret_cast<const char *>(mac.data()), frameMacBytes);
    frame.append(payload);
    return frame;
}

std::variant<frame_header, frame_fault> peekHeader(std::string_view bytes)
{
    if (bytes.size() < frameHeaderBytes)
        return frame_fault::Truncated;
    decoder in(bytes.substr(0, macOffset));
    std::uint32_t magic = 0;
    std::uint8_t format = 0;
    in.fixed(magic);
    in.fixed(format);
    if (magic != frameMagic || format != frameFormat)
        return frame_fault::Foreign;
    frame_header header;
    headerFields(in, header);
    if (header.kind < frame_kind::Gossip || header.kind > frame_kind::Withdrawal)
        return frame_fault::Foreign;
    if (header.length > config::maxPeerCallBytes)
        return frame_fault::Foreign;
    return header;
}

std::variant<opened_frame, frame_fault> openFrame(const frame_key &key, std::string_view bytes)
{
    const auto peeked = peekHeader(bytes);
    if (const auto *fault = std::get_if<frame_fault>(&peeked))
        return *fault;
    const frame_header &header = std::get<frame_header>(peeked);
    const std::string_view payload = bytes.substr(frameHeaderBytes);
    if (payload.size() != header.length)
        return frame_fault::Truncated;
    const frame_key mac = macOf(key, bytes.substr(0, macOffset), payload);
    if (CRYPTO_memcmp(mac.data(), bytes.data() + macOffset, frameMacBytes) != 0)
        return frame_fault::BadMac;
    return opened_frame{header, payload};
}

} // namespace poplarspool::peer
