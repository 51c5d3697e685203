#pragma once

#include "node/demand.h"
#include "node/request_deduplicator.h"
#include "node/sent_work_table.h"
#include "node/try_series.h"
#include "poplarspool/base/clock.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/caller/caller_server.h"
#include "poplarspool/node/view_publisher.h"
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

struct request_dependencies
{
    instance_id self;
    zone_id zone;
    std::uint32_t maxStreams = 0; ///< Maximum number of open requests; more are refused.
    /// @returns Whether this instance no longer accepts new work.
    std::function<bool()> isClosed;
};

class request_handler
{
public:
    request_handler(request_dependencies dependencies, view_publisher &views,
                    sent_work_table &sentWork, demand_table &demand,
                    request_deduplicator &duplicates, answer_table &answers,
                    runner::engine_api engines, runner::service_api services, clock_source clock,
                    metrics_registry &metrics, journal &events);

    result<caller::address_answer> addresses(const zone_id &zone);
    result<std::vector<std::string>> models(const caller::request_head &head);
    void complete(const caller::completion_request &request, caller::completion_sink &sink);
    std::optional<error> callService(const caller::service_request &call, http_sink &sink);

    std::uint32_t openStreams() const { return streams.load(std::memory_order_relaxed); }

private:
    using text_receiver = std::function<bool(const std::string &)>;

    result<admitted_request> admit(const caller::request_head &head,
                                   policy::request_facts facts) const;
    result<runner::stream_end> runCompletion(const caller::completion_request &request,
                                             const admitted_request &admission,
                                             const text_receiver &onText);
    void completeAtMostOnce(const caller::completion_request &request,
                            const admitted_request &admission, caller::completion_sink &sink);
    std::optional<error> runService(const caller::service_request &call,
                                    const admitted_request &admission, http_sink &sink,
                                    http_reply *kept);
    void recordDemand(const policy::view &now, const policy::route_request &wanted);
    policy::route_request routeRequestFor(const caller::completion_request &request,
                                          const admitted_request &admission) const;
    result<runner::stream_end> tryOnce(const chosen_runner &to,
                                       runner::generate_request &generation,
                                       const text_receiver &onText);
    std::optional<error> callServiceAtMostOnce(const caller::service_request &call,
                                               const admitted_request &admission, http_sink &sink);

    request_dependencies dependencies;
    view_publisher &views;
    sent_work_table &sentWork;
    demand_table &demand;
    request_deduplicator &duplicates;
    answer_table &answers;
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
