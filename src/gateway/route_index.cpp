#include "poplarspool/gateway/route_index.h"

#include "base/http_text.h"
#include "poplarspool/base/hash.h"

#include <algorithm>

namespace poplarspool::gateway {

namespace {

constexpr char slash = '/';

/// Strips the optional port of a Host header.
std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

bool isUnaligned(std::string_view prefix)
{
    return !prefix.starts_with(slash) || !prefix.ends_with(slash);
}

/// Calls `each(segment)` for each segment between two slashes of a path that begins with a slash,
/// until it returns false.
template <class Each>
void forEachSegment(std::string_view path, const Each &each)
{
    std::size_t begin = 1;
    for (std::size_t end = path.find(slash, begin); end != std::string_view::npos;
         end = path.find(slash, begin)) {
        if (!each(path.substr(begin, end - begin)))
            return;
        begin = end + 1;
    }
}

/// Fills a new index and numbers its nodes.
class index_builder
{
public:
    explicit index_builder(route_index &built) : built(built) { }

    void add(const route &one, std::uint32_t position)
    {
        if (one.hasInvalidMatch) {
            built.firstInvalidRoute = built.firstInvalidRoute.value_or(position);
            return;
        }
        auto [host, isNew] = built.hosts.try_emplace(one.host);
        if (isNew)
            host->second.root.number = count++;
        if (isUnaligned(one.pathPrefix)) {
            host->second.unalignedRoutes.push_back(position);
            return;
        }
        path_node &end = nodeOf(host->second.root, one.pathPrefix);
        if (!end.route)
            end.route = position;
    }

private:
    path_node &nodeOf(path_node &root, std::string_view prefix)
    {
        path_node *node = &root;
        forEachSegment(prefix, [&](std::string_view segment) {
            auto [child, isNew] = built.segments.try_emplace({node->number, std::string(segment)});
            if (isNew)
                child->second.number = count++;
            node = &child->second;
            return true;
        });
        return *node;
    }

    route_index &built;
    std::uint32_t count = 0;
};

std::optional<std::uint32_t> deepestRoute(const route_index &index, const path_node &root,
                                          std::string_view path)
{
    if (!path.starts_with(slash))
        return std::nullopt;
    std::optional<std::uint32_t> deepest = root.route;
    std::uint32_t node = root.number;
    forEachSegment(path, [&](std::string_view segment) {
        const auto child = index.segments.find(path_segment_view{node, segment});
        if (child == index.segments.end())
            return false;
        node = child->second.number;
        if (child->second.route)
            deepest = child->second.route;
        return true;
    });
    return deepest;
}

} // namespace

/// FNV-1a with the case bit set on every byte. This also folds some characters that are not
/// letters, which only adds a few collisions.
std::size_t host_hash::operator()(std::string_view host) const
{
    constexpr std::uint64_t offset = 0xcbf29ce484222325;
    constexpr std::uint64_t prime = 0x100000001b3;
    constexpr unsigned char caseBit = 0x20;
    std::uint64_t hash = offset;
    for (const char letter : host)
        hash = (hash ^ (static_cast<unsigned char>(letter) | caseBit)) * prime;
    return hash;
}

bool host_equal::operator()(std::string_view left, std::string_view right) const
{
    return equalsIgnoringCase(left, right);
}

std::size_t path_segment_hash::operator()(const path_segment &segment) const
{
    return hashOf(segment.text, segment.parent);
}

std::size_t path_segment_hash::operator()(const path_segment_view &segment) const
{
    return hashOf(segment.text, segment.parent);
}

bool path_segment_equal::operator()(const path_segment &left, const path_segment &right) const
{
    return left == right;
}

bool path_segment_equal::operator()(const path_segment_view &left, const path_segment &right) const
{
    return left.parent == right.parent && left.text == right.text;
}

bool path_segment_equal::operator()(const path_segment &left, const path_segment_view &right) const
{
    return (*this)(right, left);
}

namespace {

/// A single workspace is told apart from callers without a workspace.
bool doRanksDiffer(const std::vector<workspaces::workspace> &all)
{
    return all.size() == 1 || std::ranges::any_of(all, [&all](const workspaces::workspace &one) {
               return one.rank != all.front().rank;
           });
}

} // namespace

route_index buildRouteIndex(const route_table &table)
{
    route_index built;
    index_builder builder(built);
    for (std::uint32_t position = 0; position < table.routes.size(); ++position)
        builder.add(table.routes[position], position);
    built.keys = workspaces::indexOf(table.workspaces);
    built.doWorkspaceRanksDiffer = doRanksDiffer(table.workspaces);
    return built;
}

namespace {

const route *findMatchingRoute(const route_table &table, const route_index &index,
                               std::string_view host, std::string_view path)
{
    const auto hostRoutes = index.hosts.find(withoutPort(host));
    if (hostRoutes == index.hosts.end())
        return nullptr;
    const std::string_view plainPath = path.substr(0, path.find('?'));
    const auto deepest = deepestRoute(index, hostRoutes->second.root, plainPath);
    const route *best = deepest ? &table.routes[*deepest] : nullptr;
    for (const std::uint32_t position : hostRoutes->second.unalignedRoutes) {
        const route &one = table.routes[position];
        if (plainPath.starts_with(one.pathPrefix)
            && (best == nullptr || one.pathPrefix.size() > best->pathPrefix.size()))
            best = &one;
    }
    return best;
}

} // namespace

const route *findRoute(const route_table &table, const route_index &index, std::string_view host,
                       std::string_view path)
{
    const route *matching = findMatchingRoute(table, index, host, path);
    return matching == nullptr && index.firstInvalidRoute ? &table.routes[*index.firstInvalidRoute]
                                                          : matching;
}

} // namespace poplarspool::gateway
