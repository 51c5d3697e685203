#include "poplarspool/operators/config_store.h"

#include "operators/config_diff.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/operators/config_files.h"
#include "poplarspool/operators/limits.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace poplarspool::operators {

namespace {

using platform::object_store;

/// The head as read from the store; version 0 if none exists yet.
struct current_head
{
    std::uint64_t version = 0;
    config_head head;
};

result<current_head> readHead(object_store &store, const std::string &deployment)
{
    const result<platform::object> found = store.get(headKey(deployment));
    if (!succeeded(found)) {
        if (errorOf(found).code == error_code::NotFound)
            return current_head{};
        return errorOf(found);
    }
    const result<config_head> head = parseConfigHead(valueOf(found).value);
    if (!succeeded(head))
        return errorOf(head);
    return current_head{valueOf(found).version, valueOf(head)};
}

config_change changeOf(const current_head &current)
{
    const config_head &head = current.head;
    return {current.version, head.inventorySha, head.rulesSha,
            head.nonce,      head.author,       head.wallMs};
}

/// @returns The version at which the change with this nonce was accepted; nullopt if the head and
///          its history don't contain it.
std::optional<std::uint64_t> versionOfChange(const current_head &current, const std::string &nonce)
{
    if (current.version != 0 && current.head.nonce == nonce)
        return current.version;
    for (const config_change &change : current.head.earlier) {
        if (change.nonce == nonce)
            return change.version;
    }
    return std::nullopt;
}

/// @returns Whether the history of the head contains every change after `version`.
bool coversHistorySince(const current_head &current, std::uint64_t version)
{
    const auto &earlier = current.head.earlier;
    if (version == 0)
        return earlier.size() < config::headHistorySize;
    return std::any_of(earlier.begin(), earlier.end(), [version](const config_change &change) {
        return change.version == version;
    });
}

config_head nextHead(const current_head &current, const apply_request &request)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    config_head next{sha256Hex(request.inventoryText),
                     sha256Hex(request.rulesText),
                     request.nonce,
                     request.author,
                     std::chrono::duration_cast<milliseconds>(now).count(),
                     {}};
    if (current.version == 0)
        return next;
    next.earlier.push_back(changeOf(current));
    next.earlier.insert(next.earlier.end(), current.head.earlier.begin(),
                        current.head.earlier.end());
    next.earlier.resize(std::min(next.earlier.size(), config::headHistorySize));
    return next;
}

/// Rejects an inventory of another deployment. Accepting one by mistake would replace the whole
/// fleet: every runner of this deployment would count as removed.
std::optional<error> checkDeployment(const std::string &deployment, const apply_request &request)
{
    const parse_result<policy::inventory> parsed =
            parseInventory("inventory", request.inventoryText);
    const auto *fleet = std::get_if<policy::inventory>(&parsed);
    if (!fleet)
        return notRun(error_code::BadRequest, "the inventory is invalid");
    if (fleet->deployment == deployment)
        return std::nullopt;
    return notRun(error_code::BadRequest,
                  "the inventory is for deployment \"" + fleet->deployment + "\", this one is \""
                          + deployment + '"');
}

/// Writes a body under the hash of its content. A body that already exists under this key has the
/// same content.
result<unit> writeBody(object_store &store, const std::string &deployment, const std::string &text,
                       mono_time deadline)
{
    const std::string key = bodyKey(deployment, sha256Hex(text));
    const auto written = store.put(key, text, platform::mustNotExist, deadline);
    if (succeeded(written) || errorOf(written).code == error_code::Conflict)
        return unit{};
    // The change is accepted only when the head is replaced, and the head has not been written yet.
    error failure = errorOf(written);
    failure.ran = verdict::NotRun;
    return failure;
}

result<std::string> readBody(object_store &store, const std::string &deployment,
                             const std::string &sha256)
{
    const result<platform::object> found = store.get(bodyKey(deployment, sha256));
    if (!succeeded(found))
        return errorOf(found);
    if (sha256Hex(valueOf(found).value) != sha256)
        return notRun(error_code::Broken, "body " + sha256 + " does not match its SHA-256");
    return valueOf(found).value;
}

std::optional<configuration> parseBoth(const std::string &inventoryText,
                                       const std::string &rulesText)
{
    parse_result<policy::inventory> fleet = parseInventory("inventory", inventoryText);
    parse_result<policy::rules> ruleSet = parseRules("rules", rulesText);
    if (!std::holds_alternative<policy::inventory>(fleet)
        || !std::holds_alternative<policy::rules>(ruleSet))
        return std::nullopt;
    return configuration{std::get<policy::inventory>(std::move(fleet)),
                         std::get<policy::rules>(std::move(ruleSet))};
}

std::optional<configuration> readChange(object_store &store, const std::string &deployment,
                                        const config_change &change)
{
    const auto inventoryText = readBody(store, deployment, change.inventorySha);
    const auto rulesText = readBody(store, deployment, change.rulesSha);
    if (!succeeded(inventoryText) || !succeeded(rulesText))
        return std::nullopt;
    return parseBoth(valueOf(inventoryText), valueOf(rulesText));
}

std::string formatUtc(std::int64_t wallMs)
{
    const std::time_t time = wallMs / 1000;
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return out.str();
}

std::string describeDifferences(const std::optional<configuration> &from,
                                const std::optional<configuration> &to)
{
    if (!from || !to)
        return "unknown";
    return summaryOf(differences(*from, *to));
}

/// Describes the accepted change and the rejected one. Both are compared with the configuration
/// that the rejected one is based on, if the history still contains it.
error conflictOf(object_store &store, const std::string &deployment, const current_head &current,
                 const apply_request &request, std::uint64_t baseVersion)
{
    const auto requested = parseBoth(request.inventoryText, request.rulesText);
    std::ostringstream text;
    text << "the configuration is at version " << current.version << ", not " << baseVersion;
    if (current.version == 0)
        return notRun(error_code::Conflict, text.str());
    const auto accepted = readChange(store, deployment, changeOf(current));
    const auto &earlier = current.head.earlier;
    const auto base = std::find_if(
            earlier.begin(), earlier.end(),
            [baseVersion](const config_change &change) { return change.version == baseVersion; });
    text << ": " << current.head.author << " changed it at " << formatUtc(current.head.wallMs);
    if (base != earlier.end()) {
        const auto before = readChange(store, deployment, *base);
        text << " [" << describeDifferences(before, accepted) << "]; the change of "
             << request.author << " is [" << describeDifferences(before, requested) << ']';
    }
    text << "; difference from the accepted configuration to that of " << request.author << ": ["
         << describeDifferences(accepted, requested) << ']';
    return notRun(error_code::Conflict, text.str());
}

/// Determines the outcome of a head write whose reply was lost or ambiguous. The write was
/// conditional on `before`: once the head has another version, the write has either been accepted,
/// and is then in the history of the head, or it can no longer succeed.
result<apply_reply> resolveUnknownOutcome(object_store &store, const std::string &deployment,
                                          const current_head &before, const apply_request &request,
                                          const error &failure)
{
    const result<current_head> after = readHead(store, deployment);
    if (!succeeded(after))
        return failure;
    const current_head &current = valueOf(after);
    if (const auto version = versionOfChange(current, request.nonce))
        return apply_reply{*version};
    if (current.version != before.version && coversHistorySince(current, before.version))
        return conflictOf(store, deployment, current, request, before.version);
    return failure;
}

} // namespace

result<stored_config> readConfig(object_store &store, const std::string &deployment)
{
    const result<current_head> current = readHead(store, deployment);
    if (!succeeded(current))
        return errorOf(current);
    if (valueOf(current).version == 0)
        return stored_config{};
    const config_head &head = valueOf(current).head;
    const auto inventoryText = readBody(store, deployment, head.inventorySha);
    if (!succeeded(inventoryText))
        return errorOf(inventoryText);
    const auto rulesText = readBody(store, deployment, head.rulesSha);
    if (!succeeded(rulesText))
        return errorOf(rulesText);
    return stored_config{valueOf(current).version, head, valueOf(inventoryText),
                         valueOf(rulesText)};
}

result<apply_reply> applyConfig(object_store &store, const std::string &deployment,
                                const apply_request &request, mono_time deadline)
{
    if (auto mismatch = checkDeployment(deployment, request))
        return *std::move(mismatch);
    const result<current_head> head = readHead(store, deployment);
    if (!succeeded(head))
        return notRun(errorOf(head).code, errorOf(head).message, errorOf(head).retryAfter);
    const current_head &before = valueOf(head);
    if (const auto version = versionOfChange(before, request.nonce))
        return apply_reply{*version};
    if (request.ifVersion && *request.ifVersion != before.version)
        return conflictOf(store, deployment, before, request, *request.ifVersion);
    for (const std::string *text : {&request.inventoryText, &request.rulesText}) {
        const result<unit> written = writeBody(store, deployment, *text, deadline);
        if (!succeeded(written))
            return errorOf(written);
    }
    const auto replaced = store.put(headKey(deployment), textOf(nextHead(before, request)),
                                    before.version, deadline);
    if (succeeded(replaced))
        return apply_reply{valueOf(replaced)};
    return resolveUnknownOutcome(store, deployment, before, request, errorOf(replaced));
}

} // namespace poplarspool::operators
