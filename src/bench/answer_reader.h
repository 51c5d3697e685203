#pragma once

#include "poplarspool/base/http.h"
#include "runner/line_splitter.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarspool::bench {

/// A completion's answer, as far as it was received.
struct completion_answer
{
    std::string text;
    std::string finishReason;
    std::optional<std::uint32_t> tokens; ///< `completion_tokens` of the usage object.
    std::optional<error> failure;
    bool hasEnd = false; ///< A complete JSON answer, or `[DONE]` in a stream.
    bool isMalformed = false;
    mono_time firstTextAt{};
};

/// @returns The error in a reply's body. Unless the body says "not run", its verdict is "may have
///          run".
error parseFailure(const http_reply &reply);

/// Incremental parser for a streamed completion (server-sent events).
class stream_answer_reader
{
public:
    explicit stream_answer_reader(const clock_source &clock) : clock(clock) { }

    /// @returns False if the stream is malformed; the rest is not worth reading.
    bool feed(std::string_view piece);
    const completion_answer &answer() const { return parsed; }

private:
    bool parseLine(std::string_view line);

    const clock_source &clock;
    runner::line_splitter lines;
    completion_answer parsed;
};

/// @returns The answer in a reply that is not streamed.
completion_answer parseAnswer(const http_reply &reply, const clock_source &clock);

} // namespace poplarspool::bench
