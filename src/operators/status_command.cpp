#include "operators/command_line.h"
#include "operators/operator_client.h"
#include "operators/wire_json.h"
#include "poplarspool/operators/commands.h"
#include "poplarspool/operators/operator_server.h"

#include <httplib.h>
#include <ostream>

namespace poplarspool::operators {

namespace {

/// Gets a page of the first instance that answers.
/// @returns The body, or the status to exit with.
std::variant<std::string, int> getPage(const cxxopts::Options &options,
                                       const cxxopts::ParseResult &words, const std::string &path,
                                       std::ostream &err)
{
    auto client = clientOf(options, words, err);
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

int statusCommand(const std::vector<std::string> &words, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options("poplarspool status",
                             "Shows the accepted configuration, where it is in force, the\n"
                             "instances and the runners, as one instance sees them.");
    options.custom_help("--to IP:PORT [OPTION...]");
    addClientOptions(options);
    options.add_options()("json", "Print the answer as JSON");
    const words_or_exit parsed = parseWords(options, words, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const auto &chosen = std::get<cxxopts::ParseResult>(parsed);
    const auto page = getPage(options, chosen, "/status", err);
    if (const int *status = std::get_if<int>(&page))
        return *status;
    const auto fleet = parseFleetStatus(std::get<std::string>(page));
    if (!succeeded(fleet))
        return reportFailure(options, errorOf(fleet), err);
    if (chosen.count("json") != 0)
        out << std::get<std::string>(page) << '\n';
    else
        out << textOf(valueOf(fleet));
    return exitDone;
}

int timelineCommand(const std::vector<std::string> &words, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options("poplarspool timeline",
                             "Prints the events of all instances that answer, cause before\n"
                             "effect, one per line.");
    options.custom_help("--to IP:PORT [OPTION...]");
    addClientOptions(options);
    const std::vector<std::string> filters{"request", "runner", "kind"};
    for (const std::string &filter : filters)
        options.add_options()(filter, "Only events of this " + filter,
                              cxxopts::value<std::string>(), "NAME");
    options.add_options()("json", "Print each event as a JSON object");
    const words_or_exit parsed = parseWords(options, words, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const auto &chosen = std::get<cxxopts::ParseResult>(parsed);
    httplib::Params query;
    for (const std::string &filter : filters) {
        if (chosen.count(filter) != 0)
            query.emplace(filter, chosen[filter].as<std::string>());
    }
    if (chosen.count("json") != 0)
        query.emplace("format", "json");
    const std::string path = httplib::append_query_params("/timeline", query);
    const auto page = getPage(options, chosen, path, err);
    if (const int *status = std::get_if<int>(&page))
        return *status;
    out << std::get<std::string>(page);
    return exitDone;
}

} // namespace poplarspool::operators
