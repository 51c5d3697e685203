#include "gateway/request_proxy.h"

#include "gateway/runner_control.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace poplarspool::gateway {

namespace {

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

crashes::observed_runner observedOf(const runner &target)
{
    return {target.id, target.startedAtMs, target.address, target.zone};
}

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
    lastEndProof = {};
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
            {"end_proof", std::string(lastEndProof)},
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
    const bool mayRepeat = selectedRoute->retryPolicy == retry_policy::Idempotent || mayResume();
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
    if (order.last())
        extras.lastEventId = std::to_string(*order.last());
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
    current.witness.emplace(context.connections, context.names, target, current.connection,
                            current.deadline);
    // A short answer ends before a connection that is opened beside it can be older than its end.
    if (context.connections.unframed().contains(service))
        current.witness->open();
    runner_call call(
            std::move(current.connection.connection), caller.descriptorNumber(),
            silenceCheckOf(target, current.connection, [this] { return mayGoOnElsewhere(); }));
    const std::string requestHead =
            runnerRequestHead(request, target.address, context.names, extrasFor(current));
    if (!beginSend(target, current.connection))
        return withhold(call, current);
    const call_fault fault = call.send({requestHead, request.body}, current.deadline);
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
    if (isEndedByClose) {
        context.metrics.endedByClose.add();
        context.connections.unframed().record(service);
    }
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
        context.quarantineManager.recordConnectionLost(suspects, observedOf(target));
    else
        context.quarantineManager.recordUnconfirmed(suspects, observedOf(target));
}

} // namespace poplarspool::gateway
