#include "node/order_sender.h"

#include "base/connect.h"
#include "base/pooled_call.h"
#include "node/order_guard.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/runner/limits.h"
#include "runner/engine_json.h"

#include <algorithm>
#include <unistd.h>

namespace poplarspool::node {

namespace {

constexpr int statusOk = 200;

/// Guards a connection until the call has ended, however it ends. The guard uses a duplicate of the
/// descriptor: the call closes its own, whose number may at once be reused for another thread's
/// connection, which the guard would then abort.
class guarded_connection
{
public:
    guarded_connection(order_guard &guard, int socket)
        : guard(guard), connection(dup(socket)), isAllowed(guard.adopt(connection.get()))
    { }
    ~guarded_connection() { guard.release(); }
    guarded_connection(const guarded_connection &) = delete;
    guarded_connection &operator=(const guarded_connection &) = delete;

    bool maySend() const { return connection.isOpen() && isAllowed; }

private:
    order_guard &guard;
    const descriptor connection;
    const bool isAllowed;
};

error windowOver()
{
    return notRun(error_code::TimedOut, "order not sent: its send window has ended");
}

http_request orderRequest(const runner::engine_order &order)
{
    http_request request;
    request.method = "POST";
    request.path = "/order";
    request.body = runner::encodeOrder(order);
    request.contentType = "application/json";
    request.headers = {{"Connection", "close"}};
    return request;
}

/// Collects the body of the reply to an order, up to config::maxTargetErrorBytes.
class short_body
{
public:
    bool add(std::string_view piece)
    {
        text.append(piece);
        return text.size() <= config::maxTargetErrorBytes;
    }
    const std::string &all() const { return text; }

private:
    std::string text;
};

result<unit> sendOrder(const endpoint &engine, const runner::engine_order &order,
                       milliseconds timeLimit, const before_send &hook)
{
    order_guard *guard = order_guard::current();
    if (guard == nullptr)
        return notRun(error_code::Internal, "order not sent: the thread has no order_guard");
    const pollable_flag neverStopped;
    const socket_deadline deadline = socket_clock::now() + timeLimit;
    const socket_deadline connectEnd = socket_clock::now() + config::connectTimeout;
    auto connection = connectTo(engine, std::min(deadline, connectEnd), -1);
    if (!succeeded(connection))
        return errorOf(connection);
    const guarded_connection guarded(*guard, valueOf(connection).get());
    if (!guarded.maySend())
        return windowOver();
    if (hook)
        hook();
    short_body body;
    pooled_call call(engine, std::move(valueOf(connection)), deadline, neverStopped);
    const auto reply = call.run(orderRequest(order),
                                {[](const http_reply &) { return true; },
                                 [&](std::string_view piece) { return body.add(piece); }});
    if (!succeeded(reply))
        return errorOf(reply);
    if (valueOf(reply).status != statusOk)
        return runner::parseRefusal(valueOf(reply).status, body.all());
    return unit{};
}

} // namespace

runner::engine_api withGuardedOrders(runner::engine_api engines, const before_send &hook)
{
    engines.order = [hook](const endpoint &engine, const runner::engine_order &order,
                           milliseconds timeLimit) {
        return sendOrder(engine, order, timeLimit, hook);
    };
    return engines;
}

} // namespace poplarspool::node
