#pragma once

#include "poplarspool/caller/caller_server.h"

#include <optional>
#include <string>
#include <string_view>

namespace poplarspool::caller {

/// What a caller says in the body of POST /v1/completions.
struct completion_body
{
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool isStreamed = false;

    bool operator==(const completion_body &) const = default;
};

/// Reads and checks the body of a completion.
/// @returns BadRequest (not run) that names the faulty member.
result<completion_body> parseCompletion(std::string_view text);

/// What all pieces of one answer share.
struct completion_label
{
    request_id request;
    std::string model;
    std::int64_t createdSeconds = 0; ///< Wall time.
};

/// How a completion ended, for log and metrics.
struct completion_outcome
{
    std::optional<error> failure; ///< None: whole.
    std::uint32_t tokens = 0; ///< Given to the sink.
    bool isEnded = false;
};

/// Gathers a completion for a caller who wants the answer in one piece.
class gathered_completion final : public completion_sink
{
public:
    gathered_completion(completion_label label, http_sink &connection);

    bool token(std::string_view text) override;
    void finish(const completion_end &end) override;
    void fail(const error &failure) override;
    bool isGone() const override;

    const completion_outcome &outcome() const { return result; }
    /// @attention Only after finish() or fail().
    http_reply takeReply() { return std::move(reply); }

private:
    completion_label label;
    http_sink &connection;
    std::string text;
    bool isTooLong = false;
    completion_outcome result;
    http_reply reply;
};

} // namespace poplarspool::caller
