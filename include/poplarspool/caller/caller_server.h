#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/base/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarspool::caller {

// Names of the headers that callers use; docs/API.md.
inline constexpr std::string_view idempotencyHeader = "Idempotency-Key";
inline constexpr std::string_view workspaceHeader = "Poplarspool-Workspace";
inline constexpr std::string_view callerHeader = "Poplarspool-Caller";
inline constexpr std::string_view timeLimitHeader = "Poplarspool-Time-Limit-Ms";
inline constexpr std::string_view requestIdHeader = "Poplarspool-Request-Id";

/// What every request brings.
struct request_head
{
    request_id request; ///< Made by this instance; goes back in requestIdHeader.
    std::string bearerKey;
    caller_id caller; ///< As claimed; who it really is, is for the rules to say.
    workspace_id workspace;
    std::string idempotencyKey;
    std::optional<milliseconds> timeLimit;
    mono_time arrivedAt{};

    bool operator==(const request_head &) const = default;
};

struct completion_ask
{
    request_head head;
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool isStreamed = false;

    bool operator==(const completion_ask &) const = default;
};

struct service_ask
{
    request_head head;
    std::string service;
    http_request request; ///< With the service's own path and end-to-end headers.

    bool operator==(const service_ask &) const;
};

struct completion_end
{
    std::string finishReason; ///< "stop" or "length".
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

/// Where a completion's answer goes; one of finish() or fail() ends it.
class completion_sink
{
public:
    virtual ~completion_sink() = default;
    /// @returns false where the caller is gone.
    virtual bool token(std::string_view text) = 0;
    virtual void finish(const completion_end &end) = 0;
    /// After the first token of a stream this is an error event, never `[DONE]`.
    virtual void fail(const error &failure) = 0;
    virtual bool isGone() const = 0;
};

struct address_answer
{
    std::vector<endpoint> addresses; ///< Best first.
    std::chrono::seconds keepTime{0};
};

/// What the instance does with what callers ask. Called on a thread of the connection.
struct caller_handlers
{
    std::function<result<address_answer>(const request_head &, const zone_id &)> addresses;
    std::function<result<std::vector<std::string>>(const request_head &)> models;
    std::function<void(const completion_ask &, completion_sink &)> complete;
    /// Either returns a failure with nothing written to the sink, or has ended the reply there.
    std::function<std::optional<error>(const service_ask &, http_sink &)> callService;
};

/// The HTTP of callers (docs/API.md).
class caller_server
{
public:
    caller_server(const endpoint &bind, http_limits limits, caller_handlers handlers,
                  clock_source clock, metrics_registry &metrics, journal &events);
    ~caller_server();
    result<endpoint> start();
    void stop();
    std::uint32_t openRequests() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::caller
