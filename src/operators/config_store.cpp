#include "poplarspool/operators/config_store.h"

#include "operators/config_diff.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/config.h"
#include "poplarspool/operators/config_files.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace poplarspool::operators {

namespace {

using platform::object_store;

/// The head as it was read; version 0 where there is none yet.
struct present_head
{
    std::uint64_t version = 0;
    config_head head;
};

result<present_head> readHead(object_store &store, const std::string &deployment)
{
    const result<platform::object> found = store.get(headKey(deployment));
    if (!succeeded(found)) {
        if (errorOf(found).code == error_code::NotFound)
            return present_head{};
        return errorOf(found);
    }
    const result<config_head> head = parseConfigHead(valueOf(found).value);
    if (!succeeded(head))
        return errorOf(head);
    return present_head{valueOf(found).version, valueOf(head)};
}

config_change changeOf(const present_head &present)
{
    const config_head &head = present.head;
    return {present.version, head.inventorySha, head.rulesSha,
            head.nonce,      head.author,       head.wallMs};
}

/// @returns The version at which the change with that nonce was accepted.
std::optional<std::uint64_t> acceptedAt(const present_head &present, const std::string &nonce)
{
    if (present.version != 0 && present.head.nonce == nonce)
        return present.version;
    for (const config_change &change : present.head.earlier) {
        if (change.nonce == nonce)
            return change.version;
    }
    return std::nullopt;
}

/// @returns Whether the head remembers every change since it had that version.
bool remembersSince(const present_head &present, std::uint64_t version)
{
    const auto &earlier = present.head.earlier;
    if (version == 0)
        return earlier.size() < config::headHistory;
    return std::any_of(earlier.begin(), earlier.end(), [version](const config_change &change) {
        return change.version == version;
    });
}

config_head headAfter(const present_head &present, const apply_request &wanted)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    config_head next{sha256Hex(wanted.inventoryText),
                     sha256Hex(wanted.rulesText),
                     wanted.nonce,
                     wanted.author,
                     std::chrono::duration_cast<milliseconds>(now).count(),
                     {}};
    if (present.version == 0)
        return next;
    next.earlier.push_back(changeOf(present));
    next.earlier.insert(next.earlier.end(), present.head.earlier.begin(),
                        present.head.earlier.end());
    next.earlier.resize(std::min(next.earlier.size(), config::headHistory));
    return next;
}

/// An inventory of another deployment, sent here by mistake, would replace the whole fleet: every
/// runner of this one would count as withdrawn.
std::optional<error> refuseForeign(const std::string &deployment, const apply_request &wanted)
{
    const checked<policy::inventory> parsed = parseInventory("inventory", wanted.inventoryText);
    const auto *fleet = std::get_if<policy::inventory>(&parsed);
    if (!fleet)
        return notRun(error_code::BadRequest, "the inventory has faults");
    if (fleet->deployment == deployment)
        return std::nullopt;
    return notRun(error_code::BadRequest,
                  "the inventory is for deployment \"" + fleet->deployment + "\", this one is \""
                          + deployment + '"');
}

/// A body is named by its content, so one that is already there is the one wanted.
result<unit> writeBody(object_store &store, const std::string &deployment, const std::string &text,
                       mono_time deadline)
{
    const std::string key = bodyKey(deployment, sha256Hex(text));
    const auto written = store.put(key, text, platform::mustNotExist, deadline);
    if (succeeded(written) || errorOf(written).code == error_code::Conflict)
        return unit{};
    // The head, whose replacement is the acceptance, has not been touched.
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
        return notRun(error_code::Broken, "body " + sha256 + " does not have the content it names");
    return valueOf(found).value;
}

std::optional<configuration> parseBoth(const std::string &inventoryText,
                                       const std::string &rulesText)
{
    checked<policy::inventory> fleet = parseInventory("inventory", inventoryText);
    checked<policy::rules> book = parseRules("rules", rulesText);
    if (!std::holds_alternative<policy::inventory>(fleet)
        || !std::holds_alternative<policy::rules>(book))
        return std::nullopt;
    return configuration{std::get<policy::inventory>(std::move(fleet)),
                         std::get<policy::rules>(std::move(book))};
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

std::string wallText(std::int64_t wallMs)
{
    const std::time_t time = wallMs / 1000;
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return out.str();
}

std::string diffText(const std::optional<configuration> &from,
                     const std::optional<configuration> &to)
{
    if (!from || !to)
        return "unknown";
    return summaryOf(differences(*from, *to));
}

/// Shows the accepted change and the one that came too late, each against the configuration that
/// the late one was made for where that is still remembered.
error conflictOf(object_store &store, const std::string &deployment, const present_head &present,
                 const apply_request &wanted, std::uint64_t madeFor)
{
    const auto ours = parseBoth(wanted.inventoryText, wanted.rulesText);
    std::ostringstream text;
    text << "the configuration is at version " << present.version << ", not " << madeFor;
    if (present.version == 0)
        return notRun(error_code::Conflict, text.str());
    const auto theirs = readChange(store, deployment, changeOf(present));
    const auto &earlier = present.head.earlier;
    const auto base =
            std::find_if(earlier.begin(), earlier.end(), [madeFor](const config_change &change) {
                return change.version == madeFor;
            });
    text << ": " << present.head.author << " changed it at " << wallText(present.head.wallMs);
    if (base != earlier.end()) {
        const auto before = readChange(store, deployment, *base);
        text << " [" << diffText(before, theirs) << "]; the change of " << wanted.author << " is ["
             << diffText(before, ours) << ']';
    }
    text << "; from the accepted one to that of " << wanted.author << ": ["
         << diffText(theirs, ours) << ']';
    return notRun(error_code::Conflict, text.str());
}

/// Finds out what became of a head that was written with no clear answer. The write was conditional
/// on `before`: once the head has moved on, it has either been accepted, which the head remembers,
/// or never will be.
result<apply_reply> resolve(object_store &store, const std::string &deployment,
                            const present_head &before, const apply_request &wanted,
                            const error &failure)
{
    const result<present_head> after = readHead(store, deployment);
    if (!succeeded(after))
        return failure;
    const present_head &present = valueOf(after);
    if (const auto version = acceptedAt(present, wanted.nonce))
        return apply_reply{*version};
    if (present.version != before.version && remembersSince(present, before.version))
        return conflictOf(store, deployment, present, wanted, before.version);
    return failure;
}

} // namespace

result<stored_config> readConfig(object_store &store, const std::string &deployment)
{
    const result<present_head> present = readHead(store, deployment);
    if (!succeeded(present))
        return errorOf(present);
    if (valueOf(present).version == 0)
        return stored_config{};
    const config_head &head = valueOf(present).head;
    const auto inventoryText = readBody(store, deployment, head.inventorySha);
    if (!succeeded(inventoryText))
        return errorOf(inventoryText);
    const auto rulesText = readBody(store, deployment, head.rulesSha);
    if (!succeeded(rulesText))
        return errorOf(rulesText);
    return stored_config{valueOf(present).version, head, valueOf(inventoryText),
                         valueOf(rulesText)};
}

result<apply_reply> applyConfig(object_store &store, const std::string &deployment,
                                const apply_request &wanted, mono_time deadline)
{
    if (auto refusal = refuseForeign(deployment, wanted))
        return *std::move(refusal);
    const result<present_head> read = readHead(store, deployment);
    if (!succeeded(read))
        return notRun(errorOf(read).code, errorOf(read).message, errorOf(read).retryAfter);
    const present_head &before = valueOf(read);
    if (const auto version = acceptedAt(before, wanted.nonce))
        return apply_reply{*version};
    if (wanted.ifVersion && *wanted.ifVersion != before.version)
        return conflictOf(store, deployment, before, wanted, *wanted.ifVersion);
    for (const std::string *text : {&wanted.inventoryText, &wanted.rulesText}) {
        const result<unit> written = writeBody(store, deployment, *text, deadline);
        if (!succeeded(written))
            return errorOf(written);
    }
    const auto replaced = store.put(headKey(deployment), textOf(headAfter(before, wanted)),
                                    before.version, deadline);
    if (succeeded(replaced))
        return apply_reply{valueOf(replaced)};
    return resolve(store, deployment, before, wanted, errorOf(replaced));
}

} // namespace poplarspool::operators
