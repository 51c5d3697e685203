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

/// Callers that were refused in the same burst don't come back in one.
/// @param draw Any number, evenly spread.
milliseconds comeBackTime(double roomInMs, std::uint64_t draw)
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
            const auto reader = place->prefill;
            const auto handle = readPrompt(*place);
            if (!handle)
                continue;
            // Reading took a while: the engine that was to serve may be leaving by now, and another
            // may have less to do.
            place = findPlace(reader.get());
            if (isCallerGone() || !place || isQuarantined()) {
                freeHandle(*reader, *handle);
                continue;
            }
            place->prefill = reader;
            kvSource = textOf(reader->address) + "/" + *handle;
        }
        // A runner that could not be reached has seen nothing of the request.
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

/// @returns The answer where the request can't be passed on.
std::optional<http_reply> request_relay::pickRoute()
{
    // A 404 says for good that there is no such thing, and callers don't come back after it. Where
    // the configuration isn't known, or may have changed since, only "not now" is true.
    if (!known->table || !known->areRunnersKnown)
        return refusal(503, error_code::Unavailable, "no configuration is known yet",
                       config::startingRetryAfter);
    chosen = findRoute(*known->table, *known->index, headerOf(request.headers, "host"),
                       request.path);
    if (chosen == nullptr) {
        if (parts.clock.mono() - known->tableConfirmedAt > config::routesTrustTime)
            return refusal(503, error_code::Stale, "the route is not known here",
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
    const gateway::service *kind = findService(*known->table, service);
    engine = kind != nullptr && kind->engine ? &*kind->engine : nullptr;
    return std::nullopt;
}

/// As for routes: a 401 says for good that there is no such key.
std::optional<http_reply> request_relay::pickWorkspace()
{
    const route_table &table = *known->table;
    if (!table.needsKeys)
        return std::nullopt;
    const auto age = parts.clock.mono() - known->tableConfirmedAt;
    const bool areTrusted = std::chrono::floor<milliseconds>(age) <= parts.keyTrustTime;
    owner = areTrusted ? keyOwnerOf(request, parts.names, table, *known->index) : nullptr;
    if (owner != nullptr || chosen->isAnonymous)
        return std::nullopt;
    if (age > config::routesTrustTime || table.hasUnreadKeys)
        return refusal(503, error_code::Stale, "the key is not known here",
                       config::startingRetryAfter);
    parts.metrics.unknownKeys.add();
    lastFault = "unknown_key";
    return errorReply(401, error_code::Unauthorized, verdict::NotRun, "no such key");
}

std::optional<placement> request_relay::findPlace(const runner *reader)
{
    // Runners come and go within a request's time; its route stays the one that it arrived by.
    const auto latest = parts.hub.current();
    place_wish wish;
    wish.service = service;
    wish.zone = parts.zone;
    wish.promptTokens = read.promptTokens;
    wish.sharedTokens = std::min(sharedTokensOf(read.prompt), read.promptTokens);
    wish.affinityKey = read.prompt.size() < 2 ? 0 : read.prompt[read.prompt.size() - 2].chain;
    wish.mayHandOver = !isHandOverLost && sends == 0 && parts.retries.hasRoom(service);
    wish.hasBegun = hasBegun;
    wish.isRead = reader != nullptr;
    if (reader != nullptr)
        wish.readerZone = reader->zone;
    wish.now = parts.clock.mono();
    chosenBy = latest;
    chosenAt = wish.now;
    sentAt = {};
    wish.objectiveLeftMs =
            std::chrono::duration<double, std::milli>(arrivedAt + chosen->objective - wish.now)
                    .count();
    wish.timeLeftMs = static_cast<double>(timeLeft().count());
    wish.draw = hashOf(read.id, sends);
    if (engine != nullptr)
        wish.engine = *engine;
    const auto candidates = parts.ledger.candidatesOf(*latest, service, engine, read.prompt, tried);
    const auto found = choosePlace(wish, candidates);
    if (const auto *place = std::get_if<placement>(&found))
        return *place;
    const no_place &none = std::get<no_place>(found);
    if (none.roomInMs > 0) {
        comeBackIn = comeBackTime(none.roomInMs, wish.draw);
        lastFault = lastFault.empty() ? "no_room" : "no_room:" + lastFault;
    } else {
        lastFault = none.areAllTried ? "all_tried:" + lastFault : "no_runner";
    }
    return std::nullopt;
}

/// Asked before each send: meanwhile, runners may have ended under other attempts.
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
    // Its next attempt will tell; going on here at once, it took runner after runner with it.
    if (end == try_end::Lost && parts.suspects.countLives(digest) >= config::retryLives)
        return false;
    if (hasBegun)
        return chosen->isResumable;
    return end == try_end::NotRun || chosen->repeats == repeat_rule::Idempotent;
}

/// A caller that has closed its side reads no answer either: here, callers that only end their
/// sending side don't exist. Sent on, its request would take a runner's time for nobody.
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
    // A runner's own failure says more than ours would.
    if (held) {
        parts.metrics.failed.add();
        return std::move(held);
    }
    if (runs == 0 && kept) {
        parts.metrics.quarantined.add();
        lastFault = "quarantined";
        return refusal(503, error_code::Unavailable, "runners have ended under this request",
                       kept->left);
    }
    if (runs == 0)
        return refusal(503, error_code::Overloaded, "no runner could take it", comeBackIn);
    parts.metrics.failed.add();
    if (timeLeft() <= config::leastSendTime)
        return errorReply(504, error_code::TimedOut, verdict::MayHaveRun, "no answer in time");
    return errorReply(502, error_code::Broken, verdict::MayHaveRun, "the runner's answer is lost");
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
