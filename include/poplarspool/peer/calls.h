#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/peer/messages.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace poplarspool::peer {

/// Handles one call and returns the encoded reply. Runs on a server thread.
using call_handler = std::function<result<std::string>(std::string_view payload)>;

/// Identity of this process, sent in the header of every call.
struct call_identity
{
    instance_id instance;
    incarnation_number incarnation = 0;
    std::string key; ///< Secret from which the MAC key is derived.
};

/// Serves calls of other instances over TCP. A frame that is too long, foreign, replayed or
/// malformed is counted and closes its connection.
class call_server
{
public:
    call_server(endpoint bind, call_identity self, std::map<call_kind, call_handler> handlers,
                metrics_registry &metrics, journal &events);
    ~call_server();
    result<endpoint> start();
    void stop();

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// Calls other instances over pooled TCP connections. A reply is accepted only if its call id and
/// both incarnations match the open call; any other reply is dropped and counted.
class call_client
{
public:
    call_client(call_identity self, metrics_registry &metrics, journal &events);
    ~call_client();

    /// @returns The payload of the reply, or the error that the other instance returned. The
    ///          verdict is NotRun if the call can't have reached the other instance.
    result<std::string> call(const endpoint &to, call_kind kind, const std::string &payload,
                             milliseconds timeLimit);
    void stop();

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// Encodes `request`, sends the call and decodes the reply.
template <class Reply, class Request>
result<Reply> callTyped(call_client &client, const endpoint &to, call_kind kind,
                        const Request &request, milliseconds timeLimit)
{
    const result<std::string> reply = client.call(to, kind, encode(request), timeLimit);
    if (!succeeded(reply))
        return errorOf(reply);
    return decode<Reply>(valueOf(reply));
}

} // namespace poplarspool::peer
