#include "runner/line_splitter.h"
#include "poplarspool/runner/limits.h"

namespace poplarspool::runner {

bool line_splitter::append(std::string_view part)
{
    // Without this limit, an engine that never sends a newline would grow the buffer until the
    // instance runs out of memory and all its other streams fail.
    if (partial.size() + part.size() > config::maxStreamLineBytes) {
        hasLineTooLong = true;
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
        const bool wantsMore = onLine(partial);
        partial.clear();
        if (!wantsMore)
            return false;
        piece.remove_prefix(newline + 1);
    }
    return true;
}

} // namespace poplarspool::runner
