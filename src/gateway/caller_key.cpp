#include "gateway/caller_key.h"

#include "base/http_text.h"

#include <algorithm>

namespace poplarspool::gateway {

const workspaces::workspace *keyOwnerOf(const http_request &request, const dialect &names,
                                        const route_table &table, const route_index &index)
{
    const auto isKey = [&names](const auto &header) {
        return equalsIgnoringCase(header.first, names.key);
    };
    // With two key headers, a proxy could check one of them while the runner uses the other.
    if (std::ranges::count_if(request.headers, isKey) != 1)
        return nullptr;
    const auto presentedKey =
            workspaces::readKey(names.keyScheme, headerOf(request.headers, names.key));
    if (!presentedKey)
        return nullptr;
    const auto found = index.keys.find(*presentedKey);
    return found == index.keys.end() ? nullptr : &table.workspaces[found->second];
}

} // namespace poplarspool::gateway
