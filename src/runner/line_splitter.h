#pragma once

#include "poplarspool/config.h"

#include <functional>
#include <string>
#include <string_view>

namespace poplarspool::runner {

/// Puts a stream's pieces together to lines; a piece may hold any part of any number of lines.
class line_splitter
{
public:
    /// Takes one line, without its newline; returns false to stop.
    using line_receiver = std::function<bool(std::string_view line)>;

    /// @returns False where the receiver stopped or a line is above config::maxStreamLineBytes.
    bool feed(std::string_view piece, const line_receiver &onLine);

    bool isLineTooLong() const { return tooLong; }

private:
    bool append(std::string_view part);

    std::string partial;
    bool tooLong = false;
};

} // namespace poplarspool::runner
