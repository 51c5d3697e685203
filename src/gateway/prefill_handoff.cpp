#include "gateway/request_proxy.h"

#include "gateway/runner_control.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace poplarspool::gateway {

namespace {

constexpr std::string_view unreachableFault = "prefill_unreachable";
constexpr int acceptedStatus = 200;

} // namespace

/// Has an engine prefill the prompt. That engine keeps the KV cache until another one takes it
/// over.
/// @returns The handle to the KV cache; none if the engine could not or would not prefill.
std::optional<std::string> request_proxy::runPrefill(const placement &place)
{
    const runner &prefillEngine = *place.prefill;
    usePermit(prefillEngine);
    runner_table::open_send record(context.runnerTable, prefillEngine.id, place.prefillWorkMs,
                                   place.urgency, recordRank(place, false));
    if (!place.cacheSource)
        record.recordExpected(service, prefillEngine.stage, place.aheadMs + place.prefillMs,
                              place.medianMs);
    context.runnerTable.recordCached(prefillEngine.id, metadata.prompt);
    context.metrics.prefillHandoffs.add();
    const std::string limitText = limitTextOf(prefillEngine);
    lastConnectError.clear();
    lastWithdrawal = {};
    const auto reply = sendPrefill(place, record);
    auto handle = reply ? context.names.parseHandle(reply->body) : std::nullopt;
    if (handle) {
        record.recordStart();
        record.recordEnd(send_outcome::Served);
        context.runnerTable.recordPrefilled(prefillEngine.id, metadata.prompt);
        logSend("prefill_end",
                {{"runner", prefillEngine.id.text},
                 {"version", prefillEngine.version.text},
                 {"urgency", std::string(nameOf(place.urgency))},
                 {"cache_from", place.cacheSource ? place.cacheSource->id.text : ""},
                 {"expected_ms", std::to_string(std::lround(place.expectedStartMs))},
                 {"reading_ms", std::to_string(std::lround(place.prefillMs))},
                 {"limit", limitText},
                 {"left_ms", std::to_string(timeLeft().count())}});
        return handle;
    }
    if (reply && reply->status == misdirectedStatus)
        context.runnerTable.recordMisdirected(place.prefill);
    const bool wasSent = reply || (lastFault != unreachableFault && !forbidsSends(lastWithdrawal));
    // A failed prefill is deducted from the retry budget unless nothing was sent; an accepted one
    // is free. While engines refuse or break off, each handoff would cost a second send: once the
    // budget is overdrawn, prompts are prefilled where they run.
    if (wasSent)
        context.retries.takeUnconditionally(service);
    // The prompt is then prefilled where the request runs, which costs time but not the answer. An
    // engine that got nothing or has refused has cost little, so that another handoff may be tried.
    const bool isRefused = record.outcome() == send_outcome::Refused;
    hasHandoffFailed = wasSent && !(isRefused && ++refusedHandoffs < config::maxHandoffs);
    tried.push_back(prefillEngine.id);
    std::vector<event_field> fields{{"runner", prefillEngine.id.text},
                                    {"status", reply ? std::to_string(reply->status) : "none"},
                                    {"fault", lastFault},
                                    {"left_ms", std::to_string(timeLeft().count())}};
    std::ranges::move(connectFieldsOf(prefillEngine), std::back_inserter(fields));
    logSend("prefill_lost", std::move(fields));
    return std::nullopt;
}

std::optional<http_reply> request_proxy::sendPrefill(const placement &place,
                                                     runner_table::open_send &record)
{
    const runner &prefillEngine = *place.prefill;
    const socket_deadline deadline = deadlineIn(timeLeft());
    auto connected = context.connections.acquire(prefillEngine, deadline, -1);
    if (!succeeded(connected)) {
        lastFault = unreachableFault;
        lastConnectError = errorOf(connected).message;
        record.recordEnd(unreachableOutcome());
        return std::nullopt;
    }
    runner_connection connection = std::move(valueOf(connected));
    enableDeadPeerDetection(connection.connection.get(), config::runnerSilenceTimeout);
    send_extras extras = extrasTo(prefillEngine);
    extras.priority = priorityOf(place);
    extras.isPrefillOnly = true;
    if (place.cacheSource) {
        extras.kvFetch = textOf(place.cacheSource->address);
        context.metrics.kvCopies.add();
    }
    runner_call call(std::move(connection.connection), caller.descriptorNumber(),
                     silenceCheckOf(prefillEngine, connection, [] { return true; }));
    const std::string requestHead =
            runnerRequestHead(request, prefillEngine.address, context.names, extras);
    if (!beginSend(prefillEngine, connection)) {
        lastFault = "prefill_" + std::string(nameOf(lastWithdrawal.kind));
        connection.connection = call.takeUnused();
        context.connections.releaseUnused(prefillEngine, std::move(connection));
        return std::nullopt;
    }
    call_fault fault = call.send({requestHead, request.body}, deadline);
    if (fault != call_fault::None) {
        lastFault = "prefill_" + std::string(nameOf(fault));
        record.recordEnd(fault == call_fault::CallerGone ? send_outcome::Unknown
                                                         : send_outcome::Failed);
        call.abort();
        return std::nullopt;
    }
    const auto head = readOwnHead(call, deadline);
    http_reply reply;
    if (const auto *arrived = std::get_if<reply_head>(&head)) {
        const bool isWithdrawn = recordHead(prefillEngine, *arrived);
        reply.status = arrived->status;
        const bool isRefused = !headerOf(arrived->headers, context.names.notRun).empty();
        if (isRefused ? arrived->status != misdirectedStatus : arrived->status == acceptedStatus)
            context.rateLimiter.recordReply(
                    prefillEngine, arrived->headers,
                    isRefused ? refusalKind(isWithdrawn) : reply_kind::Accepted, sentAt);
        body_piece rest = call.readRest(deadline, config::maxHandleReplyBytes);
        reply.body = std::move(rest.bytes);
        fault = rest.fault;
        if (rest.isLast) {
            keepConnection(call, *arrived, prefillEngine, std::move(connection));
            record.recordEnd(isRefused ? send_outcome::Refused : send_outcome::Failed);
            return reply;
        }
    } else {
        fault = std::get<call_fault>(head);
    }
    lastFault = "prefill_" + std::string(nameOf(fault));
    record.recordEnd(fault == call_fault::CallerGone || fault == call_fault::TimedOut
                             ? send_outcome::Unknown
                             : send_outcome::Failed);
    call.abort();
    return std::nullopt;
}

/// KV cache that no engine takes over occupies the engine's memory until it expires.
void request_proxy::freeHandle(const runner &prefillEngine, const std::string &handle)
{
    const mono_time askedAt = context.clock.mono();
    const withdrawals::withdrawal wanted = context.withdrawalRegistry.find(lifeOf(prefillEngine));
    if (forbidsSends(wanted)) {
        log("handle_not_freed",
            {{"runner", prefillEngine.id.text},
             {"reason", "engine " + std::string(nameOf(wanted.kind))}});
        return;
    }
    const auto freed =
            callRunner(context.connections, context.names, prefillEngine,
                       context.names.freeHandleRequest(handle), config::freeHandleTimeout);
    if (!succeeded(freed)) {
        log("handle_not_freed",
            {{"runner", prefillEngine.id.text}, {"reason", errorOf(freed).message}});
        return;
    }
    const http_reply &reply = valueOf(freed);
    context.withdrawalRegistry.recordAnswer({lifeOf(prefillEngine), reply.status, reply.headers,
                                             withdrawals::answer_kind::Control, askedAt,
                                             metadata.id});
}

} // namespace poplarspool::gateway
