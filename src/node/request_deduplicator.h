#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/node/answers.h"
#include "poplarspool/node/claims.h"

#include <string>
#include <variant>

/// Decides whether an attempt of a request that must run at most once may be dispatched, or which
/// earlier attempt's answer it gets.
namespace poplarspool::node {

/// Permission to dispatch this attempt, and no other.
struct dispatch_grant
{
    std::string nonce; ///< Identifies the attempt when its outcome is recorded in the answer_table.

    bool operator==(const dispatch_grant &) const = default;
};

/// The complete answer of an earlier attempt.
struct earlier_answer
{
    http_reply reply;
};

using claim_decision = std::variant<dispatch_grant, earlier_answer, error>;

class request_deduplicator
{
public:
    request_deduplicator(instance_id self, claim_manager &claims, answer_table &answers,
                         claim_peers peers, clock_source clock, journal &events);

    /// @param key Claim name, from claimNameOf().
    /// @param bodyHash Hash of everything in which two requests with one idempotency key must not
    ///                 differ.
    claim_decision claimOrReplay(const std::string &key, const std::string &bodyHash,
                                 mono_time deadline);

private:
    peer::answer_reply queryOwner(const std::string &key, const peer::claim_reply &existing,
                                  mono_time deadline);
    claim_decision resultFromExisting(const std::string &key, const peer::claim_reply &existing,
                                      const peer::answer_reply &answer) const;
    peer::claim_request makeClaimRequest(const std::string &key, const std::string &bodyHash,
                                         mono_time deadline);

    instance_id self;
    claim_manager &claims;
    answer_table &answers;
    claim_peers peers;
    clock_source clock;
    journal &events;
};

} // namespace poplarspool::node
