#pragma once

#include "poplarspool/crashes/crash_records.h"
#include "poplarspool/peer/gossip.h"

#include <vector>

/// Rumors in which instances send each other the ends of runners, the requests that were running,
/// and the verdicts on parts of prompts.
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
/// @param cleared Record of a request that was served.
/// @returns A rumor of the request's ends that don't count any more.
peer::rumor clearedRumor(const crash_record &cleared);
/// @returns A rumor that the part is convicted.
peer::rumor partRumor(const crash_record &convicted);

/// @returns The records in the rumor; empty if it is of another kind, Broken if it is malformed.
result<std::vector<crash_record>> decodeCrashRecords(const peer::rumor &rumor);

} // namespace poplarspool::crashes
