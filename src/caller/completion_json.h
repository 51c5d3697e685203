#pragma once

#include "poplarspool/caller/caller_server.h"

#include <optional>
#include <string>
#include <string_view>

namespace poplarspool::caller {

/// Parsed body of POST /v1/completions.
struct completion_body
{
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool isStreamed = false;

    bool operator==(const completion_body &) const = default;
};

/// Parses and validates the body of a completion request.
/// @returns BadRequest (NotRun) that names the invalid member.
result<completion_body> parseCompletion(std::string_view text);

/// Fields that are the same in all chunks of one answer.
struct completion_metadata
{
    request_id request;
    std::string model;
    std::int64_t createdSeconds = 0; ///< Wall-clock time, seconds since the Unix epoch.
};

/// Outcome of a completion, for log and metrics.
struct completion_outcome
{
    std::optional<error> failure; ///< Empty: complete answer.
    std::uint32_t tokens = 0; ///< Accepted by the sink.
    bool isEnded = false;
};

/// Buffers a completion that was requested without streaming, and replies with one JSON object.
class buffered_completion final : public completion_sink
{
public:
    buffered_completion(completion_metadata metadata, http_sink &connection);

    bool token(std::string_view text) override;
    void finish(const completion_summary &end) override;
    void fail(const error &failure) override;
    bool isGone() const override;

    const completion_outcome &outcome() const { return result; }
    /// @attention Valid only after finish() or fail().
    http_reply takeReply() { return std::move(reply); }

private:
    completion_metadata metadata;
    http_sink &connection;
    std::string text;
    bool isTooLong = false;
    completion_outcome result;
    http_reply reply;
};

} // namespace poplarspool::caller
