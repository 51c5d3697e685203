#include "poplarspool/gateway/route_index.h"

#include "base/http_text.h"
#include "poplarspool/base/hash.h"

namespace poplarspool::gateway {

namespace {

constexpr char slash = '/';

/// A Host header may name the port as well.
std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

bool isOdd(std::string_view prefix)
{
    return !prefix.starts_with(slash) || !prefix.ends_with(slash);
}

/// Calls `each(word)` for what stands between two slashes of a path that begins with one, until it
/// returns false.
template <class Each>
void walkSteps(std::string_view path, const Each &each)
{
    std::size_t begin = 1;
    for (std::size_t end = path.find(slash, begin); end != std::string_view::npos;
         end = path.find(slash, begin)) {
        if (!each(path.substr(begin, end - begin)))
            return;
        begin = end + 1;
    }
}

/// Numbers the nodes of a new index.
class index_maker
{
public:
    explicit index_maker(route_index &made) : made(made) { }

    void add(const route &one, std::uint32_t place)
    {
        if (one.isUnplaced) {
            made.unplaced = made.unplaced.value_or(place);
            return;
        }
        auto [host, isNew] = made.hosts.try_emplace(one.host);
        if (isNew)
            host->second.root.number = count++;
        if (isOdd(one.pathPrefix)) {
            host->second.odd.push_back(place);
            return;
        }
        path_node &end = nodeOf(host->second.root, one.pathPrefix);
        if (!end.route)
            end.route = place;
    }

private:
    path_node &nodeOf(path_node &root, std::string_view prefix)
    {
        path_node *node = &root;
        walkSteps(prefix, [&](std::string_view word) {
            auto [step, isNew] = made.steps.try_emplace({node->number, std::string(word)});
            if (isNew)
                step->second.number = count++;
            node = &step->second;
            return true;
        });
        return *node;
    }

    route_index &made;
    std::uint32_t count = 0;
};

std::optional<std::uint32_t> deepestRoute(const route_index &index, const path_node &root,
                                          std::string_view path)
{
    if (!path.starts_with(slash))
        return std::nullopt;
    std::optional<std::uint32_t> deepest = root.route;
    std::uint32_t from = root.number;
    walkSteps(path, [&](std::string_view word) {
        const auto step = index.steps.find(path_step_view{from, word});
        if (step == index.steps.end())
            return false;
        from = step->second.number;
        if (step->second.route)
            deepest = step->second.route;
        return true;
    });
    return deepest;
}

} // namespace

/// Folds more letters than are equal, which only makes a few hosts share a hash.
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

std::size_t path_step_hash::operator()(const path_step &step) const
{
    return hashOf(step.word, step.from);
}

std::size_t path_step_hash::operator()(const path_step_view &step) const
{
    return hashOf(step.word, step.from);
}

bool path_step_equal::operator()(const path_step &left, const path_step &right) const
{
    return left == right;
}

bool path_step_equal::operator()(const path_step_view &left, const path_step &right) const
{
    return left.from == right.from && left.word == right.word;
}

bool path_step_equal::operator()(const path_step &left, const path_step_view &right) const
{
    return (*this)(right, left);
}

route_index indexOf(const route_table &table)
{
    route_index made;
    index_maker maker(made);
    for (std::uint32_t place = 0; place < table.routes.size(); ++place)
        maker.add(table.routes[place], place);
    made.keys = workspaces::indexOf(table.workspaces);
    return made;
}

namespace {

const route *findPlacedRoute(const route_table &table, const route_index &index,
                             std::string_view host, std::string_view path)
{
    const auto known = index.hosts.find(withoutPort(host));
    if (known == index.hosts.end())
        return nullptr;
    const std::string_view plainPath = path.substr(0, path.find('?'));
    const auto deepest = deepestRoute(index, known->second.root, plainPath);
    const route *best = deepest ? &table.routes[*deepest] : nullptr;
    for (const std::uint32_t place : known->second.odd) {
        const route &one = table.routes[place];
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
    const route *placed = findPlacedRoute(table, index, host, path);
    return placed == nullptr && index.unplaced ? &table.routes[*index.unplaced] : placed;
}

} // namespace poplarspool::gateway
