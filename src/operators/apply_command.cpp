#include "operators/command_line.h"
#include "operators/config_diff.h"
#include "operators/operator_client.h"
#include "operators/wire_json.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/operators/commands.h"
#include "poplarspool/operators/operator_server.h"

#include <chrono>
#include <cstdlib>
#include <ostream>
#include <thread>

namespace poplarspool::operators {

namespace {

constexpr std::chrono::milliseconds statusPollTime{200};

/// One run of the command, its words read.
struct apply_run
{
    const cxxopts::Options &options;
    operator_client &client;
    std::ostream &out;
    std::ostream &err;
};

cxxopts::Options applyOptions()
{
    cxxopts::Options options(
            "poplarspool apply",
            "Checks an inventory and rules, and makes them the configuration of\n"
            "all instances. Exit status: 0 accepted (with --wait: in force\n"
            "everywhere), 1 not, or not known to be, 2 bad words or faulty files.");
    options.custom_help("--to IP:PORT --inventory FILE --rules FILE [OPTION...]");
    addClientOptions(options);
    const auto text = [&options](const char *name, const char *meaning, const char *value) {
        options.add_options()(name, meaning, cxxopts::value<std::string>(), value);
    };
    text("inventory", "The inventory", "FILE");
    text("rules", "The rules", "FILE");
    text("author", "Who makes the change (default: the user)", "NAME");
    text("nonce", "Names the change, to send the same one again (default: random)", "TEXT");
    options.add_options()("if-version",
                          "Only if this version is in place (default: the one at the start)",
                          cxxopts::value<std::uint64_t>(), "N");
    options.add_options()("wait", "Wait at most so long until it is in force everywhere",
                          cxxopts::value<std::uint32_t>(), "SECONDS");
    return options;
}

std::string userName()
{
    // Read once, before this command starts any thread.
    const char *user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
    return user && *user ? user : "operator";
}

std::string textOr(const cxxopts::ParseResult &words, const std::string &name,
                   const std::string &fallback)
{
    return words.count(name) != 0 ? words[name].as<std::string>() : fallback;
}

std::vector<fault> checkLocally(const std::string &inventoryFile, const std::string &rulesFile,
                                const apply_request &wanted)
{
    std::vector<fault> faults;
    const auto collect = [&faults](const auto &outcome) {
        if (const auto *found = std::get_if<std::vector<fault>>(&outcome))
            faults.insert(faults.end(), found->begin(), found->end());
    };
    collect(parseInventory(inventoryFile, wanted.inventoryText));
    collect(parseRules(rulesFile, wanted.rulesText));
    if (faults.empty())
        faults = checkTogether(inventoryFile, wanted.inventoryText, rulesFile, wanted.rulesText);
    return faults;
}

int printFaults(const std::vector<fault> &faults, std::ostream &out)
{
    for (const fault &found : faults)
        out << lineOf(found) << '\n';
    return exitBadWords;
}

result<http_reply> get(operator_client &client, const std::string &path)
{
    http_request request;
    request.path = path;
    result<http_reply> reply = client.call(request);
    if (succeeded(reply) && valueOf(reply).status != 200)
        return errorOfReply(valueOf(reply));
    return reply;
}

/// Ties the change to the configuration that is there now. All tries then replace this very one: a
/// try that is sent again after a lost answer can't undo what someone else changed in between.
result<unit> pinVersion(operator_client &client, apply_request &wanted)
{
    const result<http_reply> reply = get(client, "/config");
    if (!succeeded(reply))
        return errorOf(reply);
    const result<stored_config> present = parseStoredConfig(valueOf(reply).body);
    if (!succeeded(present))
        return errorOf(present);
    wanted.ifVersion = valueOf(present).version;
    return unit{};
}

/// @returns The accepted version, or the status to exit with.
std::variant<std::uint64_t, int> send(const apply_run &run, const apply_request &wanted)
{
    http_request request;
    request.method = "POST";
    request.path = "/config";
    request.contentType = "application/json";
    request.body = textOf(wanted);
    const result<http_reply> reply = run.client.call(request);
    if (!succeeded(reply)) {
        const int status = reportFailure(run.options, errorOf(reply), run.err);
        if (errorOf(reply).ran == verdict::MayHaveRun)
            run.err << "Whether it was accepted is not known. The same change again: add --nonce "
                    << wanted.nonce << " --if-version " << *wanted.ifVersion << '\n';
        return status;
    }
    const http_reply &answer = valueOf(reply);
    if (const auto faults = parseFaults(answer.body); !faults.empty())
        return printFaults(faults, run.out);
    const result<apply_reply> accepted = parseApplyReply(answer.body);
    if (answer.status != 200 || !succeeded(accepted))
        return reportFailure(run.options, errorOfReply(answer), run.err);
    return valueOf(accepted).version;
}

/// @returns The status as the first instance that answers sees it.
result<fleet_status> askStatus(operator_client &client)
{
    const result<http_reply> reply = get(client, "/status");
    if (!succeeded(reply))
        return errorOf(reply);
    return parseFleetStatus(valueOf(reply).body);
}

std::string laggards(const fleet_status &fleet)
{
    std::string names;
    for (const instance_status &one : fleet.instances) {
        if (!one.inForce && one.who.state != policy::member_state::Dead)
            names.append(" ").append(one.who.id.text);
    }
    return names;
}

int waitUntilInForce(const apply_run &run, std::uint64_t version, std::chrono::seconds most)
{
    const auto deadline = std::chrono::steady_clock::now() + most;
    std::string missing;
    do {
        const result<fleet_status> fleet = askStatus(run.client);
        if (succeeded(fleet) && isInForce(valueOf(fleet), version)) {
            run.out << "version " << version << " in force on all " << countListed(valueOf(fleet))
                    << " instances that " << valueOf(fleet).answeredBy.text << " knows\n";
            return exitDone;
        }
        missing = succeeded(fleet) ? laggards(valueOf(fleet)) : ' ' + errorOf(fleet).message;
        std::this_thread::sleep_for(statusPollTime);
    } while (std::chrono::steady_clock::now() < deadline);
    run.err << run.options.program() << ": version " << version
            << " is accepted but not in force everywhere; missing:" << missing << '\n';
    return exitFailed;
}

int applyChange(const apply_run &run, const cxxopts::ParseResult &words, apply_request wanted)
{
    if (words.count("if-version") != 0) {
        wanted.ifVersion = words["if-version"].as<std::uint64_t>();
    } else {
        const result<unit> pinned = pinVersion(run.client, wanted);
        if (!succeeded(pinned))
            return reportFailure(run.options, errorOf(pinned), run.err);
    }
    const auto sent = send(run, wanted);
    if (const int *status = std::get_if<int>(&sent))
        return *status;
    const std::uint64_t version = std::get<std::uint64_t>(sent);
    run.out << "accepted as version " << version << '\n';
    if (words.count("wait") == 0)
        return exitDone;
    return waitUntilInForce(run, version, std::chrono::seconds(words["wait"].as<std::uint32_t>()));
}

} // namespace

int applyCommand(const std::vector<std::string> &words, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options = applyOptions();
    const words_or_exit parsed = parseWords(options, words, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const auto &chosen = std::get<cxxopts::ParseResult>(parsed);
    for (const char *name : {"inventory", "rules"}) {
        if (chosen.count(name) == 0)
            return refuseWords(options, std::string("--") + name + " is missing", err);
    }
    const auto client = clientOf(options, chosen, err);
    if (const int *status = std::get_if<int>(&client))
        return *status;

    const std::string inventoryFile = chosen["inventory"].as<std::string>();
    const std::string rulesFile = chosen["rules"].as<std::string>();
    const auto inventoryText = readFile(inventoryFile, err);
    const auto rulesText = readFile(rulesFile, err);
    if (!inventoryText || !rulesText)
        return exitFailed;
    apply_request wanted{*inventoryText, *rulesText, textOr(chosen, "nonce", randomHex128()),
                         textOr(chosen, "author", userName()), std::nullopt};
    if (const auto faults = checkLocally(inventoryFile, rulesFile, wanted); !faults.empty())
        return printFaults(faults, out);
    const auto &asked = std::get<std::unique_ptr<operator_client>>(client);
    return applyChange({options, *asked, out, err}, chosen, std::move(wanted));
}

} // namespace poplarspool::operators
