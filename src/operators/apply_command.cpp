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

constexpr std::chrono::milliseconds statusPollInterval{200};

/// State shared by the steps of one run of the command.
struct apply_context
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
            "Validates an inventory and rules, and applies them as the configuration\n"
            "of all instances. Exit status: 0 accepted (with --wait: in force on all\n"
            "instances), 1 not accepted or unknown, 2 invalid arguments or files.");
    options.custom_help("--to IP:PORT --inventory FILE --rules FILE [OPTION...]");
    addClientOptions(options);
    const auto text = [&options](const char *name, const char *description, const char *value) {
        options.add_options()(name, description, cxxopts::value<std::string>(), value);
    };
    text("inventory", "Inventory file", "FILE");
    text("rules", "Rules file", "FILE");
    text("author", "Author of the change (default: $USER)", "NAME");
    text("nonce", "Identifies the change; needed to send the same one again (default: random)",
         "TEXT");
    options.add_options()(
            "if-version",
            "Apply only if this is the current version (default: the version read at the start)",
            cxxopts::value<std::uint64_t>(), "N");
    options.add_options()("wait", "Maximum time to wait until it is in force on all instances",
                          cxxopts::value<std::uint32_t>(), "SECONDS");
    return options;
}

std::string defaultAuthor()
{
    // getenv() isn't thread-safe; this is called before the command starts any thread.
    const char *user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
    return user && *user ? user : "operator";
}

std::string textOr(const cxxopts::ParseResult &arguments, const std::string &name,
                   const std::string &fallback)
{
    return arguments.count(name) != 0 ? arguments[name].as<std::string>() : fallback;
}

std::vector<diagnostic> checkLocally(const std::string &inventoryFile, const std::string &rulesFile,
                                     const apply_request &request)
{
    std::vector<diagnostic> diagnostics;
    const auto collect = [&diagnostics](const auto &outcome) {
        if (const auto *errors = std::get_if<std::vector<diagnostic>>(&outcome))
            diagnostics.insert(diagnostics.end(), errors->begin(), errors->end());
    };
    collect(parseInventory(inventoryFile, request.inventoryText));
    collect(parseRules(rulesFile, request.rulesText));
    if (diagnostics.empty())
        diagnostics =
                crossCheck(inventoryFile, request.inventoryText, rulesFile, request.rulesText);
    return diagnostics;
}

int printDiagnostics(const std::vector<diagnostic> &diagnostics, std::ostream &out)
{
    for (const diagnostic &entry : diagnostics)
        out << lineOf(entry) << '\n';
    return exitInvalidInput;
}

result<http_reply> get(operator_client &client, const std::string &path)
{
    http_request httpRequest;
    httpRequest.path = path;
    result<http_reply> reply = client.call(httpRequest);
    if (succeeded(reply) && valueOf(reply).status != 200)
        return errorOfReply(valueOf(reply));
    return reply;
}

/// Makes the change conditional on the current version. Every try then replaces this version only:
/// a try that is repeated after a lost reply can't overwrite a change accepted in the meantime.
result<unit> pinVersion(operator_client &client, apply_request &request)
{
    const result<http_reply> reply = get(client, "/config");
    if (!succeeded(reply))
        return errorOf(reply);
    const result<stored_config> current = parseStoredConfig(valueOf(reply).body);
    if (!succeeded(current))
        return errorOf(current);
    request.ifVersion = valueOf(current).version;
    return unit{};
}

/// Sends the change to the first instance that gives a final reply.
/// @returns The accepted version, or the exit status.
std::variant<std::uint64_t, int> sendChange(const apply_context &context,
                                            const apply_request &request)
{
    http_request httpRequest;
    httpRequest.method = "POST";
    httpRequest.path = "/config";
    httpRequest.contentType = "application/json";
    httpRequest.body = textOf(request);
    const result<http_reply> reply = context.client.call(httpRequest);
    if (!succeeded(reply)) {
        const int status = reportFailure(context.options, errorOf(reply), context.err);
        if (errorOf(reply).ran == verdict::MayHaveRun)
            context.err << "It is unknown whether the change was accepted. To send the same change "
                           "again, add --nonce "
                        << request.nonce << " --if-version " << *request.ifVersion << '\n';
        return status;
    }
    const http_reply &response = valueOf(reply);
    if (const auto diagnostics = parseDiagnostics(response.body); !diagnostics.empty())
        return printDiagnostics(diagnostics, context.out);
    const result<apply_reply> accepted = parseApplyReply(response.body);
    if (response.status != 200 || !succeeded(accepted))
        return reportFailure(context.options, errorOfReply(response), context.err);
    return valueOf(accepted).version;
}

/// @returns The fleet status as seen by the first instance that replies.
result<fleet_status> fetchStatus(operator_client &client)
{
    const result<http_reply> reply = get(client, "/status");
    if (!succeeded(reply))
        return errorOf(reply);
    return parseFleetStatus(valueOf(reply).body);
}

std::string instancesNotInForce(const fleet_status &fleet)
{
    std::string names;
    for (const instance_status &entry : fleet.instances) {
        if (!entry.inForce && entry.instance.state != policy::member_state::Dead)
            names.append(" ").append(entry.instance.id.text);
    }
    return names;
}

int waitUntilInForce(const apply_context &context, std::uint64_t version,
                     std::chrono::seconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::string pending;
    do {
        const result<fleet_status> fleet = fetchStatus(context.client);
        if (succeeded(fleet) && isInForce(valueOf(fleet), version)) {
            context.out << "version " << version << " in force on all "
                        << countLiveInstances(valueOf(fleet)) << " instances that "
                        << valueOf(fleet).answeredBy.text << " knows\n";
            return exitSuccess;
        }
        pending = succeeded(fleet) ? instancesNotInForce(valueOf(fleet))
                                   : ' ' + errorOf(fleet).message;
        std::this_thread::sleep_for(statusPollInterval);
    } while (std::chrono::steady_clock::now() < deadline);
    context.err << context.options.program() << ": version " << version
                << " is accepted but not in force everywhere; missing:" << pending << '\n';
    return exitFailure;
}

int applyChange(const apply_context &context, const cxxopts::ParseResult &arguments,
                apply_request request)
{
    if (arguments.count("if-version") != 0) {
        request.ifVersion = arguments["if-version"].as<std::uint64_t>();
    } else {
        const result<unit> pinned = pinVersion(context.client, request);
        if (!succeeded(pinned))
            return reportFailure(context.options, errorOf(pinned), context.err);
    }
    const auto sent = sendChange(context, request);
    if (const int *status = std::get_if<int>(&sent))
        return *status;
    const std::uint64_t version = std::get<std::uint64_t>(sent);
    context.out << "accepted as version " << version << '\n';
    if (arguments.count("wait") == 0)
        return exitSuccess;
    return waitUntilInForce(context, version,
                            std::chrono::seconds(arguments["wait"].as<std::uint32_t>()));
}

} // namespace

int applyCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options = applyOptions();
    const arguments_or_exit_code parsed = parseArguments(options, arguments, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const auto &parsedOptions = std::get<cxxopts::ParseResult>(parsed);
    for (const char *name : {"inventory", "rules"}) {
        if (parsedOptions.count(name) == 0)
            return reportUsageError(options, std::string("--") + name + " is missing", err);
    }
    const auto client = makeClient(options, parsedOptions, err);
    if (const int *status = std::get_if<int>(&client))
        return *status;

    const std::string inventoryFile = parsedOptions["inventory"].as<std::string>();
    const std::string rulesFile = parsedOptions["rules"].as<std::string>();
    const auto inventoryText = readFile(inventoryFile, err);
    const auto rulesText = readFile(rulesFile, err);
    if (!inventoryText || !rulesText)
        return exitFailure;
    apply_request request{*inventoryText, *rulesText,
                          textOr(parsedOptions, "nonce", randomHex128()),
                          textOr(parsedOptions, "author", defaultAuthor()), std::nullopt};
    if (const auto diagnostics = checkLocally(inventoryFile, rulesFile, request);
        !diagnostics.empty())
        return printDiagnostics(diagnostics, out);
    const auto &operatorClient = std::get<std::unique_ptr<operator_client>>(client);
    return applyChange({options, *operatorClient, out, err}, parsedOptions, std::move(request));
}

} // namespace poplarspool::operators
