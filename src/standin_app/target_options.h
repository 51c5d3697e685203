#pragma once

#include "poplarspool/base/result.h"
#include "standin/engine_types.h"
#include "standin/service.h"

#include <string>
#include <variant>
#include <vector>

namespace poplarspool::standin {

/// The help text, if `--help` was given.
struct help_text
{
    std::string text;
};

/// Parses the options of the engine or the service.
/// @param arguments The command-line arguments after the subcommand.
/// @returns BadRequest for invalid arguments.
result<std::variant<engine_options, help_text>>
parseEngineOptions(const std::vector<std::string> &arguments);
result<std::variant<service_options, help_text>>
parseServiceOptions(const std::vector<std::string> &arguments);

} // namespace poplarspool::standin
