#include "gateway/request_proxy.h"

#include "base/http_text.h"
#include "gateway/caller_key.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/crashes/limits.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/gateway/route_index.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace poplarspool::gateway {

namespace {

/// Randomized, so that callers that were refused in the same burst don't come back in one.
/// @param draw Uniformly distributed random bits.
milliseconds retryAfterFor(double retryInMs, std::uint64_t draw)
{
    const milliseconds time(std::llround(retryInMs * (1 + toUnitInterval(draw))));
    return std::clamp(time, config::refusedRetryAfter, config::maxRefusedRetryAfter);
}

std::uint32_t sharedTokensOf(const std::vector<prompt_part> &prompt)
{
    std::uint32_t tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        tokens += prompt[i].tokens;
    return tokens;
}

/// Hash of the prompt's shared parts: all but the last, which is the request's own.
std::uint64_t affinityKeyOf(const std::vector<prompt_part> &prompt)
{
    return prompt.size() < 2 ? 0 : prompt[prompt.size() - 2].chain;
}

std::array<counter *, takeUpEnds> takeUpCountersOf(metrics_registry &registry)
{
    std::array<counter *, takeUpEnds> counters{};
    for (std::size_t i = 0; i < counters.size(); ++i) {
        const std::string name(nameOf(static_cast<take_up_end>(i)));
        counters[i] =
                &registry.counterOf("poplarspool_gateway_take_ups_total{version=\"" + name + "\"}");
    }
    return counters;
}

} // namespace

proxy_metrics::proxy_metrics(metrics_registry &registry)
    : requests(registry.counterOf("poplarspool_gateway_requests_total")),
      whole(registry.counterOf("poplarspool_gateway_answers_total{end=\"whole\"}")),
      refused(registry.counterOf("poplarspool_gateway_answers_total{end=\"refused\"}")),
      failed(registry.counterOf("poplarspool_gateway_answers_total{end=\"failed\"}")),
      cut(registry.counterOf("poplarspool_gateway_answers_total{end=\"cut\"}")),
      callersGone(registry.counterOf("poplarspool_gateway_answers_total{end=\"caller_gone\"}")),
      unknownKeys(registry.counterOf("poplarspool_gateway_answers_total{end=\"unknown_key\"}")),
      quarantined(registry.counterOf("poplarspool_gateway_quarantined_total")),
      quarantinedParts(registry.counterOf("poplarspool_gateway_quarantined_parts_total")),
      retries(registry.counterOf("poplarspool_gateway_retries_total")),
      resumes(registry.counterOf("poplarspool_gateway_resumes_total")),
      foreignReplies(registry.counterOf("poplarspool_gateway_foreign_replies_total")),
      prefillHandoffs(registry.counterOf("poplarspool_gateway_hand_overs_total")),
      kvCopies(registry.counterOf("poplarspool_gateway_kv_copies_total")),
      withheldSends(registry.counterOf("poplarspool_gateway_withheld_sends_total")),
      promoted(registry.counterOf("poplarspool_gateway_promoted_requests_total")),
      aboveShare(registry.counterOf("poplarspool_gateway_above_share_total")),
      endedByClose(registry.counterOf("poplarspool_gateway_answers_ended_by_close_total")),
      unprovenEnds(registry.counterOf("poplarspool_gateway_unproven_ends_total")),
      takeUps(takeUpCountersOf(registry)),
      firstByte(registry.latencyOf("poplarspool_gateway_first_byte_seconds")),
      routeOutcomes(registry)
{ }

request_proxy::request_proxy(const proxy_context &parts, const http_request &request,
                             http_sink &caller)
    : context(parts), request(request), caller(caller),
      metadata(readEnvelope(request, parts.names)), suspects{digestOf(request, parts.digestSeed),
                                                             {}},
      arrivedAt(parts.clock.mono()), view(parts.publisher.current()),
      retryAfterTime(config::refusedRetryAfter)
{ }

std::optional<http_reply> request_proxy::run()
{
    context.metrics.requests.add();
    std::optional<http_reply> reply = serve();
    releasePermits();
    log("request_end",
        {{"route", selectedRoute == nullptr ? "" : selectedRoute->name},
         {"workspace", owner == nullptr ? "" : owner->id.text},
         {"status",
          reply              ? std::to_string(reply->status)
                  : hasBegun ? "passed"
                             : "none"},
         {"runner", lastRunner},
         {"sends", std::to_string(sends)},
         {"resumes", metadata.resumes},
         {"after_event", metadata.lastEventId},
         {"fault", lastFault},
         {"share", shareText},
         {"retry_after_s", reply ? std::string(headerOf(reply->headers, "retry-after")) : ""},
         {"first_ms", firstByteAt == mono_time{} ? "" : millisecondsText(firstByteAt - arrivedAt)},
         {"took_ms", millisecondsText(context.clock.mono() - arrivedAt)}});
    const mono_time endedAt = context.clock.mono();
    const mono_time begunAt = firstByteAt == mono_time{} ? endedAt : firstByteAt;
    // An optional that was moved from still has a value: the reply is that of a runner.
    context.metrics.routeOutcomes.record(selectedRoute,
                                         {reply ? reply->status : 0, bufferedReply.has_value(),
                                          lastFault, begunAt - arrivedAt, endedAt - arrivedAt});
    return reply;
}

std::optional<http_reply> request_proxy::serve()
{
    if (auto refused = selectRoute())
        return refused;
    context.retries.onRequest(service);
    if (auto refused = selectVersion())
        return refused;
    while (timeLeft() >= config::minSendTime && !isQuarantined()) {
        if (isCallerGone())
            return abandon();
        auto place = findNextPlacement();
        if (!place)
            break;
        std::string kvSource;
        if (place->prefill) {
            const auto prefillEngine = place->prefill;
            const auto handle = runPrefill(*place);
            if (!handle)
                continue;
            // The prefill took a while: by now the engine that was to serve may be leaving, or
            // another may have less load.
            place = findPermittedPlacement(prefillEngine.get());
            if (isCallerGone() || !place || isQuarantined()) {
                freeHandle(*prefillEngine, *handle);
                continue;
            }
            place->prefill = prefillEngine;
            kvSource = textOf(prefillEngine->address) + "/" + *handle;
        }
        // A runner that could not be reached has received nothing of the request.
        const bool isExtra = arrivals > 0;
        if (isExtra && !context.retries.tryTake(service)) {
            lastFault += lastFault.empty() ? "retry_budget" : "+retry_budget";
            break;
        }
        if (isExtra)
            context.metrics.retries.add();
        const try_end end = tryAt(*place, kvSource);
        if (end == try_end::Answered) {
            context.metrics.whole.add();
            return std::nullopt;
        }
        if (end == try_end::CallerGone)
            return abandon();
        if (end == try_end::Held) {
            context.metrics.whole.add();
            return std::move(bufferedReply);
        }
        if (!mayTryAgain(end))
            break;
        if (end == try_end::Lost && hasBegun)
            awaitEndOfRun(*place->serving);
    }
    return finish();
}

/// @returns The answer if the request can't be forwarded.
std::optional<http_reply> request_proxy::selectRoute()
{
    // A 404 is final: callers don't come back after it. If the configuration is unknown or may
    // have changed since, the answer is 503.
    if (!view->table || !view->areRunnersKnown)
        return refusal(503, error_code::Unavailable, "no configuration loaded yet",
                       config::startingRetryAfter);
    selectedRoute =
            findRoute(*view->table, *view->index, headerOf(request.headers, "host"), request.path);
    if (selectedRoute == nullptr) {
        if (context.clock.mono() - view->tableConfirmedAt > context.routesProofTime)
            return refusal(503, error_code::Stale,
                           "no such route in a possibly outdated configuration",
                           config::startingRetryAfter);
        context.metrics.failed.add();
        return errorReply(404, error_code::NotFound, verdict::NotRun, "no such route");
    }
    if (auto refused = selectWorkspace())
        return refused;
    if (metadata.id.empty()) {
        context.metrics.failed.add();
        return errorReply(400, error_code::BadRequest, verdict::NotRun,
                          "the header " + context.names.requestId + " is missing");
    }
    suspects.parts = partSuspectsOf(metadata.prompt, owner == nullptr ? "" : owner->id.text,
                                    context.digestSeed);
    const milliseconds limit = std::min(metadata.timeLimit.value_or(selectedRoute->timeLimit),
                                        selectedRoute->timeLimit);
    endsAt = std::min(arrivedAt + limit,
                      mono_time(std::chrono::nanoseconds(context.leavesAtNs.load())));
    // One draw for all tries of a request and all attempts at a stream, so that a resumed stream
    // stays with its service.
    const std::string &drawnBy =
            isTakeUp() && !metadata.resumes.empty() ? metadata.resumes : metadata.id;
    service = pickServiceByWeight(*selectedRoute, hashOf(drawnBy));
    const gateway::service *foundService = findService(*view->table, service);
    engine = foundService != nullptr && foundService->engine ? &*foundService->engine : nullptr;
    recordAsked();
    return std::nullopt;
}

/// A 401 is final like the 404 of an unknown route, so the same precautions apply.
std::optional<http_reply> request_proxy::selectWorkspace()
{
    const route_table &table = *view->table;
    if (!table.needsKeys)
        return std::nullopt;
    const auto age = context.clock.mono() - view->tableConfirmedAt;
    const bool areKeysValid = std::chrono::floor<milliseconds>(age) <= context.keyTrustTime;
    owner = areKeysValid ? keyOwnerOf(request, context.names, table, *view->index) : nullptr;
    if (owner != nullptr || selectedRoute->allowsAnonymous)
        return std::nullopt;
    if (age > context.routesProofTime || table.hasUnreadableKeys)
        return refusal(503, error_code::Stale, "no such key in a possibly outdated configuration",
                       config::startingRetryAfter);
    context.metrics.unknownKeys.add();
    lastFault = "unknown_key";
    return errorReply(401, error_code::Unauthorized, verdict::NotRun, "no such key");
}

/// Where a stream's run breaks off at the only runner of its version that serves, it goes on there:
/// once, since other versions can't go on with it.
std::optional<placement> request_proxy::findNextPlacement()
{
    auto place = findPermittedPlacement(nullptr);
    const bool mayReturn = !place && hasBegun && streamVersion && !hasReturned && !isWaitUseful
            && !tried.empty() && lastConnectError.empty();
    if (!mayReturn)
        return place;
    hasReturned = true;
    tried.pop_back();
    return findPermittedPlacement(nullptr);
}

std::optional<placement> request_proxy::findPlacement(const runner *prefillEngine)
{
    // Runners may change during a request, so the latest view is used; the route stays the one
    // found on arrival.
    const auto latest = context.publisher.current();
    placement_query query;
    query.service = service;
    query.zone = context.zone;
    query.promptTokens = metadata.promptTokens;
    query.sharedTokens = std::min(sharedTokensOf(metadata.prompt), metadata.promptTokens);
    query.mayHandOff = !hasHandoffFailed && sends == 0 && context.retries.hasRoom(service);
    query.hasBegun = hasBegun || isTakeUp();
    query.mayMoveLater = selectedRoute->isResumable && !streamVersion;
    query.version = streamVersion;
    query.isPrefilled = prefillEngine != nullptr;
    if (prefillEngine != nullptr)
        query.prefillZone = prefillEngine->zone;
    query.now = context.clock.mono();
    placementView = latest;
    chosenAt = query.now;
    sentAt = {};
    query.objectiveLeftMs = std::chrono::duration<double, std::milli>(
                                    arrivedAt + selectedRoute->latencyObjective - query.now)
                                    .count();
    query.timeLeftMs = static_cast<double>(timeLeft().count());
    query.rank = rankOf();
    query.doRanksCount = doRanksCount();
    query.isPromotable = query.doRanksCount && admission::isPromotable(metadata.id)
            && context.runnerTable.hasRoomForPromotion(service);
    query.draw = hashOf(metadata.id, sends);
    if (engine != nullptr)
        query.engine = *engine;
    auto candidates = context.runnerTable.candidatesOf(*latest,
                                                       {service, engine, metadata.prompt, tried,
                                                        affinityKeyOf(metadata.prompt), query.draw,
                                                        streamVersion});
    removeRestarted(candidates);
    markLimited(candidates);
    markWithdrawn(candidates);
    applyShare(query);
    const auto found = choosePlacement(query, candidates);
    recordShortage(query, found);
    isWaitUseful = false;
    if (const auto *place = std::get_if<placement>(&found))
        return *place;
    const no_placement &none = std::get<no_placement>(found);
    isWaitUseful = none.isLimited
            || (none.isResting
                && none.retryInMs < static_cast<double>(config::maxPermitWait.count()));
    if (none.retryInMs > 0) {
        retryAfterTime = retryAfterFor(none.retryInMs, query.draw);
        const std::string reason = none.isResting ? "rests"
                : none.isLimited                  ? "rate_limit"
                : query.isAboveShare              ? "no_room:above_share"
                                                  : "no_room";
        lastFault = lastFault.empty() ? reason : reason + ":" + lastFault;
    } else {
        lastFault = none.areAllTried ? "all_tried:" + lastFault : "no_runner";
        if (streamVersion && !isServed(*streamVersion))
            lastFault = "version_gone:" + lastFault;
    }
    return std::nullopt;
}

/// Checked before each send: in the meantime, runners may have ended under other attempts.
bool request_proxy::isQuarantined()
{
    if (activeQuarantine || isTrial)
        return !isTrial;
    activeQuarantine = context.quarantineManager.quarantineOf(suspects);
    isTrial = activeQuarantine && activeQuarantine->isOver
            && context.quarantineManager.takeTrial(activeQuarantine->key);
    if (isTrial)
        activeQuarantine.reset();
    return activeQuarantine.has_value();
}

bool request_proxy::mayTryAgain(try_end end) const
{
    if (arrivals >= config::maxArrivals || sends >= config::maxRequestTries
        || possibleRuns >= selectedRoute->maxRunners)
        return false;
    if (end == try_end::Lost && (isTrial || context.quarantineManager.isRetryRisky(suspects)))
        return false;
    if (hasBegun)
        return mayResume();
    return end == try_end::NotRun || selectedRoute->retryPolicy == retry_policy::Idempotent;
}

bool request_proxy::mayResume() const
{
    return selectedRoute->isResumable && order.canResume();
}

/// A caller that has closed its sending side is treated as gone: callers that half-close and still
/// read the answer don't occur here. Forwarding its request would waste a runner's time.
bool request_proxy::isCallerGone() const
{
    const int fd = caller.descriptorNumber();
    return fd >= 0 && waitForSocket(fd, POLLRDHUP, socket_clock::now(), -1) == socket_fault::None;
}

std::optional<http_reply> request_proxy::abandon()
{
    context.metrics.callersGone.add();
    lastFault = callerGoneFault;
    return std::nullopt;
}

/// Ends a request that no runner has answered.
std::optional<http_reply> request_proxy::finish()
{
    if (hasBegun) {
        context.metrics.cut.add();
        return std::nullopt;
    }
    // A runner's own error is more specific than the gateway's.
    if (bufferedReply) {
        context.metrics.failed.add();
        return std::move(bufferedReply);
    }
    if (possibleRuns == 0 && activeQuarantine)
        return quarantineRefusal();
    if (possibleRuns == 0)
        return refusal(503, error_code::Overloaded, "no runner could take the request",
                       retryAfterTime);
    context.metrics.failed.add();
    if (timeLeft() <= config::minSendTime)
        return errorReply(504, error_code::TimedOut, verdict::MayHaveRun,
                          "no answer within the time limit");
    return errorReply(502, error_code::Broken, verdict::MayHaveRun,
                      "runner's answer lost or incomplete");
}

http_reply request_proxy::quarantineRefusal()
{
    const bool isPart = activeQuarantine->kind == crashes::suspect_kind::PromptPart;
    (isPart ? context.metrics.quarantinedParts : context.metrics.quarantined).add();
    lastFault = isPart ? "quarantined_part:" + digestText(activeQuarantine->key) : "quarantined";
    return refusal(
            503, error_code::Unavailable,
            isPart ? "request quarantined: runners ended while writing on a part of its prompt"
                   : "request quarantined: runners ended while running it",
            activeQuarantine->remaining);
}

http_reply request_proxy::refusal(int status, error_code code, std::string_view reason,
                                  milliseconds retryAfter)
{
    context.metrics.refused.add();
    lastFault = lastFault.empty() ? std::string(reason) : lastFault;
    http_reply reply = errorReply(status, code, verdict::NotRun, reason);
    reply.headers.emplace_back("Retry-After", secondsText(retryAfter));
    return reply;
}

milliseconds request_proxy::timeLeft() const
{
    return std::chrono::duration_cast<milliseconds>(endsAt - context.clock.mono());
}

void request_proxy::logSend(std::string_view kind, std::vector<event_field> fields) const
{
    fields.push_back({"runners_epoch", std::to_string(placementView->runnersVersion.epoch)});
    fields.push_back({"runners_revision", std::to_string(placementView->runnersVersion.revision)});
    fields.push_back(
            {"runners_age_ms", millisecondsText(chosenAt - placementView->runnersConfirmedAt)});
    fields.push_back(
            {"sent_after_ms", sentAt == mono_time{} ? "" : millisecondsText(sentAt - chosenAt)});
    fields.push_back({"withdrawal", std::string(nameOf(lastWithdrawal.kind))});
    fields.push_back({"withdrawal_ms", std::to_string(lastWithdrawal.age.count())});
    log(kind, std::move(fields));
}

void request_proxy::log(std::string_view kind, std::vector<event_field> fields) const
{
    fields.insert(fields.begin(),
                  {{"request", metadata.id}, {"digest", digestText(suspects.digest)}});
    const std::uint64_t version = view->table ? view->table->version : 0;
    fields.push_back({"routes_version", std::to_string(version)});
    context.events.emit(kind, std::move(fields));
}

} // namespace poplarspool::gateway
