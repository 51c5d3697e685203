#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/result.h"
#include "poplarspool/base/store_version.h"

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

/// Records of requests, and of parts of prompts, during which runners crashed. A request that
/// crashes each runner that executes it could, if its caller keeps retrying, bring down a whole
/// service for all callers; a part that does so brings it down even if no two requests are alike.
namespace poplarspool::crashes {

/// The incarnation of a runner that an instance has sent a request to.
struct observed_runner
{
    runner_id id;
    std::uint64_t startedAtMs = 0; ///< Unix time in ms; 0 if not reported.
    endpoint address;
    zone_id zone;

    bool operator==(const observed_runner &) const = default;
};

/// @returns A key of one incarnation of a runner; the same on all instances.
std::uint64_t incarnationKeyOf(const observed_runner &target);

enum class suspect_kind : std::uint8_t {
    Request, ///< One request, by its digest.
    PromptPart, ///< A part of prompts, which several requests may have in common.
};

std::string_view nameOf(suspect_kind kind);

/// A part of a prompt that may be the cause of a crash.
struct part_suspect
{
    std::uint64_t key = 0; ///< The same on all instances, and different for each workspace.
    /// Its place in the prompt, counted from 0. The later the place, the fewer requests have the
    /// part.
    std::uint8_t place = 0;

    bool operator==(const part_suspect &) const = default;
};

/// @param id Hash of the id by which callers name the part.
/// @param workspace Empty: the caller has shown no key.
/// @param seed The same on all instances and unknown to callers.
/// @returns The key of the part. A foreign workspace's requests don't speak against it.
std::uint64_t partKeyOf(std::uint64_t id, std::string_view workspace, std::uint64_t seed);

/// What of a request may be the cause of a crash: the request itself, or one of its parts.
struct request_suspects
{
    std::uint64_t digest = 0;
    std::vector<part_suspect> parts;

    bool operator==(const request_suspects &) const = default;
};

/// An incarnation of a runner that has ended.
struct ended_incarnation
{
    std::uint64_t incarnationKey = 0; ///< incarnationKeyOf() the runner.
    std::int64_t endedAtMs = 0; ///< Unix time in ms, by the clock of the observing instance.
    /// The suspect was served completely by a run that began after this end.
    bool isCleared = false;
    /// In the record of a part: digests of the requests with the part that ran there. Sorted,
    /// without duplicates; at most config::maxEndDigests.
    std::vector<std::uint64_t> digests = {};

    bool operator==(const ended_incarnation &) const = default;
};

/// The incarnations of runners that ended while they executed a request, or a request with a
/// certain part. A set: an end that is received twice, or observed by two instances, counts once.
struct crash_record
{
    std::uint64_t key = 0; ///< Digest of the request, or key of the part.
    /// Sorted by key, without duplicates; at most config::maxCrashIncarnations.
    std::vector<ended_incarnation> incarnations;
    /// When the request last completed, in Unix ms, as reported by instances of the former
    /// release; ends up to then don't count.
    std::int64_t servedAtMs = 0;
    suspect_kind kind = suspect_kind::Request;
    std::uint8_t place = 0; ///< Of a part: the latest place at which it was seen.
    bool wasServed = false; ///< Of a part: some request with it was served completely.
    bool isConvicted = false; ///< Of a part: an instance has found that it crashes runners.

    bool operator==(const crash_record &) const = default;
};

/// @returns The union of both records; commutative and idempotent.
/// @attention Both must have the same key.
crash_record merged(const crash_record &a, const crash_record &b);

/// @returns Whether the end still counts against the record's suspect.
bool isCounted(const crash_record &record, const ended_incarnation &ended);

/// The records as persisted in the store, so that they survive a restart of all instances.
struct crash_record_list
{
    std::vector<crash_record> records;
    store_version version; ///< Version of the stored object; revision 0 if it doesn't exist yet.

    bool operator==(const crash_record_list &) const = default;
};

/// Access to the crash records in the store.
struct crash_record_store
{
    std::function<result<crash_record_list>()> read;
    /// Replaces the list if the store has version `next.version`; creates it if that revision is 0.
    /// @returns Conflict if the store has another version.
    std::function<result<unit>(const crash_record_list &next)> write;
};

} // namespace poplarspool::crashes
