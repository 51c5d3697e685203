#pragma once

#include "runner/engine_json.h"
#include "runner/line_splitter.h"

#include <optional>
#include <string>

namespace poplarspool::runner {

/// Checks one stream while it arrives: its own attempt's, every index once and in order, and an
/// explicit end that fits what was sent.
class stream_reader
{
public:
    stream_reader(const generate_request &request, const token_receiver &onToken);

    /// @returns False where nothing more is wanted.
    bool feed(std::string_view piece);

    /// @returns What became of the stream after its last piece; Broken where it has no end.
    result<stream_end> outcome() const;
    bool hasOutcome() const { return failure.has_value() || end.has_value(); }

private:
    bool take(std::string_view line);
    bool take(const stream_head &head);
    bool take(const stream_token &token);
    bool take(const stream_end &last);
    bool take(const stream_moved &moved);
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
