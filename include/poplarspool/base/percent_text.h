#pragma once

#include <string>
#include <string_view>

namespace poplarspool {

/// @returns The text with every byte but unreserved ones and '/' percent-encoded.
std::string percentEncoded(std::string_view text);

} // namespace poplarspool
