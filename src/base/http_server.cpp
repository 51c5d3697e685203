#include "poplarspool/base/http.h"

#include "base/connection_threads.h"
#include "base/http_listener.h"
#include "base/open_sockets.h"
#include "base/reply_writer.h"
#include "base/request_reader.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/base/limits.h"

#include <atomic>
#include <cmath>
#include <utility>

namespace poplarspool {

namespace {

/// Maximum number of rejected connections that are half-closed at the same time so that the peer
/// can read the reply. Others are closed immediately.
constexpr std::uint32_t maxLingeringConnections = 32;

std::string metricName(std::string_view metric, const std::string &server)
{
    return "poplarspool_http_" + std::string(metric) + "{server=\"" + server + "\"}";
}

http_reply tooManyConnectionsReply()
{
    http_reply reply =
            errorReply(503, error_code::Overloaded, verdict::NotRun, "too many connections");
    reply.headers.emplace_back("Retry-After", "1");
    return reply;
}

/// @param draw Uniformly distributed random bits.
/// @returns Up to twice the time, so that callers that were refused together don't return together.
milliseconds spread(milliseconds time, std::uint64_t draw)
{
    return time
            + milliseconds(std::llround(static_cast<double>(time.count()) * toUnitInterval(draw)));
}

error_code errorCodeForStatus(int status)
{
    switch (status) {
    case 408:
        return error_code::TimedOut;
    case 413:
    case 431:
        return error_code::TooLarge;
    case 503:
        return error_code::Overloaded;
    default:
        return error_code::BadRequest;
    }
}

} // namespace

struct http_server::state
{
    state(const std::string &name, const endpoint &bind, http_limits limits, http_handler handler,
          metrics_registry &metrics, journal *events, memory_budget *memory)
        : name(name), bind(bind), limits(std::make_shared<const http_limits>(limits)),
          handler(std::move(handler)), memory(memory),
          connections(metrics.gaugeOf(metricName("connections", name))),
          refused(metrics.counterOf(metricName("refused_total", name))),
          timeouts(metrics.counterOf(metricName("timeouts_total", name))),
          badRequests(metrics.counterOf(metricName("bad_requests_total", name))),
          bufferedBytes(metrics.gaugeOf(metricName("buffered_bytes", name))),
          unreadBytes(metrics.gaugeOf(metricName("unread_bytes", name))),
          unsentBytes(metrics.gaugeOf(metricName("unsent_bytes", name))),
          faults{events, metrics.counterOf(metricName("faults_total", name))},
          serving("http_" + name, limits.connections, faults),
          lingering("http_refused_" + name, maxLingeringConnections, faults),
          listener([this](int fd) {
              descriptor arrived(fd);
              runLoggingExceptions(faults, [&] { accept(std::move(arrived)); });
          })
    { }

    struct connection_closer;

    void accept(descriptor arrived);
    void refuse(const std::shared_ptr<descriptor> &connection);
    void serve(descriptor &connection);
    bool answer(int fd, const arrived_request &arrived, const http_limits &bounds, bool closes,
                memory_reservation &reserved);
    counter &counterFor(int status);
    void rejectRequest(descriptor &connection, milliseconds writeTime, const bad_request &bad);

    const std::string name;
    const endpoint bind;
    replaceable_http_limits limits;
    const http_handler handler;
    memory_budget *const memory; ///< Null: no limit.
    gauge &connections;
    counter &refused;
    counter &timeouts;
    counter &badRequests;
    gauge &bufferedBytes; ///< In the readers' buffers.
    gauge &unreadBytes; ///< In the kernel's queues.
    gauge &unsentBytes;
    /// For exceptions in the handler and in connection threads.
    const step_failure_reporter faults;
    std::atomic<std::uint32_t> open{0};
    open_sockets sockets;
    std::atomic<bool> isShuttingDown{false};
    pollable_flag stopping;
    connection_threads serving;
    connection_threads lingering;
    http_listener listener;
};

/// Closes a connection and then updates the counts, also if serving it threw. The connection is
/// closed explicitly because the thread's copy of the job may outlive the server.
struct http_server::state::connection_closer
{
    connection_closer(state &owner, descriptor &connection) : owner(owner), connection(connection)
    {
        owner.sockets.add(connection.get());
    }
    connection_closer(const connection_closer &) = delete;
    connection_closer &operator=(const connection_closer &) = delete;
    ~connection_closer()
    {
        if (connection.isOpen())
            owner.sockets.remove(connection.get());
        connection.reset();
        owner.open.fetch_sub(1);
        owner.connections.add(-1);
    }

    state &owner;
    descriptor &connection;
};

/// Runs on the accepting thread, so it must not block.
void http_server::state::accept(descriptor arrived)
{
    const auto connection = std::make_shared<descriptor>(std::move(arrived));
    setNoDelay(connection->get());
    connections.add(1);
    open.fetch_add(1);
    const bool started = serving.run([this, connection] {
        const connection_closer end(*this, *connection);
        serve(*connection);
    });
    if (started)
        return;
    open.fetch_sub(1);
    connections.add(-1);
    refuse(connection);
}

void http_server::state::refuse(const std::shared_ptr<descriptor> &connection)
{
    refused.add();
    reply_writer writer(connection->get(), milliseconds(0), {.closes = true});
    writer.writeReply(tooManyConnectionsReply());
    lingering.run([this, connection] {
        closeAfterReply(std::move(*connection), socket_clock::now() + config::lingeringCloseTimeout,
                        stopping.descriptorNumber());
    });
}

void http_server::state::serve(descriptor &connection)
{
    request_reader reader(connection.get(), limits, stopping.descriptorNumber(), &bufferedBytes);
    milliseconds idleTime = limits.load()->readTimeout;
    std::size_t served = 0;
    while (true) {
        memory_reservation reserved(memory);
        const read_outcome outcome = reader.next(idleTime, reserved);
        if (std::holds_alternative<connection_ended>(outcome))
            return;
        const auto bounds = limits.load();
        if (const auto *bad = std::get_if<bad_request>(&outcome))
            return rejectRequest(connection, bounds->writeTimeout, *bad);
        const auto &arrived = std::get<arrived_request>(outcome);
        ++served;
        const bool closes = !arrived.keepsAlive || served >= bounds->keepAliveRequests
                || isShuttingDown.load() || stopping.isRaised();
        if (!answer(connection.get(), arrived, *bounds, closes, reserved))
            return;
        idleTime = bounds->keepAliveTimeout;
    }
}

/// @returns Whether the connection can be used for another request.
bool http_server::state::answer(int fd, const arrived_request &arrived, const http_limits &bounds,
                                bool closes, memory_reservation &reserved)
{
    const http_request &request = arrived.request;
    reply_writer writer(fd, bounds.writeTimeout,
                        {request.method == "HEAD", arrived.supportsChunks, closes, &reserved});
    std::optional<http_reply> reply;
    try {
        reply = handler(request, writer);
    } catch (...) {
        recordFailedStep(faults);
        // A reply already started is aborted, so that the caller sees that it is incomplete.
        reply = errorReply(500, error_code::Internal, verdict::MayHaveRun, "internal error");
    }
    if (reply)
        writer.writeReply(*reply);
    return writer.isComplete() && !writer.closes();
}

/// @param status Of a request that was not passed to the handler.
counter &http_server::state::counterFor(int status)
{
    if (status == 503)
        return refused;
    return status == 408 ? timeouts : badRequests;
}

void http_server::state::rejectRequest(descriptor &connection, milliseconds writeTime,
                                       const bad_request &bad)
{
    counterFor(bad.status).add();
    if (bad.status == 503 && faults.events != nullptr)
        faults.events->emit("request_refused", {{"server", name}, {"reason", bad.message}});
    reply_writer writer(connection.get(), writeTime, {.closes = true});
    http_reply reply =
            errorReply(bad.status, errorCodeForStatus(bad.status), verdict::NotRun, bad.message);
    if (bad.retryAfter)
        reply.headers.emplace_back(
                "Retry-After", secondsText(spread(*bad.retryAfter, hashOf(name, refused.get()))));
    writer.writeReply(reply);
    sockets.remove(connection.get());
    closeAfterReply(std::move(connection), socket_clock::now() + config::lingeringCloseTimeout,
                    stopping.descriptorNumber());
}

http_server::http_server(const std::string &name, const endpoint &bind, http_limits limits,
                         http_handler handler, metrics_registry &metrics, journal *events,
                         memory_budget *memory)
    : inner(std::make_unique<state>(name, bind, limits, std::move(handler), metrics, events,
                                    memory))
{ }

http_server::~http_server()
{
    stop();
}

result<endpoint> http_server::start()
{
    return inner->listener.start(inner->bind);
}

void http_server::setLimits(const http_limits &limits)
{
    inner->limits.store(std::make_shared<const http_limits>(limits));
}

void http_server::updateQueueMetrics()
{
    const queued_bytes queued = inner->sockets.queuedBytes();
    inner->unreadBytes.set(queued.unread);
    inner->unsentBytes.set(queued.unsent);
}

void http_server::announceShutdown()
{
    inner->isShuttingDown.store(true);
}

void http_server::stop()
{
    inner->stopping.raise();
    inner->listener.stop();
    inner->serving.join();
    inner->lingering.join();
}

std::uint32_t http_server::openConnections() const
{
    return inner->open.load();
}

} // namespace poplarspool
