#pragma once

#include "caller/completion_json.h"

namespace poplarspool::caller {

/// Sends a completion as server-sent events while it is generated. The reply starts with the first
/// token or with the end of the answer. A failure before that is an ordinary reply with an error
/// status, so that callers and proxies can act on it.
class streamed_completion final : public completion_sink
{
public:
    streamed_completion(const completion_metadata &metadata, http_sink &connection);

    bool token(std::string_view text) override;
    void finish(const completion_summary &end) override;
    void fail(const error &failure) override;
    bool isGone() const override;

    const completion_outcome &outcome() const { return result; }
    /// @returns The reply to send if none was started on the connection; otherwise none.
    std::optional<http_reply> takeReply() { return std::move(reply); }

private:
    bool ensureStarted();

    http_sink &connection;
    std::string tokenPrefix; ///< Start of each token's event, up to the text.
    std::string endPrefix; ///< Start of the last chunk, up to the finish reason.
    std::string eventText; ///< Event buffer, reused for each token.
    bool hasStarted = false;
    bool hasWriteFailed = false;
    completion_outcome result;
    std::optional<http_reply> reply;
};

} // namespace poplarspool::caller
