#pragma once

#include "poplarspool/base/result.h"
#include "poplarspool/streams/stream_origin.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// Datagrams in which instances tell and ask each other who began a stream. Any of them may be
/// lost.
namespace poplarspool::streams {

/// Tells a holder who began a stream.
struct origin_update
{
    stream_key key = 0;
    version_key version = 0;
    std::uint32_t ageMs = 0; ///< Of the record.
    std::uint32_t validMs = 0; ///< Until the record expires.

    bool operator==(const origin_update &) const = default;
};

struct origin_query
{
    std::uint64_t number = 0; ///< Matches the replies to the query.
    stream_key key = 0;

    bool operator==(const origin_query &) const = default;
};

struct origin_reply
{
    std::uint64_t number = 0;
    bool isKnown = false;
    origin_update known; ///< Only if isKnown.

    bool operator==(const origin_reply &) const = default;
};

using origin_message = std::variant<origin_update, origin_query, origin_reply>;

result<std::string> encode(const origin_message &message);
result<origin_message> decodeOriginMessage(std::string_view payload);

} // namespace poplarspool::streams
