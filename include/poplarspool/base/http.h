#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/journal.h"
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
    std::string path; ///< With the query.
    http_headers headers;
    std::string body;
    std::string contentType;
};

struct http_reply
{
    int status = 0;
    http_headers headers;
    std::string body; ///< Empty where the body went to a receiver.
    std::string contentType;
    /// False where neither a length nor chunks tell the body's end, but only the connection's: such
    /// a body can have been cut, unless it has an end mark of its own.
    bool isDelimited = true;
};

/// @returns The header's value, whatever the case of its name; empty where there is none.
std::string_view headerOf(const http_headers &headers, std::string_view name);

/// Bounds of a server; see docs/SETTINGS.md.
struct http_limits
{
    std::size_t headerBytes;
    std::size_t bodyBytes;
    std::uint32_t connections;
    milliseconds readTime; ///< For a whole request, however slowly its bytes arrive.
    milliseconds writeTime; ///< For one blocked write.
    milliseconds keepAliveTime;
    std::size_t keepAliveRequests;
};

http_limits defaultHttpLimits();

/// Sends a reply piece by piece. Returned false means that the receiver is gone.
class http_sink
{
public:
    virtual ~http_sink() = default;
    /// Status and headers; once, before the first piece.
    virtual bool begin(int status, const http_headers &headers, std::string_view contentType) = 0;
    virtual bool write(std::string_view piece) = 0;
    /// Ends the reply properly. A sink that is dropped without end() breaks the connection, so that
    /// a reply cut short never looks whole.
    virtual void end() = 0;
    /// @returns Whether the receiver has certainly gone away (reset, or closed both ways). One that
    ///          only ended its sending side may still read its answer and is not gone.
    virtual bool isGone() const = 0;
    /// @returns What can be polled for the receiver's end of the connection; -1 where there is
    /// none.
    virtual int descriptorNumber() const { return -1; }
};

/// Serves one request on a thread of the server. Either fills a reply and returns it, or takes the
/// sink, writes everything there and returns an empty optional.
using http_handler = std::function<std::optional<http_reply>(const http_request &, http_sink &)>;

/// HTTP/1.1 server with hard bounds: connections beyond the limit are refused at once with 503, a
/// request that takes too long to arrive is cut off, oversized input gets 413 or 431.
class http_server
{
public:
    /// @param name Label of its metrics.
    /// @param bind Port 0 lets the system choose.
    /// @param events Gets a line for each connection that ended by an exception; may be null.
    http_server(const std::string &name, const endpoint &bind, http_limits limits,
                http_handler handler, metrics_registry &metrics, journal *events = nullptr);
    ~http_server();

    /// Binds and starts to accept.
    /// @returns The address it listens on.
    result<endpoint> start();
    /// Takes other limits from the next connection on; the number of connections stays.
    void setLimits(const http_limits &limits);
    /// From now on each reply says that the connection closes after it, so that callers move on
    /// before stop() without losing a request.
    void announceEnd();
    /// Refuses new connections and waits for running requests.
    void stop();
    std::uint32_t openConnections() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// Receives a reply's body as it arrives; returns false to cancel.
using http_receiver = std::function<bool(std::string_view piece)>;
/// Receives status and headers before the body; returns false to cancel.
using http_head_receiver = std::function<bool(const http_reply &head)>;

/// Pooled keep-alive connections to any number of servers. May be called from any thread; one call
/// holds one connection.
class http_pool
{
public:
    /// @param idlePerTarget Connections kept open per server between calls.
    /// @param silence After which a server that acknowledges nothing counts as gone, also while a
    ///                call waits for its reply; 0: only the call's time limit ends it.
    http_pool(std::size_t idlePerTarget, milliseconds connectTime, metrics_registry &metrics,
              std::chrono::seconds silence = {});
    ~http_pool();

    /// @param timeLimit For the whole call.
    /// @returns Any reply that arrived whole, whatever its status. A failure's verdict is NotRun
    ///          only where no byte of the request can have reached the server.
    result<http_reply> send(const endpoint &to, const http_request &request,
                            milliseconds timeLimit);

    /// As send(), with the body handed on as it arrives.
    /// @attention A cancelled call closes its connection.
    result<http_reply> stream(const endpoint &to, const http_request &request,
                              milliseconds timeLimit, const http_head_receiver &onHead,
                              const http_receiver &onPiece);

    /// Interrupts all calls; later ones fail at once.
    void stop();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool
