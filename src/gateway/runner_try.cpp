#include "gateway/request_relay.h"

#include "gateway/runner_control.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cmath>

namespace poplarspool::gateway {

namespace {

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

socket_deadline request_relay::deadlineIn(milliseconds time) const
{
    return socket_clock::now() + std::max(time, milliseconds(1));
}

/// Within each class the operators' ranks decide; a workspace's rank takes precedence over its
/// route's. Requests that can't be on time are prefilled when no other request waits: if they came
/// first, each late request would make the next one late too.
std::uint32_t request_relay::priorityOf(send_class urgency) const
{
    const std::uint32_t given =
            owner != nullptr ? owner->rank.value_or(chosen->rank) : chosen->rank;
    const std::uint32_t rank = std::min(given, config::mostRank);
    return (urgency == send_class::Urgent ? config::urgentPriority : config::laterPriority) + rank;
}

request_relay::try_end request_relay::tryAt(const placement &place, const std::string &kvSource)
{
    const runner &target = *place.serving;
    ++sends;
    tried.push_back(target.id);
    lastRunner = target.id.text;
    lastFault.clear();
    parts.ledger.noteCached(target.id, read.prompt);
    try_end end = try_end::Lost;
    {
        runner_ledger::open_send record(parts.ledger, target.id,
                                        kvSource.empty() ? place.readingMs : 0, place.urgency);
        record.noteRuns();
        const bool updatesPace = kvSource.empty() && !place.cacheHolder && place.slotWaitMs == 0;
        if (engine != nullptr && updatesPace && !hasBegun)
            record.noteExpected(service, target.stage, place.aheadMs + place.readingMs);
        sending current{place, kvSource, record, deadlineIn(timeLeft() + config::lastWordTime)};
        end = sendTo(current);
    }
    logSend("send_end",
            {{"runner", target.id.text},
             {"address", textOf(target.address)},
             {"prefill", place.prefill ? place.prefill->id.text : ""},
             {"urgency", std::string(nameOf(place.urgency))},
             {"cache_from", place.cacheHolder ? place.cacheHolder->id.text : ""},
             {"reading_ms", std::to_string(std::lround(place.readingMs))},
             {"expected_ms", std::to_string(std::lround(place.expectedStartMs))},
             {"fault", lastFault},
             {"left_ms", std::to_string(timeLeft().count())}});
    const bool isTaken = end == try_end::Answered || end == try_end::Lost || hasBegun;
    if (place.prefill && !isTaken)
        freeHandle(*place.prefill, kvSource.substr(kvSource.find('/') + 1));
    return end;
}

/// A request that may not be repeated is never sent on a reused connection: the runner may be
/// closing it at that moment, and it would be unknown whether the request has run. A new
/// connection costs a round trip, but a failure to connect proves that the request has not run.
result<descriptor> request_relay::connectionTo(const endpoint &to, socket_deadline deadline) const
{
    auto connection = chosen->repeats == repeat_rule::Idempotent
            ? parts.connections.take(to, deadline, caller.descriptorNumber())
            : parts.connections.connect(to, deadline, -1);
    if (succeeded(connection))
        noticeSilence(valueOf(connection).get(), config::runnerSilence);
    return connection;
}

send_extras request_relay::extrasTo(const runner &target) const
{
    send_extras extras;
    extras.runner = target.id.text;
    extras.timeLeft = std::max(timeLeft(), milliseconds(1));
    extras.hidesKey = known->table->needsKeys;
    if (owner != nullptr)
        extras.workspace = owner->id.text;
    return extras;
}

send_extras request_relay::extrasFor(const sending &current) const
{
    send_extras extras = extrasTo(*current.place.serving);
    if (engine != nullptr)
        extras.priority =
                current.kvSource.empty() ? priorityOf(current.place.urgency) : config::readPriority;
    if (lastEvent)
        extras.lastEvent = std::to_string(*lastEvent);
    extras.kvSource = current.kvSource;
    if (current.place.cacheHolder)
        extras.kvFetch = textOf(current.place.cacheHolder->address);
    return extras;
}

request_relay::try_end request_relay::sendTo(sending &current)
{
    const runner &target = *current.place.serving;
    auto connection = connectionTo(target.address, current.deadline);
    if (!succeeded(connection)) {
        lastFault = "unreachable";
        current.record.noteEnd(send_end::Unreachable);
        return caller.isGone() ? try_end::CallerGone : try_end::NotRun;
    }
    if (current.place.cacheHolder)
        parts.metrics.kvCopies.add();
    if (hasBegun)
        parts.metrics.resumes.add();
    runner_call call(std::move(valueOf(connection)), caller.descriptorNumber());
    const std::string text =
            runnerRequestText(request, target.address, parts.names, extrasFor(current));
    sentAt = parts.clock.mono();
    const call_fault fault = call.send(text, current.deadline);
    if (call.mayHaveArrived())
        ++arrivals;
    if (fault != call_fault::None)
        return endOfFault(call, fault, current);
    const auto head = readOwnHead(call, current.deadline);
    if (const auto *failed = std::get_if<call_fault>(&head))
        return endOfFault(call, *failed, current);
    return takeReply(call, std::get<reply_head>(head), current);
}

/// A faulty runner may send a second reply after a complete one. It is then the first reply read
/// on the reused connection; passed on, a caller would get another caller's answer. Such replies
/// are recognized by their request id and skipped.
std::variant<reply_head, call_fault> request_relay::readOwnHead(runner_call &call,
                                                                socket_deadline deadline)
{
    for (std::uint32_t skipped = 0; skipped <= config::maxForeignReplies; ++skipped) {
        auto head = call.readHead(deadline);
        const auto *arrived = std::get_if<reply_head>(&head);
        if (arrived == nullptr)
            return head;
        const std::string_view id = headerOf(arrived->headers, parts.names.requestId);
        if (id.empty() || id == read.id)
            return head;
        parts.metrics.foreignReplies.add();
        const body_piece rest = call.readRest(deadline, config::maxReplyBytes);
        if (rest.fault != call_fault::None)
            return rest.fault;
        if (!rest.isLast)
            return call_fault::Malformed;
    }
    return call_fault::Malformed;
}

/// Determines what a failed step means for the request, and records it for the runner.
request_relay::try_end request_relay::endOfFault(runner_call &call, call_fault fault,
                                                 sending &current)
{
    const bool mayHaveRun = call.mayHaveArrived();
    call.abort();
    lastFault = nameOf(fault);
    if (mayHaveRun)
        ++runs;
    if (fault == call_fault::CallerGone)
        return try_end::CallerGone;
    // Lost answers are far more frequent than lost runners: the request counts as started.
    const bool isAnswerLost = fault == call_fault::Closed || fault == call_fault::Malformed;
    if (mayHaveRun && isAnswerLost && !current.record.hasStarted())
        noteBegun();
    if (fault != call_fault::TimedOut)
        current.record.noteEnd(mayHaveRun ? send_end::Failed : send_end::Unreachable);
    if (mayHaveRun && fault != call_fault::TimedOut)
        noteBroken(*current.place.serving, fault);
    return mayHaveRun ? try_end::Lost : try_end::NotRun;
}

/// A runner that is leaving ends its running requests, so their ends are not recorded as crashes.
void request_relay::noteBroken(const runner &target, call_fault fault)
{
    const auto listed = parts.hub.current();
    const auto found = listed->runners.find(target.id);
    const bool isStaying = found != listed->runners.end() && !found->second->isDraining
            && found->second->keptUntil == mono_time::max();
    if (!isStaying)
        return;
    if (fault == call_fault::Closed)
        parts.suspects.noteBroken(digest, target);
    else
        parts.suspects.noteDoubt(digest, target);
}

request_relay::try_end request_relay::noteServed(sending &current, try_end end)
{
    current.record.noteEnd(send_end::Served);
    parts.suspects.noteServed(digest);
    return end;
}

request_relay::try_end request_relay::takeReply(runner_call &call, const reply_head &head,
                                                sending &current)
{
    const bool isRefused = !headerOf(head.headers, parts.names.notRun).empty();
    if (isRefused
        || (head.status == misdirectedStatus && headerOf(head.headers, parts.names.seal).empty()))
        return takeRefusal(call, head, current);
    // A reply without the seal was not generated by the runner itself, whatever its status.
    if (headerOf(head.headers, parts.names.seal).empty())
        return endOfFault(call, call_fault::Malformed, current);
    if (chosen->isStream && isSuccess(head.status))
        return passStream(call, head, current);
    return passPlain(call, head, current);
}

/// The runner reports that it has not run the request.
request_relay::try_end request_relay::takeRefusal(runner_call &call, const reply_head &head,
                                                  sending &current)
{
    lastFault = "refused_" + std::to_string(head.status);
    if (head.status == misdirectedStatus)
        parts.ledger.noteMisdirected(current.place.serving);
    current.record.noteEnd(head.status == misdirectedStatus ? send_end::Misdirected
                                                            : send_end::Refused);
    const body_piece rest = call.readRest(current.deadline, config::maxHeldAnswerBytes);
    if (rest.isLast)
        keepConnection(call, head, current.place.serving->address);
    return rest.fault == call_fault::CallerGone ? try_end::CallerGone : try_end::NotRun;
}

void request_relay::noteBegun() const
{
    if (parts.usage == nullptr || owner == nullptr)
        return;
    const wall_time now = parts.usage->time.now().at;
    parts.usage->ledger.noteBegun(duties::windowAt(now, parts.usage->window), owner->id);
}

void request_relay::noteFirstByte(sending &current)
{
    if (!current.record.noteStart())
        return;
    noteBegun();
    parts.ledger.noteRead(current.place.serving->id, read.prompt);
    if (firstByteAt != mono_time{})
        return;
    firstByteAt = parts.clock.mono();
    parts.metrics.firstByte.record(firstByteAt - arrivedAt);
}

bool request_relay::beginReply(const reply_head &head)
{
    // A resumed stream continues within the reply that its first runner began.
    if (hasBegun)
        return true;
    hasBegun = true;
    return caller.begin(head.status, passedReplyHeaders(head.headers), {});
}

/// Passes on the complete events. Events up to the last one passed on are skipped: a runner may
/// resume the stream a little too early.
/// @returns False if the caller is gone.
bool request_relay::passEvents(event_splitter &events, const reply_head &head)
{
    while (auto event = events.next()) {
        if (event->id && lastEvent && *event->id <= *lastEvent)
            continue;
        if (!beginReply(head) || !caller.write(event->text))
            return false;
        if (event->id)
            lastEvent = event->id;
    }
    return true;
}

request_relay::try_end request_relay::passStream(runner_call &call, const reply_head &head,
                                                 sending &current)
{
    event_splitter events;
    while (true) {
        const body_piece piece = call.readBody(current.deadline);
        events.add(piece.bytes);
        if (!piece.bytes.empty())
            noteFirstByte(current);
        if (!passEvents(events, head)) {
            call.abort();
            ++runs;
            return try_end::CallerGone;
        }
        if (piece.fault != call_fault::None)
            return endOfFault(call, piece.fault, current);
        if (piece.isLast)
            break;
    }
    // A partial event before an orderly end: the runner has lost the rest.
    if (!events.isAtBoundary())
        return endOfFault(call, call_fault::Malformed, current);
    ++runs;
    keepConnection(call, head, current.place.serving->address);
    if (!beginReply(head))
        return noteServed(current, try_end::CallerGone);
    caller.end();
    return noteServed(current, try_end::Answered);
}

/// Buffers the answer until it is complete, so that the request can be retried if the runner
/// breaks off.
request_relay::try_end request_relay::passPlain(runner_call &call, const reply_head &head,
                                                sending &current)
{
    std::string body;
    body_piece piece;
    while (!piece.isLast) {
        piece = call.readBody(current.deadline);
        if (piece.fault != call_fault::None)
            return endOfFault(call, piece.fault, current);
        body += piece.bytes;
        if (body.size() > config::maxHeldAnswerBytes && !piece.isLast)
            return passLarge(call, head, std::move(body), current);
    }
    ++runs;
    noteFirstByte(current);
    keepConnection(call, head, current.place.serving->address);
    http_reply reply;
    reply.status = head.status;
    reply.headers = passedReplyHeaders(head.headers);
    reply.body = std::move(body);
    held = std::move(reply);
    if (head.status < 500)
        return noteServed(current, try_end::Held);
    current.record.noteEnd(send_end::Failed);
    lastFault = "runner_" + std::to_string(head.status);
    return try_end::Failed;
}

request_relay::try_end request_relay::passLarge(runner_call &call, const reply_head &head,
                                                std::string buffered, sending &current)
{
    noteFirstByte(current);
    body_piece piece;
    piece.bytes = std::move(buffered);
    while (true) {
        if (!beginReply(head) || !caller.write(piece.bytes)) {
            call.abort();
            ++runs;
            return try_end::CallerGone;
        }
        if (piece.isLast)
            break;
        piece = call.readBody(current.deadline);
        if (piece.fault != call_fault::None)
            return endOfFault(call, piece.fault, current);
    }
    ++runs;
    keepConnection(call, head, current.place.serving->address);
    caller.end();
    return noteServed(current, try_end::Answered);
}

void request_relay::keepConnection(runner_call &call, const reply_head &head, const endpoint &to)
{
    const milliseconds time = idleTimeOf(head.headers);
    descriptor reusable = call.takeConnection();
    if (reusable.isOpen() && time > milliseconds::zero())
        parts.connections.keep(to, std::move(reusable), time);
}

} // namespace poplarspool::gateway
