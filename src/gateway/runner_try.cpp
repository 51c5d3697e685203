#include "gateway/request_proxy.h"

#include "gateway/runner_control.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace poplarspool::gateway {

namespace {

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

crashes::observed_runner observed(const runner &target)
{
    return {target.id, target.startedAtMs, target.address, target.zone};
}

/// With two decimals.
std::string textOfSpeed(double factor)
{
    const std::string text = std::to_string(factor);
    return text.substr(0, text.find('.') + 3);
}

std::string wayOf(const runner_connection &connection)
{
    if (!connection.isTunnel)
        return "direct";
    return connection.carrier.isValid() ? connection.carrier.text : "kept_tunnel";
}

} // namespace

socket_deadline request_proxy::deadlineIn(milliseconds time) const
{
    return socket_clock::now() + std::max(time, milliseconds(1));
}

request_proxy::try_end request_proxy::tryAt(const placement &place, const std::string &kvSource)
{
    const runner &target = *place.serving;
    usePermit(target);
    ++sends;
    tried.push_back(target.id);
    lastRunner = target.id.text;
    lastFault.clear();
    lastConnectError.clear();
    lastWithdrawal = {};
    lastWay.clear();
    isEndedByClose = false;
    endsKnown = context.quarantineManager.endsKnown();
    context.runnerTable.recordCached(target.id, metadata.prompt);
    const std::string limitText = limitTextOf(target);
    try_end end = try_end::Lost;
    {
        const bool isPrefilled = !kvSource.empty();
        runner_table::open_send record(context.runnerTable, target.id,
                                       isPrefilled ? 0 : place.prefillWorkMs, place.urgency,
                                       recordRank(place, isPrefilled));
        record.markRunning();
        const bool updatesPace = kvSource.empty() && !place.cacheSource && place.slotWaitMs == 0;
        if (engine != nullptr && updatesPace && !hasBegun)
            record.recordExpected(service, target.stage, place.aheadMs + place.prefillMs,
                                  place.medianMs);
        sending current{place, kvSource, record,
                        deadlineIn(timeLeft() + config::finalReplyGraceTime)};
        end = sendTo(current);
    }
    std::vector<event_field> fields{
            {"runner", target.id.text},
            {"version", target.version.text},
            {"address", textOf(target.address)},
            {"prefill", place.prefill ? place.prefill->id.text : ""},
            {"urgency", std::string(nameOf(place.urgency))},
            {"rank", engine == nullptr ? "" : std::to_string(place.rank)},
            {"cache_from", place.cacheSource ? place.cacheSource->id.text : ""},
            {"reading_ms", std::to_string(std::lround(place.prefillMs))},
            {"expected_ms", std::to_string(std::lround(place.expectedStartMs))},
            {"speed", textOfSpeed(place.speedFactor)},
            {"limit", limitText},
            {"way", lastWay},
            {"ends_by", isEndedByClose ? "close" : "framing"},
            {"parts", end == try_end::Lost ? sharedPartsText(request, context.names) : ""},
            {"fault", lastFault},
            {"left_ms", std::to_string(timeLeft().count())}};
    std::ranges::move(connectFieldsOf(target), std::back_inserter(fields));
    logSend("send_end", std::move(fields));
    const bool isTaken = end == try_end::Answered || end == try_end::Lost || hasBegun;
    if (place.prefill && !isTaken)
        freeHandle(*place.prefill, kvSource.substr(kvSource.find('/') + 1));
    return end;
}

std::string request_proxy::limitTextOf(const runner &target) const
{
    return textOfLimit(context.rateLimiter.limitOf(target));
}

std::vector<event_field> request_proxy::connectFieldsOf(const runner &target) const
{
    if (lastConnectError.empty())
        return {};
    const auto answeredAt = context.runnerTable.lastAnswerOf(target.id);
    return {{"connect", lastConnectError},
            {"answered_ms",
             answeredAt ? millisecondsText(context.clock.mono() - *answeredAt) : "never"}};
}

/// A request that may not be repeated is never sent on a reused connection: the runner may be
/// closing it at that moment, and it would be unknown whether the request has run. A new
/// connection costs a round trip, but a failure to connect proves that the request has not run.
result<runner_connection> request_proxy::connectionTo(const runner &target,
                                                      socket_deadline deadline) const
{
    auto connected = selectedRoute->retryPolicy == retry_policy::Idempotent
            ? context.connections.acquire(target, deadline, caller.descriptorNumber())
            : context.connections.connect(target, deadline, -1);
    if (succeeded(connected))
        enableDeadPeerDetection(valueOf(connected).connection.get(), config::runnerSilenceTimeout);
    return connected;
}

/// A cut link shows only in that nothing arrives, and TCP needs seconds to give up. Several silent
/// runners at once have their links checked; if other instances reach them, a call that may be
/// repeated elsewhere doesn't wait for TCP.
/// @param target Must outlive the check.
/// @param mayFail Whether the request can go on elsewhere.
silence_check request_proxy::silenceCheckOf(const runner &target,
                                            const runner_connection &connection,
                                            std::function<bool()> mayFail) const
{
    if (connection.isTunnel)
        return {};
    return {config::silentCallInterval,
            [this, &target, mayFail = std::move(mayFail)](milliseconds silence) {
                if (context.connections.links().isSilent(target.id))
                    return silence >= config::silentCallTimeout && mayFail();
                context.connections.recordSilentCall(target.id);
                return false;
            },
            [this] { context.connections.links().recordHeard(); }};
}

/// @returns Whether the request can be sent once more if its current send is lost.
bool request_proxy::mayGoOnElsewhere() const
{
    const bool mayRepeat =
            selectedRoute->retryPolicy == retry_policy::Idempotent || selectedRoute->isResumable;
    return mayRepeat && possibleRuns + 1 < selectedRoute->maxRunners
            && context.retries.hasRoom(service);
}

/// What an instance that is cut off fails to reach says nothing about the runner.
send_outcome request_proxy::unreachableOutcome() const
{
    return context.connections.links().isCutOff() ? send_outcome::Unknown
                                                  : send_outcome::Unreachable;
}

send_extras request_proxy::extrasTo(const runner &target) const
{
    send_extras extras;
    extras.runner = target.id.text;
    extras.timeLeft = std::max(timeLeft(), milliseconds(1));
    extras.hidesKey = view->table->needsKeys;
    if (owner != nullptr)
        extras.workspace = owner->id.text;
    return extras;
}

send_extras request_proxy::extrasFor(const sending &current) const
{
    send_extras extras = extrasTo(*current.place.serving);
    if (engine != nullptr)
        extras.priority =
                current.kvSource.empty() ? priorityOf(current.place) : config::prefilledPriority;
    if (lastEventId)
        extras.lastEventId = std::to_string(*lastEventId);
    extras.kvSource = current.kvSource;
    if (current.place.cacheSource)
        extras.kvFetch = textOf(current.place.cacheSource->address);
    return extras;
}

request_proxy::try_end request_proxy::sendTo(sending &current)
{
    const runner &target = *current.place.serving;
    auto connected = connectionTo(target, current.deadline);
    if (!succeeded(connected)) {
        lastFault = "unreachable";
        lastConnectError = errorOf(connected).message;
        current.record.recordEnd(unreachableOutcome());
        return caller.isGone() ? try_end::CallerGone : try_end::NotRun;
    }
    if (current.place.cacheSource)
        context.metrics.kvCopies.add();
    if (hasBegun)
        context.metrics.resumes.add();
    current.connection = std::move(valueOf(connected));
    lastWay = wayOf(current.connection);
    runner_call call(
            std::move(current.connection.connection), caller.descriptorNumber(),
            silenceCheckOf(target, current.connection, [this] { return mayGoOnElsewhere(); }));
    const std::string text =
            runnerRequestText(request, target.address, context.names, extrasFor(current));
    if (!beginSend(target, current.connection))
        return withhold(call, current);
    const call_fault fault = call.send(text, current.deadline);
    if (call.mayHaveArrived()) {
        ++arrivals;
        recordSent(current.place);
    }
    if (fault != call_fault::None)
        return handleFault(call, fault, current);
    const auto head = readOwnHead(call, current.deadline);
    if (const auto *failed = std::get_if<call_fault>(&head))
        return handleFault(call, *failed, current);
    isEndedByClose = call.isEndedByClose();
    context.metrics.endedByClose.add(isEndedByClose ? 1 : 0);
    return takeReply(call, std::get<reply_head>(head), current);
}

/// A faulty runner may send a second reply after a complete one. It is then the first reply read
/// on the reused connection; if it were passed on, a caller would get another caller's answer. Such
/// replies are recognized by their request id and skipped.
std::variant<reply_head, call_fault> request_proxy::readOwnHead(runner_call &call,
                                                                socket_deadline deadline)
{
    for (std::uint32_t skipped = 0; skipped <= config::maxForeignReplies; ++skipped) {
        auto head = call.readHead(deadline);
        const auto *arrived = std::get_if<reply_head>(&head);
        if (arrived == nullptr)
            return head;
        const std::string_view id = headerOf(arrived->headers, context.names.requestId);
        if (id.empty() || id == metadata.id)
            return head;
        context.metrics.foreignReplies.add();
        const body_piece rest = call.skipRest(deadline, config::maxReplyBytes);
        if (rest.fault != call_fault::None)
            return rest.fault;
        if (!rest.isLast)
            return call_fault::Malformed;
    }
    return call_fault::Malformed;
}

/// Determines what a failed step means for the request, and records it for the runner.
request_proxy::try_end request_proxy::handleFault(runner_call &call, call_fault fault,
                                                  sending &current)
{
    const bool mayHaveRun = call.mayHaveArrived();
    call.abort();
    lastFault = nameOf(fault);
    if (mayHaveRun)
        ++possibleRuns;
    if (fault == call_fault::CallerGone)
        return try_end::CallerGone;
    // Lost answers are far more frequent than lost runners: the request counts as started.
    const bool isAnswerLost = fault == call_fault::Closed || fault == call_fault::Malformed;
    if (mayHaveRun && isAnswerLost && !current.record.hasStarted())
        recordUsage();
    if (fault != call_fault::TimedOut)
        current.record.recordEnd(mayHaveRun ? send_outcome::Failed : send_outcome::Unreachable);
    if (mayHaveRun && fault != call_fault::TimedOut)
        recordBrokenReply(*current.place.serving, fault);
    return mayHaveRun ? try_end::Lost : try_end::NotRun;
}

/// A runner that is leaving ends its running requests, so their ends are not recorded as crashes.
void request_proxy::recordBrokenReply(const runner &target, call_fault fault)
{
    const auto listed = context.publisher.current();
    const runner_entry entry = listed->runners->find(target.id);
    const bool isStaying = entry && !entry->isDraining && entry->retainedUntil == mono_time::max();
    if (!isStaying)
        return;
    if (fault == call_fault::Closed)
        context.quarantineManager.recordConnectionLost(suspects, observed(target));
    else
        context.quarantineManager.recordUnconfirmed(suspects, observed(target));
}

/// A crash may end an answer like a runner that has written all of it, if only the end of the
/// connection ends the answer.
bool request_proxy::hasRunnerCrashed(const runner_call &call, const runner &target) const
{
    return call.isEndedByClose() && context.connections.hasEnded(target);
}

request_proxy::try_end request_proxy::recordServed(sending &current, try_end end)
{
    current.record.recordEnd(send_outcome::Served);
    context.quarantineManager.recordServed(suspects, observed(*current.place.serving), endsKnown);
    return end;
}

request_proxy::try_end request_proxy::takeReply(runner_call &call, const reply_head &head,
                                                sending &current)
{
    const runner &target = *current.place.serving;
    const bool isRefused = !headerOf(head.headers, context.names.notRun).empty();
    const bool isSealed = !headerOf(head.headers, context.names.seal).empty();
    const bool isWithdrawn = (isRefused || isSealed) && recordHead(target, head);
    if (head.status == misdirectedStatus && (isRefused || !isSealed))
        return takeRefusal(call, head, current);
    if (isRefused) {
        context.rateLimiter.recordReply(target, head.headers, refusalKind(isWithdrawn), sentAt);
        return takeRefusal(call, head, current);
    }
    // A reply without the seal was not generated by the runner itself, whatever its status.
    if (!isSealed)
        return handleFault(call, call_fault::Malformed, current);
    context.rateLimiter.recordReply(target, head.headers, reply_kind::Accepted, sentAt);
    if (selectedRoute->isStream && isSuccess(head.status))
        return passStream(call, head, current);
    return passPlain(call, head, current);
}

/// The runner reports that it has not run the request.
request_proxy::try_end request_proxy::takeRefusal(runner_call &call, const reply_head &head,
                                                  sending &current)
{
    lastFault = "refused_" + std::to_string(head.status);
    if (head.status == misdirectedStatus)
        context.runnerTable.recordMisdirected(current.place.serving);
    current.record.recordEnd(head.status == misdirectedStatus ? send_outcome::Misdirected
                                                              : send_outcome::Refused);
    const body_piece rest = call.skipRest(current.deadline, config::maxBufferedReplyBytes);
    if (rest.isLast)
        keepConnection(call, head, *current.place.serving, std::move(current.connection));
    return rest.fault == call_fault::CallerGone ? try_end::CallerGone : try_end::NotRun;
}

void request_proxy::recordUsage() const
{
    if (context.usage == nullptr || owner == nullptr)
        return;
    const wall_time now = context.usage->fleetClock.now().at;
    context.usage->table.recordRequestStart(duties::windowAt(now, context.usage->windowLength),
                                            owner->id);
}

void request_proxy::recordFirstByte(sending &current)
{
    if (!current.record.recordStart())
        return;
    recordUsage();
    context.runnerTable.recordPrefilled(current.place.serving->id, metadata.prompt);
    if (firstByteAt != mono_time{})
        return;
    firstByteAt = context.clock.mono();
    context.metrics.firstByte.record(firstByteAt - arrivedAt);
}

bool request_proxy::beginReply(const reply_head &head)
{
    // A resumed stream continues within the reply that its first runner began.
    if (hasBegun)
        return true;
    hasBegun = true;
    return caller.begin(head.status, forwardedReplyHeaders(head.headers), {});
}

/// Passes on the complete events. Events up to the last one passed on are skipped: a runner may
/// resume the stream a little too early.
/// @returns False if the caller is gone.
bool request_proxy::passEvents(event_splitter &events, const reply_head &head, const runner &target)
{
    while (auto event = events.next()) {
        if (event->id && lastEventId && *event->id <= *lastEventId)
            continue;
        if (!hasBegun)
            recordOrigin(target);
        if (!beginReply(head) || !caller.write(event->text))
            return false;
        if (event->id)
            lastEventId = event->id;
    }
    return true;
}

request_proxy::try_end request_proxy::passStream(runner_call &call, const reply_head &head,
                                                 sending &current)
{
    event_splitter events;
    while (true) {
        const body_piece piece = call.readBody(current.deadline);
        events.add(piece.bytes);
        const bool isFirst = !piece.bytes.empty() && !current.record.hasStarted();
        if (isFirst && hasOtherVersionNow(*current.place.serving))
            return handleFault(call, call_fault::Malformed, current);
        if (isFirst)
            recordFirstByte(current);
        if (!passEvents(events, head, *current.place.serving)) {
            call.abort();
            ++possibleRuns;
            return try_end::CallerGone;
        }
        if (piece.fault != call_fault::None)
            return handleFault(call, piece.fault, current);
        if (events.isTooLong())
            return handleFault(call, call_fault::Malformed, current);
        if (piece.isLast)
            break;
    }
    // A partial event before an orderly end: the runner has lost the rest.
    if (!events.isAtBoundary())
        return handleFault(call, call_fault::Malformed, current);
    if (hasRunnerCrashed(call, *current.place.serving))
        return handleFault(call, call_fault::Closed, current);
    ++possibleRuns;
    keepConnection(call, head, *current.place.serving, std::move(current.connection));
    if (!beginReply(head))
        return recordServed(current, try_end::CallerGone);
    caller.end();
    return recordServed(current, try_end::Answered);
}

/// Buffers the answer until it is complete, so that the request can be retried if the runner
/// breaks off.
request_proxy::try_end request_proxy::passPlain(runner_call &call, const reply_head &head,
                                                sending &current)
{
    std::string body;
    body_piece piece;
    while (!piece.isLast) {
        piece = call.readBody(current.deadline);
        if (piece.fault != call_fault::None)
            return handleFault(call, piece.fault, current);
        body += piece.bytes;
        if (body.size() > config::maxBufferedReplyBytes && !piece.isLast)
            return passLarge(call, head, std::move(body), current);
    }
    if (hasRunnerCrashed(call, *current.place.serving))
        return handleFault(call, call_fault::Closed, current);
    ++possibleRuns;
    recordFirstByte(current);
    keepConnection(call, head, *current.place.serving, std::move(current.connection));
    http_reply reply;
    reply.status = head.status;
    reply.headers = forwardedReplyHeaders(head.headers);
    reply.body = std::move(body);
    bufferedReply = std::move(reply);
    if (head.status < 500)
        return recordServed(current, try_end::Held);
    current.record.recordEnd(send_outcome::Failed);
    lastFault = "runner_" + std::to_string(head.status);
    return try_end::Failed;
}

request_proxy::try_end request_proxy::passLarge(runner_call &call, const reply_head &head,
                                                std::string buffered, sending &current)
{
    recordFirstByte(current);
    body_piece piece;
    piece.bytes = std::move(buffered);
    while (true) {
        if (!beginReply(head) || !caller.write(piece.bytes)) {
            call.abort();
            ++possibleRuns;
            return try_end::CallerGone;
        }
        if (piece.isLast)
            break;
        piece = call.readBody(current.deadline);
        if (piece.fault != call_fault::None)
            return handleFault(call, piece.fault, current);
    }
    if (hasRunnerCrashed(call, *current.place.serving))
        return handleFault(call, call_fault::Closed, current);
    ++possibleRuns;
    keepConnection(call, head, *current.place.serving, std::move(current.connection));
    caller.end();
    return recordServed(current, try_end::Answered);
}

void request_proxy::keepConnection(runner_call &call, const reply_head &head, const runner &target,
                                   runner_connection connection)
{
    const milliseconds time = idleTimeOf(head.headers);
    connection.connection = call.takeConnection();
    if (connection.connection.isOpen() && time > milliseconds::zero())
        context.connections.release(target, std::move(connection), time);
}

} // namespace poplarspool::gateway
