#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// Small programs that take the place of what stands around the product, for tests and demos.
namespace poplarspool::standin {

/// What goes wrong with the stand-in's object API, instance list and weight store.
enum class platform_fault {
    None,
    Outage, ///< Connections are closed without an answer and without an effect.
    Slow, ///< Every call takes `slowMs` longer.
    LoseAnswers, ///< Writes take effect and their connection is closed without an answer.
};

struct platform_fault_setting
{
    platform_fault mode = platform_fault::None;
    std::uint32_t slowMs = 0;
    std::uint32_t count = 1; ///< Answers to lose.

    bool operator==(const platform_fault_setting &) const = default;
};

/// Calls since the start, a waiting watch counted as one.
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

/// Object API, instance list and weight store in one process, kept in memory; the wire is described
/// in docs/API-PLATFORM.md.
class platform_standin
{
public:
    /// @param bind Port 0 lets the system choose.
    /// @param weightsPerSecond Rate of the weight store.
    explicit platform_standin(const endpoint &bind, double weightsPerSecond = 10.0);
    ~platform_standin();

    result<endpoint> start();
    /// Ends waiting watches and stops.
    void stop();

    // The same as the calls under /standin/, for tests in the same process.
    void setFault(const platform_fault_setting &setting);
    void setLag(std::uint32_t lagMs);
    platform_records records() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

/// `poplarspool-standin platform --listen ADDR [--rate N]`: runs until SIGTERM or SIGINT.
/// @param words The command line after the subcommand.
/// @returns The exit status.
int platformMain(const std::vector<std::string> &words);

} // namespace poplarspool::standin
