#pragma once

#include "poplarspool/base/result.h"

#include <string>

namespace poplarspool::caller {

/// @returns `{"error":{"code","message","verdict"}}`, the one form of failures towards callers.
std::string bodyOf(const error &failure);

} // namespace poplarspool::caller
