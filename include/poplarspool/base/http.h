#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/memory_budget.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/base/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplarspool {

using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_request
{
    std::string method = "GET";
    std::string path; ///< Including the query.
    http_headers headers;
    std::string body;
    std::string contentType;
};

struct http_reply
{
    int status = 0;
    http_headers headers;
    std::string body; ///< Empty if the body was passed to a receiver.
    std::string contentType;
    /// False if the body has neither a length nor chunks and ends with the connection. Such a body
    /// may be truncated without notice, unless its content has its own end marker.
    bool isDelimited = true;
};

/// @returns The value of the first header with this name, ignoring case; empty if there is none.
std::string_view headerOf(const http_headers &headers, std::string_view name);

/// Limits of a server; see docs/SETTINGS.md.
struct http_limits
{
    std::size_t headerBytes;
    std::size_t bodyBytes;
    std::uint32_t connections;
    milliseconds readTimeout; ///< For receiving a whole request, even if it arrives in pieces.
    milliseconds writeTimeout; ///< For one blocked write.
    milliseconds keepAliveTimeout;
    std::size_t keepAliveRequests;
};

http_limits defaultHttpLimits();

/// Sends a reply in pieces. begin() and write() return false if the peer is gone.
class http_sink
{
public:
    virtual ~http_sink() = default;
    /// Sends status and headers. Call it once, before the first piece.
    virtual bool begin(int status, const http_headers &headers, std::string_view contentType) = 0;
    virtual bool write(std::string_view piece) = 0;
    /// Completes the reply. If the handler returns without end(), the connection is aborted, so
    /// that a truncated reply is never taken for a complete one.
    virtual void end() = 0;
    /// @returns Whether the peer has reset the connection or closed both directions. A peer that
    ///          only shut down its sending side may still read the reply and is not gone.
    virtual bool isGone() const = 0;
    /// @returns The connection's descriptor, which can be polled to detect that the peer has closed
    ///          the connection; -1 if there is none.
    virtual int descriptorNumber() const { return -1; }
    /// @returns Whether the answer may hold `bytes` more in memory until the request ends.
    virtual bool reserveMemory(std::size_t /*bytes*/) { return true; }
};

/// Serves one request on a thread of the server. Either returns the reply, or writes it to the sink
/// and returns an empty optional.
using http_handler = std::function<std::optional<http_reply>(const http_request &, http_sink &)>;

/// HTTP/1.1 server with limits: connections above the limit are rejected with 503 immediately, a
/// request that arrives too slowly with 408, oversized input with 413 or 431.
class http_server
{
public:
    /// @param name Value of the label `server` of its metrics.
    /// @param bind Port 0 lets the system choose.
    /// @param events Log for exceptions in handlers and connection threads; may be null.
    /// @param memory Budget of the requests' bodies; null: only the limits per request apply. A
    ///               request that it can't take is answered with 503 before its body is read.
    http_server(const std::string &name, const endpoint &bind, http_limits limits,
                http_handler handler, metrics_registry &metrics, journal *events = nullptr,
                memory_budget *memory = nullptr);
    ~http_server();

    /// Binds the address and starts to accept connections.
    /// @returns The address it listens on.
    result<endpoint> start();
    /// Sets the limits of later requests, on open connections too. The maximum number of
    /// connections stays.
    void setLimits(const http_limits &limits);
    /// Updates the metrics of the kernel's queues.
    void updateQueueMetrics();
    /// Closes each connection after its next reply, with `Connection: close`, so that callers
    /// switch to another instance before stop() without losing a request.
    void announceShutdown();
    /// Stops accepting connections and waits for running requests.
    void stop();
    std::uint32_t openConnections() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// Receives a reply's body piece by piece; returns false to cancel the call.
using http_receiver = std::function<bool(std::string_view piece)>;
/// Receives status and headers before the body; returns false to cancel the call.
using http_head_receiver = std::function<bool(const http_reply &head)>;

/// HTTP client with pooled keep-alive connections to any number of servers. Thread-safe; each call
/// uses one connection.
class http_pool
{
public:
    /// @param idlePerTarget Maximum number of idle connections per server.
    /// @param silence Time after which a server that acknowledges no packets is considered gone,
    ///                even while a call waits for its reply. 0: only the call's time limit applies.
    http_pool(std::size_t idlePerTarget, milliseconds connectTime, metrics_registry &metrics,
              std::chrono::seconds silence = {});
    ~http_pool();

    /// @param timeLimit For the whole call.
    /// @returns Any complete reply, whatever its status. A failure's verdict is NotRun only if no
    ///          byte of the request can have reached the server.
    result<http_reply> send(const endpoint &to, const http_request &request,
                            milliseconds timeLimit);

    /// Like send(), but passes the body on piece by piece.
    /// @attention A cancelled call closes its connection.
    result<http_reply> stream(const endpoint &to, const http_request &request,
                              milliseconds timeLimit, const http_head_receiver &onHead,
                              const http_receiver &onPiece);

    /// Interrupts all running calls. Later calls fail immediately.
    void stop();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool
