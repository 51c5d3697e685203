#pragma once

#include "base/connection_pool.h"
#include "gateway/runner_ledger.h"
#include "poplarspool/base/look_thread.h"
#include "poplarspool/duties/lease.h"
#include "poplarspool/gateway/catalogue.h"
#include "poplarspool/gateway/dialect.h"
#include "poplarspool/gateway/stage_plan.h"

#include <map>

namespace poplarspool::gateway {

/// What the keeper works with.
struct stage_tools
{
    const catalogue_hub &hub;
    runner_ledger &ledger;
    connection_pool &connections;
    const dialect &names;
    const clock_source clock;
    journal &events;
    counter &orders;
    const step_faults faults;
    /// Whether the planning falls on this instance. Two may think so: the lease keeps them apart.
    std::function<bool()> isOwner;
};

/// Keeps the engines' stages as planned, on a thread of its own.
class stage_keeper
{
public:
    stage_keeper(stage_tools tools, duties::lease_store store, instance_id self,
                 milliseconds leaseBound);

    void start() { thread.start(); }
    void requestStop() { thread.requestStop(); }
    void stop() { thread.stop(); }

    /// One look, and the orders that follow from it. Of the keeper's thread, and of tests.
    void look();

private:
    /// An order that was given, or may have been.
    struct open_order
    {
        engine_stage wanted = engine_stage::None;
        mono_time givenAt{};
        std::uint64_t bornMs = 0; ///< The engine's life that it was given in.
    };

    bool hasSettled(const catalogue &known);
    void lookAt(const catalogue &known, const service &engines);
    std::vector<stage_engine> enginesOf(const catalogue &known, const service &engines);
    void forgetDone(const catalogue &known);
    void order(const catalogue &known, const stage_change &change, const duties::lease_term &term);

    const stage_tools tools;
    const instance_id self;
    duties::duty_lease lease;
    std::map<runner_id, open_order> given;
    std::map<service_id, stage_memory> memories;
    std::size_t runnersSeen = 0;
    mono_time changedAt{}; ///< When the number of serving runners last changed.
    look_thread thread; ///< Ends before what it looks at.
};

} // namespace poplarspool::gateway
