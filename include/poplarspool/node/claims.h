#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/peer/messages.h"
#include "poplarspool/platform/object_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace poplarspool::node {

/// How the claim book reaches other instances.
struct claim_peers
{
    /// @returns Peer address of the bucket's batcher; none where that is this instance.
    std::function<std::optional<endpoint>(std::uint32_t)> batcherOf;
    std::function<result<peer::claim_reply>(const endpoint &, const peer::claim_ask &)> ask;
    /// Asks the owner of a standing claim what became of it; Unknown where it is gone.
    std::function<peer::answer_reply(const instance_id &owner, const peer::answer_ask &)> answer;
};

/// Claims for requests that must run at most once: a conditional write to the store before the
/// dispatch, gathered per bucket. Two batchers of one bucket conflict and retry, no more.
class claim_book
{
public:
    claim_book(const std::string &deployment, platform::object_store &store, claim_peers peers,
               const std::function<milliseconds()> &keepTime, const clock_source &clock,
               metrics_registry &metrics, journal &events);
    ~claim_book();

    /// Gets a claim written, through the bucket's batcher.
    /// @returns The claim that stands: ours where the nonce is ours, and only then this attempt may
    ///          dispatch. A failure means that this attempt must not dispatch, so its request has
    ///          truly not run.
    result<peer::claim_reply> claim(const peer::claim_ask &wanted, mono_time deadline);

    /// The batcher's part: called for this instance's own claims and for peers' asks.
    result<peer::claim_reply> decide(const peer::claim_ask &wanted, mono_time deadline);

    /// Gives a claim to a new attempt whose first attempt never was dispatched and never will be:
    /// a conditional write that replaces exactly the nonce `dead`.
    result<peer::claim_reply> supersede(const peer::claim_ask &wanted, const std::string &dead,
                                        mono_time deadline);
    void stop();

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// @returns Name of a claim: hash of workspace, operation and idempotency key.
std::string claimNameOf(const std::string &workspace, const std::string &operation,
                        const std::string &idempotencyKey);

std::uint32_t bucketOf(const std::string &claimName);

} // namespace poplarspool::node
