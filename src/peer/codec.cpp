#include "peer/codec.h"

namespace poplarspool::peer {

namespace {

constexpr int varintBits = 7;
constexpr std::uint64_t varintMask = 0x7f;
constexpr std::uint8_t varintMore = 0x80;
constexpr int maxVarintBytes = 10;

} // namespace

std::streamsize string_sink::xsputn(const char *data, std::streamsize size)
{
    bytes.append(data, static_cast<std::size_t>(size));
    return size;
}

string_sink::int_type string_sink::overflow(int_type byte)
{
    if (traits_type::eq_int_type(byte, traits_type::eof()))
        return traits_type::not_eof(byte);
    bytes.push_back(traits_type::to_char_type(byte));
    return byte;
}

memory_source::memory_source(std::string_view bytes)
{
    // std::streambuf takes non-const pointers but never writes through its get area.
    char *begin = const_cast<char *>(bytes.data());
    setg(begin, begin, begin + bytes.size());
}

encoder::encoder()
    : stream(&sink), archive(stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian())
{ }

/// Most fields are varints. The archive would check the stream and call it virtually for each byte.
/// It has no buffer of its own, so the order of the bytes stays the same.
void encoder::varint(std::uint64_t value)
{
    while (value > varintMask) {
        sink.bytes.push_back(static_cast<char>((value & varintMask) | varintMore));
        value >>= varintBits;
    }
    sink.bytes.push_back(static_cast<char>(value));
}

void encoder::text(std::string_view value, std::size_t maxBytes)
{
    checkCount(value.size(), maxBytes);
    varint(value.size());
    archive(cereal::binary_data(value.data(), value.size()));
}

void encoder::checkCount(std::size_t count, std::size_t maxCount)
{
    if (count > maxCount)
        throw malformed_payload("too long to send: " + std::to_string(count) + " (limit "
                                + std::to_string(maxCount) + ")");
}

decoder::decoder(std::string_view bytes)
    : source(bytes), stream(&source),
      archive(stream, cereal::PortableBinaryInputArchive::Options::LittleEndian())
{ }

std::uint64_t decoder::varint()
{
    std::uint64_t value = 0;
    for (int index = 0; index < maxVarintBytes; ++index) {
        const auto next = source.sbumpc();
        if (memory_source::traits_type::eq_int_type(next, memory_source::traits_type::eof()))
            throw malformed_payload("varint is cut off");
        const auto byte = static_cast<std::uint8_t>(next);
        const std::uint64_t bits = byte & varintMask;
        const int shift = index * varintBits;
        if ((bits << shift) >> shift != bits)
            throw malformed_payload("varint exceeds 64 bits");
        value |= bits << shift;
        if ((byte & varintMore) == 0)
            return value;
    }
    throw malformed_payload("varint exceeds 10 bytes");
}

void decoder::text(std::string &value, std::size_t maxBytes)
{
    const std::size_t size = count(maxBytes, 1);
    value.resize(size);
    archive(cereal::binary_data(value.data(), size));
}

std::size_t decoder::count(std::size_t maxCount, std::size_t minBytesEach)
{
    const std::uint64_t claimed = varint();
    if (claimed > maxCount || claimed > left() / minBytesEach)
        throw malformed_payload("count exceeds its bound or the payload");
    return static_cast<std::size_t>(claimed);
}

void decoder::finish() const
{
    if (left() != 0)
        throw malformed_payload("trailing bytes");
}

} // namespace poplarspool::peer
