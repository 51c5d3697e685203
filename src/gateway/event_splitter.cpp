#include "gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace poplarspool::gateway {

namespace {

/// Length of the longest text that ends an event.
constexpr std::size_t maxEndBytes = 4;

/// @param from No event ends before this position.
/// @returns Length of the first event including its empty line; npos if it is incomplete.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    const std::size_t plain = text.find("\n\n", from);
    const std::size_t withReturns = text.find("\r\n\r\n", from);
    const std::size_t plainEnd = plain == std::string_view::npos ? plain : plain + 2;
    const std::size_t otherEnd =
            withReturns == std::string_view::npos ? withReturns : withReturns + 4;
    return std::min(plainEnd, otherEnd);
}

std::optional<std::uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto [stop, fault] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (fault == std::errc{} && stop != line.data())
            return id;
    }
    return std::nullopt;
}

} // namespace

std::optional<stream_event> event_splitter::next()
{
    const std::size_t end = endOfEvent(buffer, searched);
    if (end == std::string::npos) {
        searched = buffer.size() - std::min(buffer.size(), maxEndBytes - 1);
        return std::nullopt;
    }
    searched = 0;
    stream_event event;
    event.text = buffer.substr(0, end);
    event.id = idOf(event.text);
    buffer.erase(0, end);
    return event;
}

} // namespace poplarspool::gateway
