#include "gateway/request_relay.h"

#include "base/http_text.h"
#include "gateway/caller_key.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/gateway/route_index.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace poplarspool::gateway {

namespace {

std::string retryAfterText(milliseconds time)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(time.count()) / 1000);
    return text.data();
}

/// Randomized, so that callers that were refused in the same burst don't come back in one.
/// @param draw Uniformly distributed random bits.
milliseconds retryAfterFor(double roomInMs, std::uint64_t draw)
{
    const milliseconds time(std::llround(roomInMs * (1 + unitOf(draw))));
    return std::clamp(time, config::refusedRetryAfter, config::refusedRetryAfterMost);
}

std::uint32_t sharedTokensOf(const std::vector<prompt_part> &prompt)
{
    std::uint32_t tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        tokens += prompt[i].tokens;
    return tokens;
}

} // namespace

relay_metrics::relay_metrics(metrics_registry &registry)
    : requests(registry.counterOf("poplarspool_gateway_requests_total")),
      whole(registry.counterOf("poplarspool_gateway_answers_total{end=\"whole\"}")),
      refused(registry.counterOf("poplarspool_gateway_answers_total{end=\"refused\"}")),
      failed(registry.counterOf("poplarspool_gateway_answers_total{end=\"failed\"}")),
      cut(registry.counterOf("poplarspool_gateway_answers_total{end=\"cut\"}")),
      callersGone(registry.counterOf("poplarspool_gateway_answers_total{end=\"caller_gone\"}")),
      unknownKeys(registry.counterOf("poplarspool_gateway_answers_total{end=\"unknown_key\"}")),
      quarantined(registry.counterOf("poplarspool_gateway_quarantined_total")),
      retries(registry.counterOf("poplarspool_gateway_retries_total")),
      resumes(registry.counterOf("poplarspool_gateway_resumes_total")),
      foreignReplies(registry.counterOf("poplarspool_gateway_foreign_replies_total")),
      handOvers(registry.counterOf("poplarspool_gateway_hand_overs_total")),
      kvCopies(registry.counterOf("poplarspool_gateway_kv_copies_total")),
      firstByte(registry.latencyOf("poplarspool_gateway_first_byte_seconds"))
{ }

request_relay::request_relay(const relay_parts &parts, const http_request &request,
                             http_sink &caller)
    : parts(parts), request(request), caller(caller), read(readEnvelope(request, parts.names)),
      digest(digestOf(request, parts.digestSeed)), arrivedAt(parts.clock.mono()),
      known(parts.hub.current()), comeBackIn(config::refusedRetryAfter)
{ }

std::optional<http_reply> request_relay::run()
{
    parts.metrics.requests.add();
    std::optional<http_reply> reply = serve();
    log("request_end",
        {{"route", chosen == nullptr ? "" : chosen->name},
         {"workspace", owner == nullptr ? "" : owner->id.text},
         {"status",
          reply              ? std::to_string(reply->status)
                  : hasBegun ? "passed"
                             : "none"},
         {"runner", lastRunner},
         {"sends", std::to_string(sends)},
         {"fault", lastFault},
         {"first_ms", firstByteAt == mono_time{} ? "" : millisecondsText(firstByteAt - arrivedAt)},
         {"took_ms", millisecondsText(parts.clock.mono() - arrivedAt)}});
    return reply;
}

std::optional<http_reply> request_relay::serve()
{
    if (auto refused = pickRoute())
        return refused;
    parts.retries.onRequest(service);
    while (timeLeft() >= config::leastSendTime && !isQuarantined()) {
        if (isCallerGone())
            return leaveOff();
        auto place = findPlace(nullptr);
        if (!place)
            break;
        std::string kvSource;
        if (place->prefill) {
            const auto prefillEngine = place->prefill;
            const auto handle = readPrompt(*place);
            if (!handle)
                continue;
            // The prefill took a while: by now the engine that was to serve may be leaving, or
            // another may have less load.
            place = findPlace(prefillEngine.get());
            if (isCallerGone() || !place || isQuarantined()) {
                freeHandle(*prefillEngine, *handle);
                continue;
            }
            place->prefill = prefillEngine;
            kvSource = textOf(prefillEngine->address) + "/" + *handle;
        }
        // A runner that could not be reached has received nothing of the request.
        const bool isExtra = arrivals > 0;
        if (isExtra && !parts.retries.tryTake(service)) {
            lastFault += lastFault.empty() ? "retry_budget" : "+retry_budget";
            break;
        }
        if (isExtra)
            parts.metrics.retries.add();
        const try_end end = tryAt(*place, kvSource);
        if (end == try_end::Answered) {
            parts.metrics.whole.add();
            return std::nullopt;
        }
        if (end == try_end::CallerGone)
            return leaveOff();
        if (end == try_end::Held) {
            parts.metrics.whole.add();
            return std::move(held);
        }
        if (!mayTryAgain(end))
            break;
    }
    return finish();
}

/// @returns The answer if the request can't be forwarded.
std::optional<http_reply> request_relay::pickRoute()
{
    // A 404 is final: callers don't come back after it. If the configuration is unknown or may
    // have changed since, the answer is 503.
    if (!known->table || !known->areRunnersKnown)
        return refusal(503, error_code::Unavailable, "no configuration loaded yet",
                       config::startingRetryAfter);
    chosen = findRoute(*known->table, *known->index, headerOf(request.headers, "host"),
                       request.path);
    if (chosen == nullptr) {
        if (parts.clock.mono() - known->tableConfirmedAt > config::routesTrustTime)
            return refusal(503, error_code::Stale,
                           "no such route in a possibly outdated configuration",
                           config::startingRetryAfter);
        parts.metrics.failed.add();
        return errorReply(404, error_code::NotFound, verdict::NotRun, "no such route");
    }
    if (auto refused = pickWorkspace())
        return refused;
    if (read.id.empty()) {
        parts.metrics.failed.add();
        return errorReply(400, error_code::BadRequest, verdict::NotRun,
                          "the header " + parts.names.requestId + " is missing");
    }
    const milliseconds limit =
            std::min(read.timeLimit.value_or(chosen->timeLimit), chosen->timeLimit);
    endsAt =
            std::min(arrivedAt + limit, mono_time(std::chrono::nanoseconds(parts.leavesAt.load())));
    // One draw for all tries of a request, so that a resumed stream stays with its service.
    service = drawService(*chosen, hashOf(read.id));
    const gateway::service *foundService = findService(*known->table, service);
    engine = foundService != nullptr && foundService->engine ? &*foundService->engine : nullptr;
    return std::nullopt;
}

/// As for routes: a 401 is final.
std::optional<http_reply> request_relay::pickWorkspace()
{
    const route_table &table = *known->table;
    if (!table.needsKeys)
        return std::nullopt;
    const auto age = parts.clock.mono() - known->tableConfirmedAt;
    const bool areKeysValid = std::chrono::floor<milliseconds>(age) <= parts.keyTrustTime;
    owner = areKeysValid ? keyOwnerOf(request, parts.names, table, *known->index) : nullptr;
    if (owner != nullptr || chosen->isAnonymous)
        return std::nullopt;
    if (age > config::routesTrustTime || table.hasUnreadKeys)
        return refusal(503, error_code::Stale, "no such key in a possibly outdated configuration",
                       config::startingRetryAfter);
    parts.metrics.unknownKeys.add();
    lastFault = "unknown_key";
    return errorReply(401, error_code::Unauthorized, verdict::NotRun, "no such key");
}

std::optional<placement> request_relay::findPlace(const runner *prefillEngine)
{
    // Runners may change during a request, so the latest view is used; the route stays the one
    // found on arrival.
    const auto latest = parts.hub.current();
    place_wish query;
    query.service = service;
    query.zone = parts.zone;
    query.promptTokens = read.promptTokens;
    query.sharedTokens = std::min(sharedTokensOf(read.prompt), read.promptTokens);
    query.affinityKey = read.prompt.size() < 2 ? 0 : read.prompt[read.prompt.size() - 2].chain;
    query.mayHandOver = !isHandOverLost && sends == 0 && parts.retries.hasRoom(service);
    query.hasBegun = hasBegun;
    query.isRead = prefillEngine != nullptr;
    if (prefillEngine != nullptr)
        query.readerZone = prefillEngine->zone;
    query.now = parts.clock.mono();
    chosenBy = latest;
    chosenAt = query.now;
    sentAt = {};
    query.objectiveLeftMs =
            std::chrono::duration<double, std::milli>(arrivedAt + chosen->objective - query.now)
                    .count();
    query.timeLeftMs = static_cast<double>(timeLeft().count());
    query.draw = hashOf(read.id, sends);
    if (engine != nullptr)
        query.engine = *engine;
    const auto candidates = parts.ledger.candidatesOf(*latest, service, engine, read.prompt, tried);
    const auto found = choosePlace(query, candidates);
    if (const auto *place = std::get_if<placement>(&found))
        return *place;
    const no_place &none = std::get<no_place>(found);
    if (none.roomInMs > 0) {
        comeBackIn = retryAfterFor(none.roomInMs, query.draw);
        lastFault = lastFault.empty() ? "no_room" : "no_room:" + lastFault;
    } else {
        lastFault = none.areAllTried ? "all_tried:" + lastFault : "no_runner";
    }
    return std::nullopt;
}

/// Checked before each send: in the meantime, runners may have ended under other attempts.
bool request_relay::isQuarantined()
{
    if (!kept)
        kept = parts.suspects.quarantineOf(digest);
    return kept.has_value();
}

bool request_relay::mayTryAgain(try_end end) const
{
    if (arrivals >= config::maxArrivals || sends >= config::maxSends || runs >= chosen->maxRunners)
        return false;
    // The caller's next attempt will show whether the request ends runners. Retried here at once,
    // such a request ended one runner after another.
    if (end == try_end::Lost && parts.suspects.countLives(digest) >= config::retryLives)
        return false;
    if (hasBegun)
        return chosen->isResumable;
    return end == try_end::NotRun || chosen->repeats == repeat_rule::Idempotent;
}

/// A caller that has closed its sending side is treated as gone: callers that half-close and still
/// read the answer don't occur here. Forwarding its request would waste a runner's time.
bool request_relay::isCallerGone() const
{
    const int fd = caller.descriptorNumber();
    return fd >= 0 && waitForSocket(fd, POLLRDHUP, socket_clock::now(), -1) == socket_fault::None;
}

std::optional<http_reply> request_relay::leaveOff()
{
    parts.metrics.callersGone.add();
    lastFault = "caller_gone";
    return std::nullopt;
}

/// Ends a request that no runner has answered.
std::optional<http_reply> request_relay::finish()
{
    if (hasBegun) {
        parts.metrics.cut.add();
        return std::nullopt;
    }
    // A runner's own error is more specific than the gateway's.
    if (held) {
        parts.metrics.failed.add();
        return std::move(held);
    }
    if (runs == 0 && kept) {
        parts.metrics.quarantined.add();
        lastFault = "quarantined";
        return refusal(503, error_code::Unavailable,
                       "request quarantined: runners ended while running it", kept->left);
    }
    if (runs == 0)
        return refusal(503, error_code::Overloaded, "no runner could take the request", comeBackIn);
    parts.metrics.failed.add();
    if (timeLeft() <= config::leastSendTime)
        return errorReply(504, error_code::TimedOut, verdict::MayHaveRun,
                          "no answer within the time limit");
    return errorReply(502, error_code::Broken, verdict::MayHaveRun,
                      "runner's answer lost or incomplete");
}

http_reply request_relay::refusal(int status, error_code code, std::string_view reason,
                                  milliseconds retryAfter)
{
    parts.metrics.refused.add();
    lastFault = lastFault.empty() ? std::string(reason) : lastFault;
    http_reply reply = errorReply(status, code, verdict::NotRun, reason);
    reply.headers.emplace_back("Retry-After", retryAfterText(retryAfter));
    return reply;
}

milliseconds request_relay::timeLeft() const
{
    return std::chrono::duration_cast<milliseconds>(endsAt - parts.clock.mono());
}

void request_relay::logSend(std::string_view kind, std::vector<event_field> fields) const
{
    fields.push_back({"runners_epoch", std::to_string(chosenBy->runnersVersion.epoch)});
    fields.push_back({"runners_revision", std::to_string(chosenBy->runnersVersion.revision)});
    fields.push_back({"runners_age_ms", millisecondsText(chosenAt - chosenBy->runnersConfirmedAt)});
    fields.push_back(
            {"sent_after_ms", sentAt == mono_time{} ? "" : millisecondsText(sentAt - chosenAt)});
    log(kind, std::move(fields));
}

void request_relay::log(std::string_view kind, std::vector<event_field> fields) const
{
    fields.insert(fields.begin(), {{"request", read.id}, {"digest", digestText(digest)}});
    const std::uint64_t version = known->table ? known->table->version : 0;
    fields.push_back({"routes_version", std::to_string(version)});
    parts.events.emit(kind, std::move(fields));
}

} // namespace poplarspool::gateway
