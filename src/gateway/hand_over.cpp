#include "gateway/request_relay.h"

#include "gateway/runner_control.h"
#include "poplarspool/gateway/limits.h"

#include <cmath>

namespace poplarspool::gateway {

namespace {

constexpr std::string_view unreachableFault = "prefill_unreachable";

} // namespace

/// Lets an engine prefill the prompt. It keeps the KV cache until another engine takes it over.
/// @returns The handle to the KV cache; none if the engine could not or would not prefill.
std::optional<std::string> request_relay::readPrompt(const placement &place)
{
    const runner &prefillEngine = *place.prefill;
    runner_ledger::open_send record(parts.ledger, prefillEngine.id, place.readingMs, place.urgency);
    if (!place.cacheHolder)
        record.noteExpected(service, prefillEngine.stage, place.aheadMs + place.readingMs);
    parts.ledger.noteCached(prefillEngine.id, read.prompt);
    parts.metrics.handOvers.add();
    const auto reply = askPrefill(place, record);
    auto handle = reply ? parts.names.readHandle(reply->body) : std::nullopt;
    if (handle) {
        record.noteStart();
        record.noteEnd(send_end::Served);
        parts.ledger.noteRead(prefillEngine.id, read.prompt);
        logSend("prefill_end",
                {{"runner", prefillEngine.id.text},
                 {"urgency", std::string(nameOf(place.urgency))},
                 {"cache_from", place.cacheHolder ? place.cacheHolder->id.text : ""},
                 {"expected_ms", std::to_string(std::lround(place.expectedStartMs))},
                 {"reading_ms", std::to_string(std::lround(place.readingMs))},
                 {"left_ms", std::to_string(timeLeft().count())}});
        return handle;
    }
    if (reply && reply->status == misdirectedStatus)
        parts.ledger.noteMisdirected(place.prefill);
    const bool isUnreachable = !reply && lastFault == unreachableFault;
    // A failed prefill is deducted from the retry budget unless the engine was unreachable; an
    // accepted one is free. While engines refuse or break off, each handoff would cost a second
    // send: once the budget is overdrawn, prompts are prefilled where they run.
    if (!isUnreachable)
        parts.retries.takeAnyway(service);
    // The prompt is then prefilled where the request runs, which costs time but not the answer. An
    // unreachable engine has cost little, so that another handoff may be tried.
    isHandOverLost = !isUnreachable;
    tried.push_back(prefillEngine.id);
    logSend("prefill_lost",
            {{"runner", prefillEngine.id.text},
             {"status", reply ? std::to_string(reply->status) : "none"},
             {"fault", lastFault},
             {"left_ms", std::to_string(timeLeft().count())}});
    return std::nullopt;
}

std::optional<http_reply> request_relay::askPrefill(const placement &place,
                                                    runner_ledger::open_send &record)
{
    const runner &prefillEngine = *place.prefill;
    const socket_deadline deadline = deadlineIn(timeLeft());
    auto connection = parts.connections.take(prefillEngine.address, deadline, -1);
    if (!succeeded(connection)) {
        lastFault = unreachableFault;
        record.noteEnd(send_end::Unreachable);
        return std::nullopt;
    }
    noticeSilence(valueOf(connection).get(), config::runnerSilence);
    send_extras extras = extrasTo(prefillEngine);
    extras.priority = priorityOf(place.urgency);
    extras.isPrefillOnly = true;
    if (place.cacheHolder) {
        extras.kvFetch = textOf(place.cacheHolder->address);
        parts.metrics.kvCopies.add();
    }
    runner_call call(std::move(valueOf(connection)), caller.descriptorNumber());
    const std::string text = runnerRequestText(request, prefillEngine.address, parts.names, extras);
    sentAt = parts.clock.mono();
    call_fault fault = call.send(text, deadline);
    if (fault != call_fault::None) {
        lastFault = "prefill_" + std::string(nameOf(fault));
        record.noteEnd(fault == call_fault::CallerGone ? send_end::Unknown : send_end::Failed);
        call.abort();
        return std::nullopt;
    }
    const auto head = readOwnHead(call, deadline);
    http_reply reply;
    if (const auto *arrived = std::get_if<reply_head>(&head)) {
        reply.status = arrived->status;
        body_piece rest = call.readRest(deadline, config::maxHeldAnswerBytes);
        reply.body = std::move(rest.bytes);
        fault = rest.fault;
        if (rest.isLast) {
            keepConnection(call, *arrived, prefillEngine.address);
            const bool isRefused = !headerOf(arrived->headers, parts.names.notRun).empty();
            record.noteEnd(isRefused ? send_end::Refused : send_end::Failed);
            return reply;
        }
    } else {
        fault = std::get<call_fault>(head);
    }
    lastFault = "prefill_" + std::string(nameOf(fault));
    record.noteEnd(fault == call_fault::CallerGone || fault == call_fault::TimedOut
                           ? send_end::Unknown
                           : send_end::Failed);
    call.abort();
    return std::nullopt;
}

/// KV cache that no engine takes over occupies the engine's memory until it expires.
void request_relay::freeHandle(const runner &prefillEngine, const std::string &handle)
{
    const auto freed = askRunner(parts.connections, parts.names, prefillEngine,
                                 parts.names.freeHandle(handle), config::freeHandleTime);
    if (!succeeded(freed))
        log("handle_not_freed",
            {{"runner", prefillEngine.id.text}, {"reason", errorOf(freed).message}});
}

} // namespace poplarspool::gateway
