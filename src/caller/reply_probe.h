#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/ids.h"

#include <optional>

namespace poplarspool::caller {

/// Passes a reply on to the connection, adds the request's id to its headers, and takes note of
/// what became of it for log and metrics.
class reply_probe final : public http_sink
{
public:
    reply_probe(http_sink &connection, request_id request, clock_source clock);

    bool begin(int status, const http_headers &headers, std::string_view contentType) override;
    bool write(std::string_view piece) override;
    void end() override;
    bool isGone() const override;

    /// @returns 0 where the reply was not begun.
    int status() const { return begunStatus; }
    bool isBegun() const { return begunStatus != 0; }
    bool isWhole() const { return isEnded; }
    std::optional<mono_time> firstByteAt() const { return firstByte; }

private:
    http_sink &connection;
    request_id request;
    clock_source clock;
    int begunStatus = 0;
    bool isEnded = false;
    std::optional<mono_time> firstByte;
};

/// @returns The headers with the request's id, and without what the other side put in its place.
http_headers withRequestId(const http_headers &headers, const request_id &request);

} // namespace poplarspool::caller
