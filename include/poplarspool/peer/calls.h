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

/// Answers one call with an encoded reply. Called on a thread of the server.
using call_handler = std::function<result<std::string>(std::string_view payload)>;

/// Who this process is, for the header of every call.
struct call_identity
{
    instance_id instance;
    incarnation life = 0;
    std::string key; ///< Secret of the MAC.
};

/// Serves calls of other instances over TCP. A frame that is too long, foreign, replayed or bad is
/// counted and ends its connection.
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

/// Calls other instances over kept TCP connections. An answer is taken only where call id and both
/// incarnations match the open call; any other is dropped and counted.
class call_client
{
public:
    call_client(call_identity self, metrics_registry &metrics, journal &events);
    ~call_client();

    /// @returns The reply's payload; the other side's error as it was; NotRun where the call can't
    ///          have reached it.
    result<std::string> call(const endpoint &to, call_kind kind, const std::string &payload,
                             milliseconds timeLimit);
    void stop();

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// Typed call.
template <class Reply, class Ask>
result<Reply> ask(call_client &client, const endpoint &to, call_kind kind, const Ask &question,
                  milliseconds timeLimit)
{
    const result<std::string> answer = client.call(to, kind, encode(question), timeLimit);
    if (!succeeded(answer))
        return errorOf(answer);
    return decode<Reply>(valueOf(answer));
}

} // namespace poplarspool::peer
