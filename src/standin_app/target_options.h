#pragma once

#include "poplarspool/base/result.h"
#include "standin/engine_types.h"
#include "standin/service.h"

#include <string>
#include <variant>
#include <vector>

namespace poplarspool::standin {

/// Text that the user asked for instead of a run.
struct help_text
{
    std::string text;
};

/// @param words The command line after the subcommand.
result<std::variant<engine_options, help_text>>
parseEngineOptions(const std::vector<std::string> &words);
result<std::variant<service_options, help_text>>
parseServiceOptions(const std::vector<std::string> &words);

} // namespace poplarspool::standin
