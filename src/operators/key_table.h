#pragma once

#include "operators/toml_reader.h"

#include <string>

namespace poplarspool::operators {

/// @returns The keys of one kind of file as a Markdown table, as included in docs/SETTINGS.md.
std::string keyTableOf(file_kind kind);

} // namespace poplarspool::operators
