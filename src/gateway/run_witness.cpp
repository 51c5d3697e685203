#include "gateway/run_witness.h"

#include "gateway/envelope.h"
#include "gateway/runner_control.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <thread>

namespace poplarspool::gateway {

namespace {

constexpr int requestTimeoutStatus = 408;
constexpr int tooManyRequestsStatus = 429;
constexpr int firstServerErrorStatus = 500;

} // namespace

run_witness::run_witness(runner_connector &connections, const dialect &names, const runner &target,
                         const runner_connection &used, socket_deadline deadline)
    : connections(connections), names(names), target(target),
      deadline(deadline), way{descriptor(), used.isTunnel, used.carrier, used.carrierAddress},
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
    if (deadline - socket_clock::now() < config::minTimeToOpenWitness)
        return;
    nextTryAt = socket_clock::now() + config::witnessRefreshTime;
    if (!acquire() && connect() && ask())
        isOlder = connection.connection.isOpen();
}

/// What has answered only after the end of the answer may be a process that has taken the place of
/// the one that ended.
void run_witness::keep(const runner_call &answer)
{
    if (answeredAt != socket_deadline{} && connection.connection.isOpen())
        isOlder = isOlder || answer.isDrainedAndOpen();
    const auto now = socket_clock::now();
    if (now < nextTryAt || failedTries == config::maxWitnessesAsked || !answer.isDrainedAndOpen())
        return;
    nextTryAt = now + config::witnessRefreshTime;
    if (!connection.connection.isOpen() && acquire())
        return;
    const bool isConnected = connection.connection.isOpen() || connect();
    if (isConnected && ask() && connection.connection.isOpen())
        isOlder = isOlder || answer.isDrainedAndOpen();
    else
        ++failedTries;
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
    auto made = connections.connectLike(target, way, callEnd());
    if (!succeeded(made))
        return false;
    connection = std::move(valueOf(made));
    return true;
}

socket_deadline run_witness::callEnd() const
{
    return std::min(deadline, socket_clock::now() + config::witnessCallTimeout);
}

/// Closes the connection if the run doesn't answer on it.
bool run_witness::ask()
{
    // A second answer to an earlier request, which may lie here also after the run has ended, would
    // be taken for the reply.
    if (!connection.connection.isOpen() || !isIdleAndOpen(connection.connection.get())) {
        connection.connection.reset();
        isOlder = false;
        return false;
    }
    send_extras extras;
    extras.runner = target.id.text;
    extras.timeLeft = config::witnessCallTimeout;
    const http_request request = names.reportRequest();
    const std::string head = runnerRequestHead(request, target.address, names, extras);
    auto answered = callOn(std::move(connection.connection), "runner " + target.id.text,
                           {head, request.body}, callEnd(), {});
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
/// another one, which says that it isn't the expected one. A plain service may know no reports.
bool run_witness::isAnswerOfRun(const http_reply &reply) const
{
    const std::string_view id = headerOf(reply.headers, names.runnerId);
    if (!id.empty())
        return id == target.id.text;
    if (!headerOf(reply.headers, names.requestId).empty() || reply.status == misdirectedStatus)
        return false;
    const bool isMarked = !headerOf(reply.headers, names.notRun).empty()
            || !headerOf(reply.headers, names.seal).empty();
    return isMarked
            || (reply.status < firstServerErrorStatus && reply.status != requestTimeoutStatus
                && reply.status != tooManyRequestsStatus);
}

} // namespace poplarspool::gateway
