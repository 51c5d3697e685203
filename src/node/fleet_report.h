#pragma once

#include "poplarspool/operators/operator_server.h"
#include "poplarspool/policy/view.h"

/// Reports to operators what an instance knows of the fleet.
namespace poplarspool::node {

operators::fleet_status fleetStatusOf(const policy::view &now, const instance_id &self,
                                      bool isStoreReachable, mono_time time);

/// @returns All events in one sequence ordered by time, so that causes precede their effects.
std::vector<event> mergeTimelines(std::vector<std::vector<event>> parts);

} // namespace poplarspool::node
