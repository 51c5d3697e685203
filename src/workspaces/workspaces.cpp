#include "poplarspool/workspaces/workspaces.h"

#include "base/http_text.h"
#include "poplarspool/workspaces/limits.h"

namespace poplarspool::workspaces {

key_index indexOf(const std::vector<workspace> &all)
{
    key_index made;
    for (std::uint32_t position = 0; position < all.size(); ++position) {
        for (const key_digest &key : all[position].keys)
            made.try_emplace(key, position);
    }
    return made;
}

std::optional<key_digest> readKey(std::string_view scheme, std::string_view value)
{
    const std::string_view text = trimmed(value);
    const bool isOfScheme = text.size() > scheme.size()
            && equalsIgnoringCase(text.substr(0, scheme.size()), scheme)
            && text[scheme.size()] == ' ';
    if (!isOfScheme)
        return std::nullopt;
    const std::string_view key = trimmed(text.substr(scheme.size()));
    if (key.empty() || key.size() > config::maxWorkspaceKeyBytes)
        return std::nullopt;
    return digest128Of(key);
}

} // namespace poplarspool::workspaces
