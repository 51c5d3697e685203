#pragma once

#include "poplarspool/gateway/limits.h"

#include <optional>
#include <string>
#include <string_view>

namespace poplarspool::gateway {

/// One complete event of a stream.
struct stream_event
{
    std::string text; ///< As received, including the empty line that ends it.
    std::optional<std::uint64_t> id;

    bool operator==(const stream_event &) const = default;
};

/// Splits a stream into complete events. A runner that fails may stop in the middle of an event.
/// If the partial event were passed on, it would be joined with the first event of the runner that
/// resumes the stream, and the caller would get an event that no runner sent.
class event_splitter
{
public:
    void add(std::string_view bytes) { buffer.append(bytes); }

    /// @returns The next complete event; none if more bytes are needed.
    std::optional<stream_event> next();

    /// @returns Whether no partial event is buffered.
    bool isAtBoundary() const { return buffer.empty(); }

    std::size_t bufferedBytes() const { return buffer.capacity(); }

    /// @returns Whether the partial event exceeds config::maxEventBytes: it may have no end.
    bool isTooLong() const { return buffer.size() > config::maxEventBytes; }

private:
    std::string buffer;
    std::size_t searched = 0; ///< No event ends in so many bytes at the beginning of the buffer.
};

} // namespace poplarspool::gateway
