#pragma once

#include "poplarspool/crashes/crash_records.h"
#include "poplarspool/peer/gossip.h"

#include <vector>

/// Rumors in which instances send each other the ends of runners and the requests that were
/// running.
namespace poplarspool::crashes {

/// An incarnation of a runner that ended while executing these requests, as observed by one
/// instance.
struct end_report
{
    ended_incarnation ended;
    std::vector<std::uint64_t> digests;
};

/// @returns The report, split into as many rumors as the size limit requires.
std::vector<peer::rumor> rumorsOf(const instance_id &self, const end_report &report);
/// @returns A rumor that the request has completed.
/// @param servedAtMs Unix time in ms.
peer::rumor servedRumor(std::uint64_t digest, std::int64_t servedAtMs);

/// @returns The records in the rumor; empty if it is of another kind, Broken if it is malformed.
result<std::vector<crash_record>> decodeCrashRecords(const peer::rumor &rumor);

} // namespace poplarspool::crashes
