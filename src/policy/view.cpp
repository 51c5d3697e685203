#include "poplarspool/policy/view.h"
#include "poplarspool/policy/limits.h"

namespace poplarspool::policy {

std::string_view nameOf(member_state state)
{
    switch (state) {
    case member_state::Alive:
        return "alive";
    case member_state::Suspect:
        return "suspect";
    case member_state::Leaving:
        return "leaving";
    case member_state::Dead:
        return "dead";
    }
    return "dead";
}

void replaceFleet(view &now, std::shared_ptr<const inventory> fleet)
{
    std::vector<runner_state> runners(fleet->runners.size());
    for (std::size_t at = 0; at < runners.size() && now.fleet; ++at) {
        const runner_handle before = findRunner(*now.fleet, fleet->runners[at].id);
        // A runner with another address is another process, for which earlier reports don't apply.
        if (before.isValid() && before.index < now.runners.size()
            && now.fleet->runners[before.index].address == fleet->runners[at].address)
            runners[at] = now.runners[before.index];
    }
    now.runners = std::move(runners);
    now.index = std::make_shared<const view_index>(indexOf(fleet));
    now.fleet = std::move(fleet);
}

bool isFresh(const view &now, mono_time time)
{
    return time < now.freshUntil;
}

bool isFreshReport(const runner_state &runner, mono_time time)
{
    return runner.reportedAt != mono_time{} && time - runner.reportedAt <= config::loadReportExpiry;
}

bool isOpenForWork(const view &now, runner_handle runner)
{
    if (!now.fleet || runner.index >= now.fleet->runners.size()
        || runner.index >= now.runners.size())
        return false;
    return !now.fleet->runners[runner.index].isDraining && isOpenForWork(now.runners[runner.index]);
}

} // namespace poplarspool::policy
