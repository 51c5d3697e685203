#pragma once

#include "poplarspool/base/result.h"

#include <cereal/archives/portable_binary.hpp>

#include <cstdint>
#include <istream>
#include <ostream>
#include <stdexcept>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>

namespace poplarspool::peer {

/// Thrown for a payload that violates the format or a bound. Callers of encoder and decoder turn
/// it into a result; it never leaves the library.
struct malformed_payload : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Stream buffer that appends to a string.
class string_sink : public std::streambuf
{
public:
    std::string bytes;

protected:
    std::streamsize xsputn(const char *data, std::streamsize size) override;
    int_type overflow(int_type byte) override;
};

/// Stream buffer that reads from memory it does not own.
class memory_source : public std::streambuf
{
public:
    explicit memory_source(std::string_view bytes);
    std::size_t left() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

/// Writes fields in cereal's portable binary format, little endian. Numbers that are usually small
/// are written as variable-length integers, seven bits per byte.
///
/// Encoder and decoder have the same member functions, so that one template describes the
/// fields of a message for both directions.
class encoder
{
public:
    static constexpr bool isDecoding = false;

    encoder();

    template <class Number>
    void fixed(Number value)
    {
        archive(value);
    }

    void varint(std::uint64_t value);

    template <class Number>
    void small(Number value)
    {
        varint(static_cast<std::uint64_t>(value));
    }

    void text(std::string_view value, std::size_t maxBytes);

    /// Writes the number of items, then calls `each(encoder, item)` for every item.
    template <class Items, class Each>
    void list(const Items &items, std::size_t maxCount, std::size_t /*minBytesEach*/, Each each)
    {
        checkCount(items.size(), maxCount);
        varint(items.size());
        for (const auto &item : items)
            each(*this, item);
    }

    std::size_t size() const { return sink.bytes.size(); }
    std::string take() { return std::move(sink.bytes); }

private:
    static void checkCount(std::size_t count, std::size_t maxCount);

    string_sink sink;
    std::ostream stream;
    cereal::PortableBinaryOutputArchive archive;
};

/// Encodes values whose length is chosen by others, such as operators, and may exceed a bound.
/// @param write Called with an encoder.
/// @returns The encoded bytes; TooLarge if a bound is exceeded.
template <class Write>
result<std::string> tryEncode(const Write &write)
{
    try {
        encoder out;
        write(out);
        return out.take();
    } catch (const malformed_payload &fault) {
        return notRun(error_code::TooLarge, fault.what());
    }
}

/// Reads what an encoder wrote. Every count is checked against its bound and against the remaining
/// bytes before anything is allocated. cereal itself trusts lengths: a message of a few bytes that
/// claims 2^30 elements would allocate gigabytes before it fails.
class decoder
{
public:
    static constexpr bool isDecoding = true;

    explicit decoder(std::string_view bytes);

    template <class Number>
    void fixed(Number &value)
    {
        archive(value);
    }

    std::uint64_t varint();

    /// @attention Throws malformed_payload if the value does not fit into `Number`, instead of
    /// truncating
    ///            it.
    template <class Number>
    void small(Number &value)
    {
        const std::uint64_t wide = varint();
        value = static_cast<Number>(wide);
        if (static_cast<std::uint64_t>(value) != wide)
            throw malformed_payload("number out of range");
    }

    void text(std::string &value, std::size_t maxBytes);

    template <class Items, class Each>
    void list(Items &items, std::size_t maxCount, std::size_t minBytesEach, Each each)
    {
        const std::size_t size = count(maxCount, minBytesEach);
        items.clear();
        items.reserve(size);
        for (std::size_t index = 0; index < size; ++index)
            each(*this, items.emplace_back());
    }

    std::size_t left() const { return source.left(); }

    /// Throws malformed_payload if bytes remain.
    void finish() const;

private:
    std::size_t count(std::size_t maxCount, std::size_t minBytesEach);

    memory_source source;
    std::istream stream;
    cereal::PortableBinaryInputArchive archive;
};

} // namespace poplarspool::peer
