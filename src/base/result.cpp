#include "poplarspool/base/result.h"

#include <algorithm>
#include <array>

namespace poplarspool {

namespace {

struct code_name
{
    error_code code;
    std::string_view name;
};

constexpr std::array codeNames{
        code_name{error_code::BadRequest, "bad_request"},
        code_name{error_code::Unauthorized, "unauthorized"},
        code_name{error_code::Forbidden, "forbidden"},
        code_name{error_code::NotFound, "not_found"},
        code_name{error_code::TooLarge, "too_large"},
        code_name{error_code::Conflict, "conflict"},
        code_name{error_code::Duplicate, "duplicate"},
        code_name{error_code::Overloaded, "overloaded"},
        code_name{error_code::Throttled, "throttled"},
        code_name{error_code::TimedOut, "timed_out"},
        code_name{error_code::Unavailable, "unavailable"},
        code_name{error_code::Broken, "broken"},
        code_name{error_code::Stale, "stale"},
        code_name{error_code::Cancelled, "cancelled"},
        code_name{error_code::Internal, "internal"},
};

} // namespace

std::string_view nameOf(verdict ran)
{
    return ran == verdict::NotRun ? "not_run" : "may_have_run";
}

std::string_view nameOf(error_code code)
{
    const auto found = std::ranges::find(codeNames, code, &code_name::code);
    return found == codeNames.end() ? "internal" : found->name;
}

error_code errorCodeOf(std::string_view name)
{
    const auto found = std::ranges::find(codeNames, name, &code_name::name);
    return found == codeNames.end() ? error_code::Internal : found->code;
}

} // namespace poplarspool
