#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// Stand-ins for the systems that the product depends on, for tests and demos.
namespace poplarspool::standin {

/// Fault to inject into the stand-in's object API, instance list and weight store.
enum class platform_fault {
    None,
    Outage, ///< Connections are closed without a reply; the call has no effect.
    Slow, ///< Every call takes `slowMs` longer.
    LoseAnswers, ///< Writes take effect, but their connection is closed without a reply.
};

struct platform_fault_setting
{
    platform_fault mode = platform_fault::None;
    std::uint32_t slowMs = 0;
    std::uint32_t count = 1; ///< Number of replies to lose.

    bool operator==(const platform_fault_setting &) const = default;
};

/// Number of calls since the start; a watch counts as one call.
struct platform_records
{
    std::uint64_t gets = 0;
    std::uint64_t lists = 0;
    std::uint64_t puts = 0;
    std::uint64_t removes = 0;
    std::uint64_t watches = 0;
    std::uint64_t instanceLists = 0;
    std::uint64_t weights = 0;

    bool operator==(const platform_records &) const = default;
};

/// Object API, instance list and weight store in one process, held in memory. The HTTP interface is
/// described in docs/API-PLATFORM.md.
class platform_standin
{
public:
    /// @param bind Address to listen on; the system chooses the port if it is 0.
    /// @param weightsPerSecond Rate limit of the weight store, calls per second.
    explicit platform_standin(const endpoint &bind, double weightsPerSecond = 10.0);
    ~platform_standin();

    result<endpoint> start();
    /// Ends pending watches and stops the server.
    void stop();

    // Equivalents of the calls under /standin/, for tests in the same process.
    void setFault(const platform_fault_setting &setting);
    void setLag(std::uint32_t lagMs);
    platform_records records() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// `poplarspool-standin platform --listen ADDR [--rate N]`: runs until SIGTERM or SIGINT.
/// @param arguments The command-line arguments after the subcommand.
/// @returns The exit status.
int platformMain(const std::vector<std::string> &arguments);

} // namespace poplarspool::standin
