#include "gateway/take_up_proof.h"

#include "poplarspool/streams/limits.h"

namespace poplarspool::gateway {

version_proof proveVersion(const unrecorded_take_up &takeUp, const catalogue &known)
{
    const auto found = known.soleVersions->find(takeUp.service);
    if (found == known.soleVersions->end())
        return {};
    // Callers set time limits of their own, which may exceed the route's.
    const milliseconds takeUpTime = 2 * takeUp.timeLimit + config::originMargin;
    const mono_time neededSince =
            takeUp.arrivedAt - (takeUp.isNamed ? takeUpTime : milliseconds(0));
    if (found->second.since > neededSince)
        return {};
    if (known.runnersConfirmedAt < takeUp.arrivedAt)
        return {proof_end::Unconfirmed};
    return {proof_end::Proven, found->second.version};
}

} // namespace poplarspool::gateway
