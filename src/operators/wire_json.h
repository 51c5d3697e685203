#pragma once

#include "poplarspool/base/http.h"
#include "poplarspool/operators/config_files.h"
#include "poplarspool/operators/config_store.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

/// JSON encoding of the messages on the operator address; shared by the server and the commands.
namespace poplarspool::operators {

/// @returns Compact JSON; invalid UTF-8 is replaced.
std::string dumpJson(const nlohmann::ordered_json &value);

/// @returns `{"faults":[{"file","line","column","key","message"}]}`
nlohmann::ordered_json jsonOf(const std::vector<diagnostic> &diagnostics);
/// @returns The errors in the body of a 422 reply; empty if it is something else.
std::vector<diagnostic> parseDiagnostics(std::string_view text);

std::string textOf(const apply_request &request);
result<apply_request> parseApplyRequest(std::string_view text);

std::string textOf(const apply_reply &reply);
result<apply_reply> parseApplyReply(std::string_view text);

std::string textOf(const stored_config &config);
result<stored_config> parseStoredConfig(std::string_view text);

/// @returns The error in the body of a reply with a status other than 200.
error errorOfReply(const http_reply &reply);

} // namespace poplarspool::operators
