#pragma once

#include "runner/engine_json.h"
#include "runner/line_splitter.h"

#include <optional>
#include <string>

namespace poplarspool::runner {

/// Parses and validates one stream as it arrives: it must belong to the attempt, contain every
/// index once and in order, and end with an end event that matches the number of tokens.
class stream_reader
{
public:
    stream_reader(const generate_request &request, const token_receiver &onToken);

    /// @returns False if no more data is needed.
    bool feed(std::string_view piece);

    /// @returns The result of the stream after its last piece; Broken if it has no end event.
    result<stream_end> outcome() const;
    bool hasOutcome() const { return failure.has_value() || end.has_value(); }

private:
    bool handle(std::string_view line);
    bool handle(const stream_head &head);
    bool handle(const stream_token &token);
    bool handle(const stream_end &endEvent);
    bool handle(const stream_exported &exported);
    bool fail(error_code code, std::string message);

    const generate_request &request;
    const token_receiver &onToken;
    line_splitter lines;
    bool hasHead = false;
    std::uint32_t nextIndex;
    std::optional<stream_end> end;
    std::optional<error> failure;
};

} // namespace poplarspool::runner
