#pragma once

#include "node/claim_ages.h"
#include "node/claim_segment.h"
#include "poplarspool/base/clock.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/peer/messages.h"
#include "poplarspool/platform/object_store.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplarspool::node {

/// A claim to write for an attempt.
struct pending_claim
{
    peer::claim_request request;
    /// Nonce of an attempt that was never dispatched and never will be: its claim may be replaced.
    std::optional<std::string> supersededNonce;

    bool operator==(const pending_claim &) const = default;
};

using claim_outcome = result<peer::claim_reply>;

/// Waits before the next call to the store.
/// @returns False if the call should not be made because the process is stopping.
using backoff_function = std::function<bool(milliseconds)>;

/// Writes batches of claims to the object of one bucket by conditional writes. Not thread-safe.
class claim_writer
{
public:
    /// @param retentionTime Minimum time for which a claim is kept.
    claim_writer(std::string objectKey, platform::object_store &store,
                 std::function<milliseconds()> retentionTime, clock_source clock,
                 metrics_registry &metrics, journal &events);

    /// @returns One outcome per claim. Every failure is NotRun, because an attempt without a claim
    ///          must not be dispatched. This holds even if the claim was written and only the
    ///          store's answer was lost; see answer_table::onNotDispatched.
    std::vector<claim_outcome> write(const std::vector<pending_claim> &claims, mono_time deadline,
                                     const backoff_function &pause);
    /// Drops the cached claims of the bucket.
    void dropCache();

private:
    struct change
    {
        std::string name;
        std::optional<stored_claim> before;
    };

    std::optional<error> read();
    void prune();
    std::vector<claim_outcome> apply(const std::vector<pending_claim> &claims);
    claim_outcome applyOne(const pending_claim &claim);
    std::optional<error> writeChanges(mono_time deadline);
    void commitChanges();
    void revertChanges();
    std::vector<claim_outcome> outcomesAfterFailedWrite(const std::vector<pending_claim> &claims,
                                                        std::vector<claim_outcome> outcomes,
                                                        const error &failure) const;

    const std::string objectKey;
    platform::object_store &store;
    const std::function<milliseconds()> retentionTime;
    const clock_source clock;
    journal &events;
    counter &writes;
    counter &conflicts;
    counter &undecided;
    gauge &objectBytes;

    bool isCached = false; ///< `segment` is the content of the store's object at `version`.
    claim_segment segment;
    std::uint64_t version = platform::mustNotExist;
    std::vector<change> changes; ///< Changes of the current batch that are not written yet.
    claim_ages ages;
};

} // namespace poplarspool::node
