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

/// Calls to other instances that claim handling needs.
struct claim_peers
{
    /// @returns Peer address of the instance that batches the bucket's claims; none if it is this
    ///          instance.
    std::function<std::optional<endpoint>(std::uint32_t)> batcherOf;
    std::function<result<peer::claim_reply>(const endpoint &, const peer::claim_request &)>
            requestClaim;
    /// Queries the owner of an existing claim for the outcome of its attempt; Unknown if the owner
    /// can't be reached.
    std::function<peer::answer_reply(const instance_id &owner, const peer::answer_request &)>
            queryAnswer;
};

/// Claims for requests that must run at most once. A claim is a conditional write to the store
/// before the request is dispatched; claims of one bucket are batched by one instance. If two
/// instances batch the same bucket, their writes conflict and are retried; no claim is granted
/// twice.
class claim_manager
{
public:
    claim_manager(const std::string &deployment, platform::object_store &store, claim_peers peers,
                  const std::function<milliseconds()> &retentionTime, const clock_source &clock,
                  metrics_registry &metrics, journal &events);
    ~claim_manager();

    /// Writes a claim through the bucket's batcher.
    /// @returns The claim in force. The attempt may be dispatched only if that claim has the nonce
    ///          of `request`. On failure the attempt must not be dispatched, so its request has not
    ///          run.
    result<peer::claim_reply> claim(const peer::claim_request &request, mono_time deadline);

    /// Decides a claim as the bucket's batcher, for requests of this instance and of peers.
    result<peer::claim_reply> decide(const peer::claim_request &request, mono_time deadline);

    /// Transfers a claim to a new attempt by a conditional write that replaces exactly the nonce
    /// `supersededNonce`. The superseded attempt must never have been dispatched, and never be
    /// dispatched later.
    result<peer::claim_reply> supersede(const peer::claim_request &request,
                                        const std::string &supersededNonce, mono_time deadline);
    void stop();

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// @returns Name of a claim: a hash of workspace, operation and idempotency key.
std::string claimNameOf(const std::string &workspace, const std::string &operation,
                        const std::string &idempotencyKey);

std::uint32_t bucketOf(const std::string &claimName);

} // namespace poplarspool::node
