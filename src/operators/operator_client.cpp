#include "operators/operator_client.h"

#include "operators/wire_json.h"
#include "poplarspool/config.h"

#include <ostream>

namespace poplarspool::operators {

namespace {

constexpr int unprocessable = 422;

/// Whether another instance would answer the same.
bool isSettled(const http_reply &reply)
{
    return reply.status == 200 || reply.status == unprocessable
            || (reply.status >= 400 && reply.status < 500 && reply.status != 429);
}

/// @returns The addresses, or none where one is not an IP number with a port.
std::vector<endpoint> endpointsOf(const std::vector<std::string> &texts)
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

std::string withoutTrailingBlanks(std::string text)
{
    text.erase(text.find_last_not_of(" \t\r\n") + 1);
    return text;
}

} // namespace

operator_client::operator_client(std::vector<endpoint> addresses, std::string key)
    : addresses(std::move(addresses)), key(std::move(key)), pool(1, config::connectTime, metrics)
{ }

result<http_reply> operator_client::call(const http_request &request)
{
    http_request sent = request;
    if (!key.empty())
        sent.headers.emplace_back("Authorization", "Bearer " + key);
    error last = notRun(error_code::Unavailable, "no address to ask");
    bool mayHaveRun = false;
    for (const endpoint &address : addresses) {
        result<http_reply> reply = pool.send(address, sent, config::operatorCallTime);
        if (succeeded(reply) && isSettled(valueOf(reply)))
            return reply;
        last = succeeded(reply) ? errorOfReply(valueOf(reply)) : errorOf(reply);
        last.message = textOf(address) + ": " + last.message;
        mayHaveRun = mayHaveRun || last.ran == verdict::MayHaveRun;
    }
    last.ran = mayHaveRun ? verdict::MayHaveRun : verdict::NotRun;
    return last;
}

void addClientOptions(cxxopts::Options &options)
{
    options.add_options()("to", "Operators' addresses of instances, asked in this order",
                          cxxopts::value<std::vector<std::string>>(), "IP:PORT[,IP:PORT]");
    options.add_options()("key-file", "File with the operators' key", cxxopts::value<std::string>(),
                          "FILE");
}

std::variant<std::unique_ptr<operator_client>, int>
clientOf(const cxxopts::Options &options, const cxxopts::ParseResult &words, std::ostream &err)
{
    if (words.count("to") == 0)
        return refuseWords(options, "--to is missing", err);
    std::vector<endpoint> addresses = endpointsOf(words["to"].as<std::vector<std::string>>());
    if (addresses.empty())
        return refuseWords(options, "--to: expected IP:PORT[,IP:PORT]", err);
    std::string key;
    if (words.count("key-file") != 0) {
        const auto text = readFile(words["key-file"].as<std::string>(), err);
        if (!text)
            return exitFailed;
        key = withoutTrailingBlanks(*text);
    }
    return std::make_unique<operator_client>(std::move(addresses), std::move(key));
}

int reportFailure(const cxxopts::Options &options, const error &failure, std::ostream &err)
{
    err << options.program() << ": " << nameOf(failure.code) << ": " << failure.message << " ("
        << nameOf(failure.ran) << ")\n";
    return exitFailed;
}

} // namespace poplarspool::operators
