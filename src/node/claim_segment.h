#pragma once

#include "poplarspool/base/ids.h"
#include "poplarspool/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

/// The stored form of one bucket's claims; see docs/design/claims.md.
namespace poplarspool::node {

/// One standing claim: which attempt, and no other, may dispatch a request.
struct stored_claim
{
    std::string bodyHash;
    std::string nonce; ///< Of the attempt.
    instance_id owner; ///< Instance of the attempt.
    std::int64_t wallMs = 0; ///< When it was written, for people; nothing is decided by it.

    bool operator==(const stored_claim &) const = default;
};

/// All standing claims of one bucket, by claim name.
struct claim_segment
{
    std::unordered_map<std::string, stored_claim> claims;

    bool operator==(const claim_segment &) const = default;
};

/// @returns nullptr where there is none.
const stored_claim *findClaim(const claim_segment &segment, const std::string &name);

std::string textOf(const claim_segment &segment);

/// @returns Broken (not run) where the text isn't one of textOf().
result<claim_segment> parseClaimSegment(std::string_view text);

} // namespace poplarspool::node
