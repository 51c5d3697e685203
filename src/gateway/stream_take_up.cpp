#include "gateway/request_proxy.h"
#include "gateway/take_up_proof.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/streams/limits.h"

#include <algorithm>
#include <charconv>
#include <thread>

namespace poplarspool::gateway {

namespace {

std::optional<std::uint64_t> eventNumberOf(std::string_view text)
{
    std::uint64_t number = 0;
    const char *const end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, number);
    return fault == std::errc{} && stop == end ? std::optional(number) : std::nullopt;
}

} // namespace

std::string_view nameOf(take_up_end end)
{
    switch (end) {
    case take_up_end::KnownHere:
        return "known_here";
    case take_up_end::KnownToHolder:
        return "known_to_holder";
    case take_up_end::SoleVersion:
        return "sole";
    case take_up_end::VersionUnknown:
        return "unknown";
    case take_up_end::VersionGone:
        break;
    }
    return "gone";
}

/// Whether the caller has the beginning of the stream from an earlier attempt.
bool request_proxy::isTakeUp() const
{
    return selectedRoute != nullptr && selectedRoute->isResumable && !metadata.lastEventId.empty();
}

/// Finds the software version that has begun a stream which the caller takes up. If it isn't known
/// and several versions can have begun it, the stream doesn't go on: no guess is made.
/// @returns The answer if the stream can't go on.
std::optional<http_reply> request_proxy::selectVersion()
{
    if (!selectedRoute->isResumable)
        return std::nullopt;
    const bool isNamed = isTakeUp() && !metadata.resumes.empty();
    streamKey = streams::streamKeyOf({owner == nullptr ? std::string_view() : owner->id.text,
                                      service.text, isNamed ? metadata.resumes : metadata.id},
                                     context.digestSeed);
    order = event_order(isTakeUp() ? eventNumberOf(metadata.lastEventId) : std::nullopt,
                        metadata.outputTokens);
    if (!isTakeUp())
        return std::nullopt;
    const mono_time askedAt = context.clock.mono();
    const auto found = isNamed ? context.origins.find(streamKey) : std::nullopt;
    streamVersion = found ? std::optional(found->origin.version) : soleVersion();
    take_up_end end = take_up_end::SoleVersion;
    if (!streamVersion)
        end = take_up_end::VersionUnknown;
    else if (!isServed(*streamVersion))
        end = take_up_end::VersionGone;
    else if (found)
        end = found->isOwn ? take_up_end::KnownHere : take_up_end::KnownToHolder;
    context.metrics.takeUpsOf(end).add();
    log("take_up",
        {{"resumes", metadata.resumes},
         {"after_event", metadata.lastEventId},
         {"version", std::string(nameOf(end))},
         {"holder", found ? found->holder.text : ""},
         {"recorded_ms_ago", found ? millisecondsText(askedAt - found->origin.recordedAt) : ""},
         {"asked_ms", millisecondsText(context.clock.mono() - askedAt)}});
    if (end == take_up_end::VersionUnknown)
        return versionRefusal("version_unknown", config::unknownVersionRetryAfter);
    if (end == take_up_end::VersionGone)
        return versionRefusal("version_gone", config::goneVersionRetryAfter);
    return std::nullopt;
}

http_reply request_proxy::versionRefusal(std::string_view fault, milliseconds retryAfter)
{
    lastFault = fault;
    return refusal(503, error_code::Unavailable,
                   "no runner can go on with the stream: " + std::string(fault), retryAfter);
}

/// The version that must have begun the stream, if nobody knows which one did. Waits for the
/// confirmation that proves it, unless the view is so old that this instance has lost the store:
/// then another instance can sooner.
/// @returns None if it may have been one of several.
std::optional<version_key> request_proxy::soleVersion() const
{
    const unrecorded_take_up takeUp{service, arrivedAt, !metadata.resumes.empty(),
                                    selectedRoute->timeLimit};
    const mono_time waitEndsAt = std::min(arrivedAt + config::takeUpProofTimeout, endsAt);
    while (true) {
        const auto known = context.publisher.current();
        const version_proof proof = proveVersion(takeUp, *known);
        if (proof.end == proof_end::Proven)
            return proof.version;
        const mono_time now = context.clock.mono();
        const bool mayBeConfirmed = now - known->runnersConfirmedAt <= context.runnersProofTime;
        if (proof.end == proof_end::Unknown || !mayBeConfirmed || now >= waitEndsAt
            || isCallerGone())
            return std::nullopt;
        std::this_thread::sleep_for(config::takeUpProofInterval);
    }
}

/// Whether a runner of that version runs requests of the service.
bool request_proxy::isServed(version_key version) const
{
    const auto known = context.publisher.current();
    return !known->runners->groupOf(service, engine_stage::Decode, version).isEmpty()
            || !known->runners->groupOf(service, engine_stage::None, version).isEmpty();
}

/// A runner that has restarted under its id may run another version than the entry said from which
/// it was chosen: then it isn't known which of them writes.
bool request_proxy::hasOtherVersionNow(const runner &target) const
{
    if (!selectedRoute->isResumable)
        return false;
    const runner_entry listed = context.publisher.current()->runners->find(target.id);
    return (listed && listed->version != target.version) || mayHaveRestarted(target);
}

/// A runner that ended and started again under its id can't write its entry while the store is
/// down: until then, the entry names the version of a process that has ended. Once the store has
/// answered for a while, an entry that is still there was not written by such a process. Without
/// start times, no entry would ever end the doubt.
bool request_proxy::mayHaveRestarted(const runner &target) const
{
    if (target.startedAtMs == 0)
        return false;
    const auto endedAt = context.quarantineManager.endNoticedAt(observedOf(target));
    return endedAt
            && context.publisher.current()->runnersConfirmedAt < *endedAt + config::entryWriteTime;
}

void request_proxy::removeRestarted(std::vector<placement_candidate> &candidates) const
{
    if (!selectedRoute->isResumable)
        return;
    std::erase_if(candidates,
                  [this](const placement_candidate &one) { return mayHaveRestarted(*one.target); });
}

/// Called before the first event is passed on: once the caller has it, it may take the stream up at
/// any instance.
void request_proxy::recordOrigin(const runner &target)
{
    if (!selectedRoute->isResumable)
        return;
    const mono_time now = context.clock.mono();
    streamVersion = versionKeyOf(target.version);
    const milliseconds limit = metadata.timeLimit.value_or(selectedRoute->timeLimit);
    const milliseconds kept =
            std::min(limit + config::originMargin, milliseconds(config::maxOriginRetention));
    context.origins.record(streamKey, {*streamVersion, now, now + kept});
}

} // namespace poplarspool::gateway
