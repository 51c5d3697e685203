#pragma once

#include "poplarspool/streams/limits.h"
#include "poplarspool/streams/stream_origin.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace poplarspool::streams {

/// The records that one instance keeps. Not thread-safe.
class origin_table
{
public:
    explicit origin_table(std::size_t maxRecords = config::maxStreamOrigins);

    /// Adds a record or renews it. Two streams with one key, which a caller may cause by using an
    /// id twice, can't be told apart: from then on neither is known.
    /// @returns The number of records that were evicted before they expired.
    std::size_t record(stream_key key, const stream_origin &origin, mono_time now);
    /// @returns None if it isn't known.
    std::optional<stream_origin> find(stream_key key, mono_time now) const;
    std::size_t size() const { return origins.size(); }

private:
    struct kept_origin
    {
        stream_origin origin;
        bool isAmbiguous = false; ///< Several streams have this key.
    };

    struct queued_key
    {
        stream_key key = 0;
        mono_time expiresAt{};
    };

    std::size_t evict(mono_time now);

    const std::size_t maxRecords;
    std::unordered_map<stream_key, kept_origin> origins;
    /// In the order of their last record; a renewed key also stands where it stood before.
    std::deque<queued_key> queue;
};

} // namespace poplarspool::streams
