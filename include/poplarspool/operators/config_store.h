#pragma once

#include "poplarspool/base/result.h"
#include "poplarspool/platform/object_store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::operators {

/// An accepted change, as listed in the history of later heads.
struct config_change
{
    std::uint64_t version = 0; ///< Version of the head while this change was in force.
    std::string inventorySha;
    std::string rulesSha;
    std::string nonce;
    std::string author;
    std::int64_t wallMs = 0;

    bool operator==(const config_change &) const = default;
};

/// The root object of the configuration in the store. A configuration is accepted once a
/// conditional write has replaced this object.
struct config_head
{
    std::string inventorySha; ///< SHA-256 of the text; part of the key of its body object.
    std::string rulesSha;
    /// Chosen by the writer; after a lost reply, it identifies the writer's own change.
    std::string nonce;
    std::string author;
    std::int64_t wallMs = 0;
    /// Earlier changes, newest first, at most config::headHistorySize. Distinguishes a change that
    /// was accepted and has been replaced since from one that was never accepted.
    std::vector<config_change> earlier;

    bool operator==(const config_head &) const = default;
};

std::string textOf(const config_head &head);
result<config_head> parseConfigHead(std::string_view text);

// Keys in the store. Instances watch one prefix, which holds the head and the order records.
std::string watchedPrefix(const std::string &deployment);
std::string headKey(const std::string &deployment);
std::string orderKey(const std::string &deployment, const std::string &runner);
std::string bodyKey(const std::string &deployment, const std::string &sha256);
std::string claimKey(const std::string &deployment, std::uint32_t bucket);

struct apply_request
{
    std::string inventoryText;
    std::string rulesText;
    /// Identifies the change: a request with the same nonce may be sent again after a lost reply.
    std::string nonce;
    std::string author;
    /// Version of the head that the change replaces; without it, the current one.
    std::optional<std::uint64_t> ifVersion;
};

struct apply_reply
{
    std::uint64_t version = 0; ///< Version of the head with this change.

    bool operator==(const apply_reply &) const = default;
};

/// The accepted configuration, read from the store.
struct stored_config
{
    std::uint64_t version = 0; ///< Version of the head; 0 before the first accepted change.
    config_head head;
    std::string inventoryText;
    std::string rulesText;

    bool operator==(const stored_config &) const = default;
};

/// Reads the head and its bodies, and verifies the SHA-256 of each body.
/// @returns Broken if the head is unreadable or a body does not match its hash.
result<stored_config> readConfig(platform::object_store &store, const std::string &deployment);

/// Writes the bodies, then replaces the head with a conditional write. The caller has validated the
/// texts.
/// @returns Conflict (NotRun) that describes the other change if another operator was first.
result<apply_reply> applyConfig(platform::object_store &store, const std::string &deployment,
                                const apply_request &request, mono_time deadline);

} // namespace poplarspool::operators
