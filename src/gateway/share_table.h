#pragma once

#include "poplarspool/fairness/work_share.h"
#include "poplarspool/gateway/placement.h"
#include "poplarspool/peer/load_exchange.h"

#include <map>
#include <mutex>

namespace poplarspool::gateway {

/// The share of a workspace that is above its fair share.
struct share_state
{
    fairness::share_verdict verdict;
    /// Age of the oldest report of another instance that counts; 0: only own counts.
    milliseconds age{0};

    bool operator==(const share_state &) const = default;
};

/// Whether a placement shows that capacity is short. A request of a workspace above its share may
/// be late and still start in time: if that counted, a shortage would last as long as such requests
/// come.
bool isShortage(const placement_query &query, const std::variant<placement, no_placement> &found);

/// Work of the workspaces that this instance and the others of its availability zone have sent,
/// and the services whose capacity is short. Thread-safe.
class share_table
{
public:
    explicit share_table(clock_source clock);

    /// @param workspace Of all functions: peer::workspaceKey() of its id.
    void recordAsked(const service_id &service, std::uint32_t workspace);
    void recordSent(const service_id &service, std::uint32_t workspace, std::uint64_t work);
    /// Called for a request that can't start in time because of the requests before it.
    void recordShortage(const service_id &service);
    /// @param draw Random number in [0, 1) of the request.
    /// @returns nullopt if capacity isn't short or the request is within its workspace's share.
    std::optional<share_state> findAboveShare(const service_id &service, std::uint32_t workspace,
                                              double draw);

    /// @returns The work of the heaviest workspaces; empty within config::shareReportInterval of
    ///          the last report, and if there is none.
    std::vector<peer::workspace_work> collectReport();
    /// @param items Empty: the update has no report, and the sender's last one stays.
    void applyReport(std::uint64_t sender, const std::vector<peer::workspace_work> &items);

private:
    void dropOldReports(mono_time now);

    const clock_source clock;
    std::mutex guard;
    fairness::work_table own;
    std::optional<mono_time> countsSince; ///< None: nothing is counted yet.
    std::map<std::uint64_t, fairness::work_report> reports; ///< By sender.
    std::map<service_id, mono_time> shortAt; ///< Last shortage of capacity.
    mono_time nextReportAt{};
};

} // namespace poplarspool::gateway
