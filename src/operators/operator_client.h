#pragma once

#include "operators/command_line.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/metrics.h"

#include <iosfwd>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace poplarspool::operators {

/// Calls the operators' address of one of several instances, the next one where one fails.
class operator_client
{
public:
    /// @param key Bearer key; empty where the deployment has none.
    operator_client(std::vector<endpoint> addresses, std::string key);

    /// @returns The first answer that settles the matter, or the last failure. Its verdict is
    ///          NotRun only where no try can have had an effect.
    result<http_reply> call(const http_request &request);

private:
    std::vector<endpoint> addresses;
    std::string key;
    metrics_registry metrics;
    http_pool pool;
};

/// Adds --to and --key-file.
void addClientOptions(cxxopts::Options &options);

/// @returns The client that the words ask for, or the status to exit with.
std::variant<std::unique_ptr<operator_client>, int>
clientOf(const cxxopts::Options &options, const cxxopts::ParseResult &words, std::ostream &err);

/// Prints a failure as `COMMAND: CODE: message (verdict)`.
int reportFailure(const cxxopts::Options &options, const error &failure, std::ostream &err);

} // namespace poplarspool::operators
