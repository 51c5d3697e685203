#pragma once

#include "poplarspool/base/ids.h"
#include "poplarspool/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

/// Stored format of the claims of one bucket; see docs/design/claims.md.
namespace poplarspool::node {

/// A claim in force: only the attempt with this nonce may dispatch the request.
struct stored_claim
{
    std::string bodyHash;
    std::string nonce; ///< Of the attempt.
    instance_id owner; ///< Instance of the attempt.
    std::int64_t wallMs = 0; ///< Time of the write, for diagnostics; no decision depends on it.

    bool operator==(const stored_claim &) const = default;
};

/// All claims in force of one bucket, by claim name.
struct claim_segment
{
    std::unordered_map<std::string, stored_claim> claims;

    bool operator==(const claim_segment &) const = default;
};

/// @returns nullptr if there is no such claim.
const stored_claim *findClaim(const claim_segment &segment, const std::string &name);

std::string textOf(const claim_segment &segment);

/// @returns Broken (not run) if the text isn't in the format of textOf().
result<claim_segment> parseClaimSegment(std::string_view text);

} // namespace poplarspool::node
