#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/node/answers.h"
#include "poplarspool/node/claims.h"

#include <string>
#include <variant>

/// Decides for one request that must run at most once whether this attempt may be dispatched, or
/// which answer of an earlier one it gets.
namespace poplarspool::node {

/// This attempt, and no other, may be dispatched.
struct may_dispatch
{
    std::string nonce; ///< To be told to the answer_book when it ends.

    bool operator==(const may_dispatch &) const = default;
};

/// An earlier attempt's whole answer.
struct earlier_answer
{
    http_reply reply;
};

using entry_decision = std::variant<may_dispatch, earlier_answer, error>;

class duplicate_guard
{
public:
    duplicate_guard(instance_id self, claim_book &claims, answer_book &answers, claim_peers peers,
                    clock_source clock, journal &events);

    /// @param key Of claimNameOf().
    /// @param bodyHash Of all that makes two requests the same request.
    entry_decision enter(const std::string &key, const std::string &bodyHash, mono_time deadline);

private:
    peer::answer_reply askOwner(const std::string &key, const peer::claim_reply &standing,
                                mono_time deadline);
    entry_decision followStanding(const std::string &key, const peer::claim_reply &standing,
                                  const peer::answer_reply &answer) const;
    peer::claim_ask askFor(const std::string &key, const std::string &bodyHash, mono_time deadline);

    instance_id self;
    claim_book &claims;
    answer_book &answers;
    claim_peers peers;
    clock_source clock;
    journal &events;
};

} // namespace poplarspool::node
