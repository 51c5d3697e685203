#pragma once

#include "poplarspool/base/result.h"
#include "poplarspool/platform/object_store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::operators {

/// One accepted change, as later heads remember it.
struct config_change
{
    std::uint64_t version = 0; ///< Of the head while this change was in force.
    std::string inventorySha;
    std::string rulesSha;
    std::string nonce;
    std::string author;
    std::int64_t wallMs = 0;

    bool operator==(const config_change &) const = default;
};

/// The one object whose replacement is the acceptance of a configuration.
struct config_head
{
    std::string inventorySha; ///< SHA-256 of the text; names its body object.
    std::string rulesSha;
    std::string nonce; ///< Of the writer: tells a lost answer's own write from another's.
    std::string author;
    std::int64_t wallMs = 0;
    /// Newest first, at most config::headHistory: a change that was accepted and replaced since
    /// can still be told from one that never was.
    std::vector<config_change> earlier;

    bool operator==(const config_head &) const = default;
};

std::string textOf(const config_head &head);
result<config_head> parseConfigHead(std::string_view text);

// Keys in the store. Instances watch one prefix: the head and the order records.
std::string watchedPrefix(const std::string &deployment);
std::string headKey(const std::string &deployment);
std::string orderKey(const std::string &deployment, const std::string &runner);
std::string bodyKey(const std::string &deployment, const std::string &sha256);
std::string claimKey(const std::string &deployment, std::uint32_t bucket);

struct apply_request
{
    std::string inventoryText;
    std::string rulesText;
    std::string nonce; ///< Same nonce, same change: may be sent again after a lost answer.
    std::string author;
    std::optional<std::uint64_t> ifVersion; ///< Head that the operator saw; none: the present one.
};

struct apply_reply
{
    std::uint64_t version = 0; ///< Of the head.

    bool operator==(const apply_reply &) const = default;
};

/// The configuration as it stands in the store.
struct stored_config
{
    std::uint64_t version = 0; ///< Of the head; 0 where nothing was accepted yet.
    config_head head;
    std::string inventoryText;
    std::string rulesText;

    bool operator==(const stored_config &) const = default;
};

/// Reads the head and its bodies, and compares the bodies with their names.
result<stored_config> readConfig(platform::object_store &store, const std::string &deployment);

/// Writes bodies, then replaces the head by a conditional update. The texts have been checked.
/// @returns Conflict (NotRun) that names the other change where another operator was first.
result<apply_reply> applyConfig(platform::object_store &store, const std::string &deployment,
                                const apply_request &wanted, mono_time deadline);

} // namespace poplarspool::operators
