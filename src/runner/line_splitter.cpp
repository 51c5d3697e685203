#include "runner/line_splitter.h"

namespace poplarspool::runner {

bool line_splitter::append(std::string_view part)
{
    // An engine that never sends a newline would otherwise grow this buffer until the instance,
    // with all its other streams, runs out of memory.
    if (partial.size() + part.size() > config::maxStreamLineBytes) {
        tooLong = true;
        return false;
    }
    partial.append(part);
    return true;
}

bool line_splitter::feed(std::string_view piece, const line_receiver &onLine)
{
    while (!piece.empty()) {
        const std::size_t newline = piece.find('\n');
        if (newline == std::string_view::npos)
            return append(piece);
        if (!append(piece.substr(0, newline)))
            return false;
        const bool goesOn = onLine(partial);
        partial.clear();
        if (!goesOn)
            return false;
        piece.remove_prefix(newline + 1);
    }
    return true;
}

} // namespace poplarspool::runner
