#pragma once

#include "faults/fleet.h"
#include "faults/tally.h"

#include <string>
#include <vector>

namespace poplarspool::faults {

struct scenario
{
    std::string name;
    int point = 0; ///< Of "What must always hold" in the brief, 1 to 9.
    int faults = 1; ///< Kinds of faults at once.
    tally (*run)(const stage &place) = nullptr;
};

std::vector<scenario> orderScenarios();
std::vector<scenario> changeScenarios();
std::vector<scenario> answerScenarios();
std::vector<scenario> onceScenarios();
std::vector<scenario> leavingScenarios();
std::vector<scenario> configScenarios();

} // namespace poplarspool::faults
