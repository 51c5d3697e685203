#include "gateway/run_witness.h"

#include "gateway/envelope.h"
#include "gateway/runner_control.h"
#include "poplarspool/gateway/limits.h"

#include <thread>

namespace poplarspool::gateway {

namespace {

constexpr int firstServerErrorStatus = 500;

} // namespace

run_witness::run_witness(runner_connector &connections, const dialect &names, const runner &target,
                         const runner_connection &used)
    : connections(connections), names(names),
      target(target), way{descriptor(), used.isTunnel, used.carrier, used.carrierAddress},
      createdAt(socket_clock::now())
{ }

run_witness::~run_witness()
{
    const auto left = std::chrono::duration_cast<milliseconds>(idleUntil - socket_clock::now());
    if (connection.connection.isOpen() && left > milliseconds::zero())
        connections.release(target, std::move(connection), left);
}

void run_witness::open()
{
    if (!acquire() && connect() && ask())
        isOlder = connection.connection.isOpen();
}

void run_witness::keep(const runner_call &answer)
{
    if (isFresh() || answer.isPeerClosed())
        return;
    if (!connection.connection.isOpen() && (acquire() || !connect()))
        return;
    // What has answered only after the end of the answer may be a process that has taken the place
    // of the one that ended.
    if (ask() && !answer.isPeerClosed())
        isOlder = connection.connection.isOpen();
}

bool run_witness::confirm()
{
    std::this_thread::sleep_for(config::processExitTime);
    if (isOlder && ask())
        return true;
    // An idle connection that was closed proves nothing.
    for (std::size_t asked = 0; asked < config::maxWitnessesAsked && acquire(); ++asked) {
        if (ask())
            return true;
    }
    return false;
}

bool run_witness::isFresh() const
{
    return connection.connection.isOpen()
            && socket_clock::now() - answeredAt < config::witnessRefreshTime;
}

/// Takes an idle connection whose last reply was complete before the request was sent.
bool run_witness::acquire()
{
    idle_runner_connection idle = connections.acquireOlder(target, way, createdAt);
    connection = std::move(idle.connection);
    answeredAt = {};
    idleUntil = socket_clock::now() + idle.idleTimeLeft;
    isOlder = connection.connection.isOpen();
    return isOlder;
}

bool run_witness::connect()
{
    const auto deadline = socket_clock::now() + config::witnessCallTimeout;
    auto made = connections.connectLike(target, way, deadline);
    if (!succeeded(made))
        return false;
    connection = std::move(valueOf(made));
    return true;
}

/// Closes the connection if the run doesn't answer on it.
bool run_witness::ask()
{
    if (!connection.connection.isOpen())
        return false;
    const auto deadline = socket_clock::now() + config::witnessCallTimeout;
    send_extras extras;
    extras.runner = target.id.text;
    extras.timeLeft = config::witnessCallTimeout;
    const http_request request = names.reportRequest();
    const std::string head = runnerRequestHead(request, target.address, names, extras);
    auto answered = callOn(std::move(connection.connection), "runner " + target.id.text,
                           {head, request.body}, deadline, {});
    if (!succeeded(answered) || !isAnswerOfRun(valueOf(answered).reply)) {
        isOlder = false;
        return false;
    }
    connection.connection = std::move(valueOf(answered).connection);
    isOlder = isOlder && connection.connection.isOpen();
    answeredAt = socket_clock::now();
    idleUntil = answeredAt + idleTimeOf(valueOf(answered).reply.headers);
    return true;
}

/// A proxy before the runner answers in its place with a server error, or hands the call on to
/// another one, which says that it isn't the expected one.
bool run_witness::isAnswerOfRun(const http_reply &reply) const
{
    const std::string_view id = headerOf(reply.headers, names.runnerId);
    if (!id.empty())
        return id == target.id.text;
    if (reply.status == misdirectedStatus)
        return false;
    return reply.status < firstServerErrorStatus || !headerOf(reply.headers, names.notRun).empty()
            || !headerOf(reply.headers, names.seal).empty();
}

} // namespace poplarspool::gateway
