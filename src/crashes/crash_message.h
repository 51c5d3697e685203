#pragma once

#include "poplarspool/base/result.h"
#include "poplarspool/crashes/crash_records.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// Datagrams in which instances find out together which parts of prompts crash runners. Any of them
/// may be lost.
namespace poplarspool::crashes {

/// A runner ended while it executed a request with these parts.
struct end_notice
{
    std::uint64_t incarnationKey = 0;
    std::int64_t endedAtMs = 0; ///< Unix time in ms, by the clock of the sender.
    std::uint64_t digest = 0; ///< Of the request.
    std::vector<part_suspect> parts; ///< At most config::maxSuspectParts.

    bool operator==(const end_notice &) const = default;
};

/// What the sender knows of a part. Whoever has served the part replies.
struct part_notice
{
    crash_record record;

    bool operator==(const part_notice &) const = default;
};

using crash_message = std::variant<end_notice, part_notice>;

result<std::string> encode(const crash_message &message);
result<crash_message> decodeCrashMessage(std::string_view payload);

/// @returns The records that the notice contains, one for each part.
std::vector<crash_record> recordsOf(const end_notice &notice);

} // namespace poplarspool::crashes
