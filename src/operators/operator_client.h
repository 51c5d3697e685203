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

/// Calls the operator address of one of several instances; on failure it tries the next one.
class operator_client
{
public:
    /// @param key Bearer key; empty if the instances require none.
    operator_client(std::vector<endpoint> addresses, std::string key);

    /// Tries the addresses in order until a reply is final, which means that any other instance
    /// would reply the same.
    /// @returns The final reply, or the last failure. The verdict of the failure is NotRun only if
    ///          no try can have had an effect.
    result<http_reply> call(const http_request &request);

private:
    std::vector<endpoint> addresses;
    std::string key;
    metrics_registry metrics;
    http_pool pool;
};

/// Adds --to and --key-file.
void addClientOptions(cxxopts::Options &options);

/// @returns A client for --to and --key-file, or the exit status after an error message.
std::variant<std::unique_ptr<operator_client>, int>
makeClient(const cxxopts::Options &options, const cxxopts::ParseResult &arguments,
           std::ostream &err);

/// Prints a failure as `COMMAND: CODE: message (verdict)`.
/// @returns exitFailure.
int reportFailure(const cxxopts::Options &options, const error &failure, std::ostream &err);

} // namespace poplarspool::operators
