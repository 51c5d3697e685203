#pragma once

#include "poplarspool/base/http.h"
#include "poplarspool/operators/config_files.h"
#include "poplarspool/operators/config_store.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

/// What goes over the operators' address, as JSON; the server and the commands share it.
namespace poplarspool::operators {

/// @returns Compact JSON; bytes that aren't UTF-8 are replaced.
std::string dumpJson(const nlohmann::ordered_json &value);

/// @returns `{"faults":[{"file","line","column","key","message"}]}`
nlohmann::ordered_json jsonOf(const std::vector<fault> &faults);
/// @returns The faults of a 422; none where the text is something else.
std::vector<fault> parseFaults(std::string_view text);

std::string textOf(const apply_request &wanted);
result<apply_request> parseApplyRequest(std::string_view text);

std::string textOf(const apply_reply &reply);
result<apply_reply> parseApplyReply(std::string_view text);

std::string textOf(const stored_config &config);
result<stored_config> parseStoredConfig(std::string_view text);

/// @returns The failure that a reply other than 200 tells of.
error errorOfReply(const http_reply &reply);

} // namespace poplarspool::operators
