#pragma once

#include "node/demand.h"
#include "node/duplicate_guard.h"
#include "node/try_series.h"
#include "node/work_ledger.h"
#include "poplarspool/base/clock.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/caller/caller_server.h"
#include "poplarspool/node/view_hub.h"
#include "poplarspool/policy/routing.h"
#include "poplarspool/runner/engine.h"
#include "poplarspool/runner/service.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Handles a request between its caller and its runner: admission, claim, routing, tries, retries
/// and resumption.
namespace poplarspool::node {

struct request_needs
{
    instance_id self;
    zone_id zone;
    std::uint32_t maxStreams = 0; ///< Maximum number of open requests; more are refused.
    /// @returns Whether this instance no longer accepts new work.
    std::function<bool()> isClosed;
};

class request_path
{
public:
    request_path(request_needs dependencies, view_hub &views, work_ledger &sentWork,
                 demand_book &demand, duplicate_guard &duplicates, answer_book &answers,
                 runner::engine_api engines, runner::service_api services, clock_source clock,
                 metrics_registry &metrics, journal &events);

    result<caller::address_answer> addresses(const zone_id &zone);
    result<std::vector<std::string>> models(const caller::request_head &head);
    void complete(const caller::completion_ask &request, caller::completion_sink &sink);
    std::optional<error> callService(const caller::service_ask &call, http_sink &sink);

    std::uint32_t openStreams() const { return streams.load(std::memory_order_relaxed); }

private:
    using text_receiver = std::function<bool(const std::string &)>;

    result<admitted> admit(const caller::request_head &head, policy::request_facts facts) const;
    result<runner::stream_end> runCompletion(const caller::completion_ask &request,
                                             const admitted &admission,
                                             const text_receiver &onText);
    void completeAtMostOnce(const caller::completion_ask &request, const admitted &admission,
                            caller::completion_sink &sink);
    std::optional<error> runService(const caller::service_ask &call, const admitted &admission,
                                    http_sink &sink, http_reply *kept);
    void recordDemand(const policy::view &now, const policy::route_request &wanted);
    policy::route_request routeRequestFor(const caller::completion_ask &request,
                                          const admitted &admission) const;
    result<runner::stream_end> tryOnce(const chosen_runner &to, runner::generate_request &work,
                                       const text_receiver &onText);
    std::optional<error> callServiceAtMostOnce(const caller::service_ask &call,
                                               const admitted &admission, http_sink &sink);

    request_needs dependencies;
    view_hub &views;
    work_ledger &sentWork;
    demand_book &demand;
    duplicate_guard &duplicates;
    answer_book &answers;
    runner::engine_api engines;
    runner::service_api services;
    clock_source clock;
    journal &events;
    dispatcher dispatch;
    counter &resumed;
    std::atomic<std::uint32_t> streams{0};
    std::atomic<std::uint64_t> tieBreaker{0}; ///< Breaks ties between equally ranked runners.
};

} // namespace poplarspool::node
