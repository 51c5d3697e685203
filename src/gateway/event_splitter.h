#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace poplarspool::gateway {

/// One whole event of a stream.
struct stream_event
{
    std::string text; ///< As it arrived, up to and with the empty line that ends it.
    std::optional<std::uint64_t> id;

    bool operator==(const stream_event &) const = default;
};

/// Cuts a stream of events into whole ones. A runner that fails may stop in the middle of an event:
/// handed on as it came, the half event would be joined with the first one of the runner that goes
/// on, and the caller would get a piece that nobody made.
class event_splitter
{
public:
    void add(std::string_view bytes) { buffer.append(bytes); }

    /// @returns The next whole event; none where more bytes are needed.
    std::optional<stream_event> next();

    /// @returns Whether nothing of an unfinished event is left.
    bool isAtBoundary() const { return buffer.empty(); }

    void clear() { buffer.clear(); }

private:
    std::string buffer;
};

} // namespace poplarspool::gateway
