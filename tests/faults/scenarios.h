#pragma once

#include "faults/outcome_counts.h"
#include "faults/test_fleet.h"

#include <string>
#include <vector>

namespace poplarspool::faults {

struct scenario
{
    std::string name;
    /// Number of the guarantee that the scenario checks, 1 to 9; printed as `point`.
    int guarantee = 0;
    int faultKinds = 1; ///< Number of different faults injected at the same time.
    outcome_counts (*run)(const scenario_environment &environment) = nullptr;
};

/// Guarantees 1 and 3: engines receive one order at a time, and stale orders have no effect.
std::vector<scenario> orderScenarios();
/// Guarantee 2: changes of engines cut no running stream.
std::vector<scenario> engineChangeScenarios();
/// Guarantees 4 and 5: answers are complete, and "not run" is true.
std::vector<scenario> answerScenarios();
/// Guarantee 6: a call with an idempotency key runs at most once.
std::vector<scenario> atMostOnceScenarios();
/// Guarantees 7 and 8: drained engines get no new requests, and instances shut down gracefully.
std::vector<scenario> drainScenarios();
/// Guarantee 9: instances agree on one sequence of configuration versions.
std::vector<scenario> configScenarios();

} // namespace poplarspool::faults
