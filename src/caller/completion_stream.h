#pragma once

#include "caller/completion_json.h"

namespace poplarspool::caller {

/// Hands a completion on as server-sent events while it is made. The reply begins with the first
/// token, or with the end: a failure before is an ordinary reply with its status, which a caller
/// and whatever stands between can act on.
class streamed_completion final : public completion_sink
{
public:
    streamed_completion(const completion_label &label, http_sink &connection);

    bool token(std::string_view text) override;
    void finish(const completion_end &end) override;
    void fail(const error &failure) override;
    bool isGone() const override;

    const completion_outcome &outcome() const { return result; }
    /// @returns The reply where none was begun; none where all went to the connection.
    std::optional<http_reply> takeReply() { return std::move(reply); }

private:
    bool beginOnce();

    http_sink &connection;
    std::string framePrefix; ///< Of each token's event, up to the text.
    std::string endPrefix; ///< Of the last chunk, up to the finish reason.
    std::string frame; ///< Reused for each token.
    bool isBegun = false;
    bool isLost = false; ///< A write failed.
    completion_outcome result;
    std::optional<http_reply> reply;
};

} // namespace poplarspool::caller
