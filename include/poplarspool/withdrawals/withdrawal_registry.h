#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/base/result.h"
#include "poplarspool/peer/fleet.h"
#include "poplarspool/withdrawals/withdrawal.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::withdrawals {

/// What the registry calls in its instance.
struct withdrawal_hooks
{
    /// Called when a runner is known to leave, after find() says so.
    std::function<void(const runner_life &)> onLeaving;
    /// @returns Addresses for gossip of the instances whose connections to the runner are carried
    /// by this one: the runner takes their requests for this instance's.
    std::function<std::vector<endpoint>(const runner_id &)> usersOf = {};
};

/// What the registry needs from its instance.
struct withdrawal_dependencies
{
    instance_id self;
    std::string leavingHeader; ///< Header in which runners say that they leave; empty: none.
    /// Sends a payload to other instances. Thread-safe.
    std::function<void(const std::vector<endpoint> &to, const result<std::string> &payload)> send;
    withdrawal_hooks hooks;
    const peer::fleet_view &fleet; ///< The instances that are told which runners leave.
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
    std::string request = {}; ///< Its id, for log lines.
    /// Address for gossip of the instance that carried the connection; empty if it was direct.
    endpoint carrier = {};
};

/// What runners have said of themselves in their answers. Kept by incarnation, whatever the store
/// says meanwhile. All instances are told which runners leave; a rest is between a runner and the
/// instance that it has answered, and is told only where one instance carries the connections of
/// another. Thread-safe.
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
    /// As find(), for a request that is sent at once if the runner may get it: after a rest, it
    /// counts as one of the first.
    withdrawal admit(const runner_life &runner);

    // Called from the thread that exchanges the datagrams.

    /// @returns False if the payload can't be decoded.
    bool receive(std::string_view payload);
    /// Tells other instances again which runners leave.
    /// @returns When to call it again.
    mono_time sendDue();

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// @returns Where the instance exchanges withdrawals: six ports after its address for gossip.
endpoint withdrawalAddressOf(const endpoint &peerAddress);

} // namespace poplarspool::withdrawals
