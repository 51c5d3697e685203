#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/ids.h"

#include <optional>

namespace poplarspool::caller {

/// Forwards a reply to the connection, adds the request id to its headers, and tracks the reply's
/// progress for log and metrics.
class reply_tracker final : public http_sink
{
public:
    reply_tracker(http_sink &connection, request_id request, clock_source clock);

    bool begin(int status, const http_headers &headers, std::string_view contentType) override;
    bool write(std::string_view piece) override;
    void end() override;
    bool isGone() const override;

    /// @returns 0 if the reply has not started.
    int status() const { return sentStatus; }
    bool hasStarted() const { return sentStatus != 0; }
    bool isComplete() const { return isEnded; }
    std::optional<mono_time> firstByteAt() const { return firstByte; }

private:
    http_sink &connection;
    request_id request;
    clock_source clock;
    int sentStatus = 0;
    bool isEnded = false;
    std::optional<mono_time> firstByte;
};

/// @returns The headers with the id of this request; an existing request id header is replaced.
http_headers withRequestId(const http_headers &headers, const request_id &request);

} // namespace poplarspool::caller
