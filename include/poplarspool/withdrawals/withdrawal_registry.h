#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/withdrawals/withdrawal.h"

#include <functional>
#include <memory>
#include <string>

namespace poplarspool::withdrawals {

/// What the registry needs from its instance.
struct withdrawal_dependencies
{
    std::string leavingHeader; ///< Header in which runners say that they leave; empty: none.
    clock_source clock;
    metrics_registry &metrics;
    journal &events;
};

/// What an answer means for the request.
enum class answer_kind {
    Accepted, ///< The runner has begun to work on it.
    Refused,
    Control, ///< It was no caller's request: a report, an order or a handle to be freed.
};

/// The head of an answer that a runner has written itself.
struct answer_head
{
    runner_life from;
    int status = 0;
    const http_headers &headers;
    answer_kind kind = answer_kind::Control;
    mono_time askedAt{}; ///< When the request was sent.
    std::string request; ///< Its id, for log lines.
};

/// What runners have said of themselves in their answers to this instance. Kept by incarnation,
/// whatever the store says meanwhile. Thread-safe.
class withdrawal_registry
{
public:
    explicit withdrawal_registry(withdrawal_dependencies given);
    ~withdrawal_registry();

    /// @returns What the answer says.
    withdrawal_reading recordAnswer(const answer_head &head);
    /// Whether no runner wants fewer requests; without taking a lock.
    bool isEmpty() const;
    /// @returns Whether the runner may get a request now.
    withdrawal find(const runner_life &runner) const;
    /// Counts a request that is sent to the runner although it wants none.
    void recordUnwantedSend(const withdrawal &unwanted);

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::withdrawals
