#pragma once

#include "poplarspool/crashes/crash_records.h"

#include <cstdint>
#include <set>
#include <span>

/// Decides which parts of prompts crash the runners that write on them.
namespace poplarspool::crashes {

/// @returns The number of ends that count against the part: ends of one moment count once, since
///          many runners may be killed at once, and those under one request at most twice, since
///          the request may be the cause.
std::size_t weightAgainst(const crash_record &part);

/// @returns Whether the part was convicted and enough ends still count against it.
bool isVerdictUpheld(const crash_record &part);

/// @param parts Records of parts of prompts.
/// @returns The keys of those to convict, without those whose verdict is upheld.
///
/// A request that crashes a runner has several parts, and many sound requests are cut off with it.
/// So a part is convicted only if the following holds:
/// - Its weight, as above, is config::quarantineIncarnations. Ends before a request with the part
///   was served don't count; a sound part is served as soon as any runner is up.
/// - If a request with it was ever served, ends don't count at which runners without it ended in
/// the
///   same moment: then something else ends runners.
/// - No narrower part explains the ends: those at which a convicted part was don't count, and
///   neither do those at which a part at a later place of the same request was never served.
/// A weight of config::servedPartIncarnations without the last two conditions is enough, too.
std::set<std::uint64_t> crashingParts(std::span<const crash_record *const> parts);

} // namespace poplarspool::crashes
