#include "operators/operator_client.h"

#include "operators/wire_json.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/operators/limits.h"

#include <ostream>

namespace poplarspool::operators {

namespace {

constexpr int unprocessable = 422;

/// @returns Whether any other instance would give the same reply, so that no other one is tried.
bool isFinalReply(const http_reply &reply)
{
    return reply.status == 200 || reply.status == unprocessable
            || (reply.status >= 400 && reply.status < 500 && reply.status != 429);
}

/// @returns The addresses; empty if one of them is not an IP address with a port.
std::vector<endpoint> parseEndpoints(const std::vector<std::string> &texts)
{
    std::vector<endpoint> addresses;
    for (const std::string &text : texts) {
        const result<endpoint> parsed = parseEndpoint(text);
        if (!succeeded(parsed) || !valueOf(parsed).isValid())
            return {};
        addresses.push_back(valueOf(parsed));
    }
    return addresses;
}

std::string trimTrailingWhitespace(std::string text)
{
    text.erase(text.find_last_not_of(" \t\r\n") + 1);
    return text;
}

} // namespace

operator_client::operator_client(std::vector<endpoint> addresses, std::string key)
    : addresses(std::move(addresses)), key(std::move(key)), pool(1, config::connectTimeout, metrics)
{ }

result<http_reply> operator_client::call(const http_request &request)
{
    http_request authorizedRequest = request;
    if (!key.empty())
        authorizedRequest.headers.emplace_back("Authorization", "Bearer " + key);
    error lastFailure = notRun(error_code::Unavailable, "no instance address given");
    bool mayHaveRun = false;
    for (const endpoint &address : addresses) {
        result<http_reply> reply =
                pool.send(address, authorizedRequest, config::operatorCallTimeout);
        if (succeeded(reply) && isFinalReply(valueOf(reply)))
            return reply;
        lastFailure = succeeded(reply) ? errorOfReply(valueOf(reply)) : errorOf(reply);
        lastFailure.message = textOf(address) + ": " + lastFailure.message;
        mayHaveRun = mayHaveRun || lastFailure.ran == verdict::MayHaveRun;
    }
    lastFailure.ran = mayHaveRun ? verdict::MayHaveRun : verdict::NotRun;
    return lastFailure;
}

void addClientOptions(cxxopts::Options &options)
{
    options.add_options()("to", "Operator addresses of instances, tried in this order",
                          cxxopts::value<std::vector<std::string>>(), "IP:PORT[,IP:PORT]");
    options.add_options()("key-file", "File with the operators' bearer key",
                          cxxopts::value<std::string>(), "FILE");
}

std::variant<std::unique_ptr<operator_client>, int>
makeClient(const cxxopts::Options &options, const cxxopts::ParseResult &arguments,
           std::ostream &err)
{
    if (arguments.count("to") == 0)
        return reportUsageError(options, "--to is missing", err);
    std::vector<endpoint> addresses =
            parseEndpoints(arguments["to"].as<std::vector<std::string>>());
    if (addresses.empty())
        return reportUsageError(options, "--to: expected IP:PORT[,IP:PORT]", err);
    std::string key;
    if (arguments.count("key-file") != 0) {
        const auto text = readFile(arguments["key-file"].as<std::string>(), err);
        if (!text)
            return exitFailure;
        key = trimTrailingWhitespace(*text);
    }
    return std::make_unique<operator_client>(std::move(addresses), std::move(key));
}

int reportFailure(const cxxopts::Options &options, const error &failure, std::ostream &err)
{
    err << options.program() << ": " << nameOf(failure.code) << ": " << failure.message << " ("
        << nameOf(failure.ran) << ")\n";
    return exitFailure;
}

} // namespace poplarspool::operators
