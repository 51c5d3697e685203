#pragma once

#include <string>
#include <string_view>

namespace poplarspool {

/// @returns The text with every byte percent-encoded, except for unreserved characters and '/'.
std::string percentEncoded(std::string_view text);

} // namespace poplarspool
