#include "poplarspool/base/error_reply.h"

#include "base/http_text.h"

#include <algorithm>
#include <chrono>

namespace poplarspool {

int statusOf(const error &failure)
{
    switch (failure.code) {
    case error_code::BadRequest:
        return 400;
    case error_code::Unauthorized:
        return 401;
    case error_code::Forbidden:
        return 403;
    case error_code::NotFound:
        return 404;
    case error_code::Conflict:
    case error_code::Duplicate:
        return 409;
    case error_code::TooLarge:
        return 413;
    case error_code::Throttled:
        return 429;
    case error_code::Cancelled:
        return 499;
    case error_code::Broken:
        return 502;
    case error_code::Overloaded:
    case error_code::Unavailable:
    case error_code::Stale:
        return 503;
    case error_code::TimedOut:
        return 504;
    case error_code::Internal:
        break;
    }
    return 500;
}

http_reply replyOf(const error &failure)
{
    http_reply reply = errorReply(statusOf(failure), failure.code, failure.ran, failure.message);
    if (failure.retryAfter) {
        // The header is in whole seconds. Rounded up, because a caller that retries too early is
        // rejected again; at least 1, because many clients retry immediately on 0.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*failure.retryAfter);
        const auto retryAfterSeconds = std::max(seconds, std::chrono::seconds(1));
        reply.headers.emplace_back("Retry-After", std::to_string(retryAfterSeconds.count()));
    }
    return reply;
}

} // namespace poplarspool
