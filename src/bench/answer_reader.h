#pragma once

#include "poplarspool/base/http.h"
#include "runner/line_splitter.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarspool::bench {

/// What came of one completion's answer.
struct completion_answer
{
    std::string text;
    std::string finishReason;
    std::optional<std::uint32_t> tokens; ///< As the usage says.
    std::optional<error> failure;
    bool hasEnd = false; ///< The whole JSON answer, or a stream's `[DONE]`.
    bool isMalformed = false;
    mono_time firstTextAt{};
};

/// @returns The failure in a reply's body. Without a readable verdict it may have run.
error failureIn(const http_reply &reply);

/// Reads the pieces of a streamed completion.
class stream_answer_reader
{
public:
    explicit stream_answer_reader(const clock_source &clock) : clock(clock) { }

    /// @returns False once nothing sensible can follow.
    bool feed(std::string_view piece);
    const completion_answer &answer() const { return read; }

private:
    bool takeLine(std::string_view line);

    const clock_source &clock;
    runner::line_splitter lines;
    completion_answer read;
};

/// @returns The answer in a reply that is not streamed.
completion_answer answerIn(const http_reply &reply, const clock_source &clock);

} // namespace poplarspool::bench
