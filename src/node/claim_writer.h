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

/// A claim that an attempt wants.
struct claim_wish
{
    peer::claim_ask ask;
    /// Nonce of an attempt that never was and never will be dispatched: its claim may be replaced.
    std::optional<std::string> dead;

    bool operator==(const claim_wish &) const = default;
};

using claim_outcome = result<peer::claim_reply>;

/// Waits before another call to the store.
/// @returns False where it is not worth it, as the process stops.
using claim_pause = std::function<bool(milliseconds)>;

/// Gets batches of claims into one bucket's object by conditional writes. For one thread at a time.
class claim_writer
{
public:
    /// @param keepTime Time for which a claim must stand.
    claim_writer(std::string objectKey, platform::object_store &store,
                 std::function<milliseconds()> keepTime, clock_source clock,
                 metrics_registry &metrics, journal &events);

    /// @returns One outcome per wish. A failure is NotRun: an attempt without a claim must not
    ///          dispatch. Whether its claim stands all the same (the answer to the write was lost)
    ///          is of no matter to that promise; see answer_book::onNotDispatched.
    std::vector<claim_outcome> write(const std::vector<claim_wish> &wishes, mono_time deadline,
                                     const claim_pause &pause);
    /// Frees what is known of the bucket.
    void forgetAll();

private:
    struct change
    {
        std::string name;
        std::optional<stored_claim> before;
    };

    std::optional<error> read();
    void prune();
    std::vector<claim_outcome> apply(const std::vector<claim_wish> &wishes);
    claim_outcome applyOne(const claim_wish &wish);
    std::optional<error> writeChanges(mono_time deadline);
    void keepChanges();
    void undoChanges();
    std::vector<claim_outcome> withoutWrite(const std::vector<claim_wish> &wishes,
                                            std::vector<claim_outcome> outcomes,
                                            const error &failure) const;

    const std::string objectKey;
    platform::object_store &store;
    const std::function<milliseconds()> keepTime;
    const clock_source clock;
    journal &events;
    counter &writes;
    counter &conflicts;
    counter &undecided;
    gauge &objectBytes;

    bool isKnown = false; ///< `segment` is what the store had at `version`.
    claim_segment segment;
    std::uint64_t version = platform::mustNotExist;
    std::vector<change> changes; ///< Of the batch, not written yet.
    claim_ages ages;
};

} // namespace poplarspool::node
