#pragma once

#include "soak/faults.h"
#include "soak/load.h"

#include <string>
#include <vector>

namespace poplarspool::soak {

struct soak_result
{
    std::uint64_t wrong = 0; ///< Answers that are falsely whole or mixed.
    /// Answers without a length of which a runner has not sent all.
    std::uint64_t interrupted = 0;
    double quietWholeShare = 1; ///< Of the answers without a length, in undisturbed spans.
};

/// Prints the counts of a soak, and one line for each answer that is wrong.
/// @param folder Holds the logs of the processes.
soak_result report(const std::vector<answer_record> &answers,
                   const std::vector<disturbance> &disturbances, const std::string &folder);

} // namespace poplarspool::soak
