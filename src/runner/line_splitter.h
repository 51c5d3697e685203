#pragma once

#include "poplarspool/runner/limits.h"

#include <functional>
#include <string>
#include <string_view>

namespace poplarspool::runner {

/// Splits a stream into lines; a received piece may contain parts of any number of lines.
class line_splitter
{
public:
    /// Receives one line, without its newline; returns false to stop.
    using line_receiver = std::function<bool(std::string_view line)>;

    /// @returns False if the receiver stopped or a line exceeds config::maxStreamLineBytes.
    bool feed(std::string_view piece, const line_receiver &onLine);

    bool isLineTooLong() const { return hasLineTooLong; }

private:
    bool append(std::string_view part);

    std::string partial;
    bool hasLineTooLong = false;
};

} // namespace poplarspool::runner
