#pragma once

#include "poplarspool/base/http.h"

#include <mutex>
#include <string>
#include <vector>

namespace poplarspool::bench {

/// The identity that a caller sends with each request.
struct caller_identity
{
    std::string caller;
    std::string bearerKey; ///< May be empty.
    std::string zone; ///< May be empty.
};

/// @returns The headers common to all requests of the caller.
http_headers headersOf(const caller_identity &identity);

/// The instance addresses that one caller uses, best first. They are fetched from any instance and
/// cached for as long as its reply allows (`keep_seconds`).
class address_cache
{
public:
    /// @param seeds Instances to fetch the addresses from.
    address_cache(std::vector<endpoint> seeds, caller_identity identity, http_pool &pool);

    /// @returns The addresses, best first; never empty: the seeds if no instance has answered yet.
    std::vector<endpoint> addresses();

private:
    bool queryInstance(const endpoint &instance);

    const std::vector<endpoint> seeds;
    const caller_identity identity;
    http_pool &pool;
    const clock_source clock = systemClock();
    std::mutex mutex;
    std::vector<endpoint> cached;
    mono_time expiresAt{};
    std::size_t nextSeed;
};

} // namespace poplarspool::bench
