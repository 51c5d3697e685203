#pragma once

#include "poplarspool/base/http.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace poplarspool::standin {

struct service_options
{
    endpoint bind{"127.0.0.1", 0};
    std::string name = "service";
    std::uint32_t connections = 4096;
    std::chrono::milliseconds workTime{0}; ///< Processing time of each request.
};

enum class service_fault_mode {
    None,
    DieAfterRun, ///< The next `count` requests run, but their connection closes without a reply.
    Refuse, ///< The next `count` requests get status 503 and do not run.
    Slow, ///< Every request takes `delay` longer.
};

struct service_fault
{
    service_fault_mode mode = service_fault_mode::None;
    std::uint32_t count = 1;
    std::chrono::milliseconds delay{0};
};

/// Recorded runs of one idempotency key.
struct service_record
{
    std::string key; ///< Empty for requests without one.
    std::string path; ///< Path of the last run.
    std::uint64_t count = 0;
};

struct service_records
{
    std::vector<service_record> records;
    std::uint64_t runs = 0;
};

/// Emulates a plain service that counts the runs of each Idempotency-Key. It does not deduplicate,
/// so a request that is executed twice shows up in its records.
class service_standin
{
public:
    explicit service_standin(service_options options);
    ~service_standin();

    /// @returns The address it listens on.
    result<endpoint> start();
    void stop();

    service_records records() const;
    void setFault(const service_fault &fault);

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::standin
