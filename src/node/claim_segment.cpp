#include "node/claim_segment.h"

#include "poplarspool/base/bounded_json.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

namespace poplarspool::node {

namespace {

using nlohmann::json;

constexpr int formatVersion = 1;

// Positions in a claim's row. Rows without member names, and with owners by index, make the object
// less than half as large; each write transfers the whole object.
enum row_place : std::size_t { NamePlace, BodyPlace, NoncePlace, OwnerPlace, WallPlace, RowSize };

error unreadable(std::string_view what)
{
    return notRun(error_code::Broken, "claim segment in the store: " + std::string(what));
}

/// Assigns indexes to owners in order of first use.
class owner_table
{
public:
    std::size_t numberOf(const instance_id &owner)
    {
        const auto [found, isNew] = numbers.try_emplace(owner.text, names.size());
        if (isNew)
            names.push_back(owner.text);
        return found->second;
    }
    const json &list() const { return names; }

private:
    std::unordered_map<std::string, std::size_t> numbers;
    json names = json::array();
};

bool isText(const json &row, row_place place)
{
    return row[place].is_string() && !row[place].get_ref<const std::string &>().empty();
}

bool isRow(const json &row, std::size_t ownerCount)
{
    return row.is_array() && row.size() == RowSize && isText(row, NamePlace)
            && isText(row, BodyPlace) && isText(row, NoncePlace)
            && row[OwnerPlace].is_number_unsigned()
            && row[OwnerPlace].get<std::uint64_t>() < ownerCount
            && row[WallPlace].is_number_integer();
}

std::optional<std::vector<instance_id>> parseOwners(const json &names)
{
    std::vector<instance_id> owners;
    if (!names.is_array())
        return std::nullopt;
    for (const json &name : names) {
        if (!name.is_string())
            return std::nullopt;
        owners.push_back({name.get<std::string>()});
    }
    return owners;
}

} // namespace

const stored_claim *findClaim(const claim_segment &segment, const std::string &name)
{
    const auto found = segment.claims.find(name);
    return found == segment.claims.end() ? nullptr : &found->second;
}

std::string textOf(const claim_segment &segment)
{
    owner_table owners;
    json rows = json::array();
    for (const auto &[name, claim] : segment.claims) {
        rows.push_back(json::array(
                {name, claim.bodyHash, claim.nonce, owners.numberOf(claim.owner), claim.wallMs}));
    }
    const json body = {{"format", formatVersion}, {"owners", owners.list()}, {"claims", rows}};
    return body.dump();
}

result<claim_segment> parseClaimSegment(std::string_view text)
{
    const json body = parseJson(text);
    if (!body.is_object() || body.value("format", json()) != formatVersion)
        return unreadable("not an object of format " + std::to_string(formatVersion));
    const auto owners = parseOwners(body.value("owners", json()));
    const json rows = body.value("claims", json());
    if (!owners || !rows.is_array())
        return unreadable("'owners' or 'claims' is missing or not an array");
    claim_segment segment;
    segment.claims.reserve(rows.size());
    for (const json &row : rows) {
        if (!isRow(row, owners->size()))
            return unreadable("malformed claim row");
        const stored_claim claim{
                row[BodyPlace].get<std::string>(), row[NoncePlace].get<std::string>(),
                (*owners)[row[OwnerPlace].get<std::size_t>()], row[WallPlace].get<std::int64_t>()};
        const bool isNew = segment.claims.emplace(row[NamePlace].get<std::string>(), claim).second;
        if (!isNew)
            return unreadable("duplicate claim name");
    }
    return segment;
}

} // namespace poplarspool::node
