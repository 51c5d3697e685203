#include "operators/command_line.h"
#include "operators/operator_client.h"
#include "operators/wire_json.h"
#include "poplarspool/operators/commands.h"
#include "poplarspool/operators/operator_server.h"

#include <httplib.h>
#include <ostream>

namespace poplarspool::operators {

namespace {

/// Sends a GET request to the first instance that replies.
/// @returns The body, or the exit status.
std::variant<std::string, int> fetchBody(const cxxopts::Options &options,
                                         const cxxopts::ParseResult &arguments,
                                         const std::string &path, std::ostream &err)
{
    auto client = makeClient(options, arguments, err);
    if (const int *status = std::get_if<int>(&client))
        return *status;
    http_request request;
    request.path = path;
    const auto reply = std::get<std::unique_ptr<operator_client>>(client)->call(request);
    if (!succeeded(reply))
        return reportFailure(options, errorOf(reply), err);
    if (valueOf(reply).status != 200)
        return reportFailure(options, errorOfReply(valueOf(reply)), err);
    return valueOf(reply).body;
}

} // namespace

int statusCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options("poplarspool status",
                             "Shows the accepted configuration, where it is in force, the\n"
                             "instances and the runners, as seen by one instance.");
    options.custom_help("--to IP:PORT [OPTION...]");
    addClientOptions(options);
    options.add_options()("json", "Print the reply as JSON");
    const arguments_or_exit_code parsed = parseArguments(options, arguments, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const auto &parsedOptions = std::get<cxxopts::ParseResult>(parsed);
    const auto body = fetchBody(options, parsedOptions, "/status", err);
    if (const int *status = std::get_if<int>(&body))
        return *status;
    const auto fleet = parseFleetStatus(std::get<std::string>(body));
    if (!succeeded(fleet))
        return reportFailure(options, errorOf(fleet), err);
    if (parsedOptions.count("json") != 0)
        out << std::get<std::string>(body) << '\n';
    else
        out << textOf(valueOf(fleet));
    return exitSuccess;
}

int timelineCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options("poplarspool timeline",
                             "Prints the events of all instances that reply in causal order,\n"
                             "one per line.");
    options.custom_help("--to IP:PORT [OPTION...]");
    addClientOptions(options);
    const std::vector<std::string> filters{"request", "runner", "kind"};
    for (const std::string &filter : filters)
        options.add_options()(filter, "Only events of this " + filter,
                              cxxopts::value<std::string>(), "NAME");
    options.add_options()("json", "Print each event as a JSON object");
    const arguments_or_exit_code parsed = parseArguments(options, arguments, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const auto &parsedOptions = std::get<cxxopts::ParseResult>(parsed);
    httplib::Params query;
    for (const std::string &filter : filters) {
        if (parsedOptions.count(filter) != 0)
            query.emplace(filter, parsedOptions[filter].as<std::string>());
    }
    if (parsedOptions.count("json") != 0)
        query.emplace("format", "json");
    const std::string path = httplib::append_query_params("/timeline", query);
    const auto body = fetchBody(options, parsedOptions, path, err);
    if (const int *status = std::get_if<int>(&body))
        return *status;
    out << std::get<std::string>(body);
    return exitSuccess;
}

} // namespace poplarspool::operators
