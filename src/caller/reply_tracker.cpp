#include "caller/reply_tracker.h"

#include "poplarspool/caller/caller_server.h"

#include <strings.h>

namespace poplarspool::caller {

reply_tracker::reply_tracker(http_sink &connection, request_id request, clock_source clock)
    : connection(connection), request(std::move(request)), clock(std::move(clock))
{ }

bool reply_tracker::begin(int status, const http_headers &headers, std::string_view contentType)
{
    sentStatus = status;
    firstByte = clock.mono();
    return connection.begin(status, withRequestId(headers, request), contentType);
}

bool reply_tracker::write(std::string_view piece)
{
    return connection.write(piece);
}

void reply_tracker::end()
{
    isEnded = true;
    connection.end();
}

bool reply_tracker::isGone() const
{
    return connection.isGone();
}

http_headers withRequestId(const http_headers &headers, const request_id &request)
{
    http_headers out;
    out.reserve(headers.size() + 1);
    for (const auto &header : headers) {
        if (strcasecmp(header.first.c_str(), requestIdHeader.data()) != 0)
            out.push_back(header);
    }
    out.emplace_back(requestIdHeader, request.text);
    return out;
}

} // namespace poplarspool::caller
