#pragma once

#include "poplarspool/base/http.h"

#include <mutex>
#include <string>
#include <vector>

namespace poplarspool::bench {

/// Who a caller says it is, in each of its requests.
struct caller_identity
{
    std::string caller;
    std::string bearerKey; ///< May be empty.
    std::string zone; ///< May be empty.
};

/// @returns The headers that every request of that caller has.
http_headers headersOf(const caller_identity &who);

/// The addresses that one caller uses: asked of any instance and kept as long as it was told.
class address_book
{
public:
    /// @param ask Instances known from the start.
    address_book(std::vector<endpoint> ask, caller_identity who, http_pool &pool);

    /// @returns Best first; never empty: the start's addresses where none has answered yet.
    std::vector<endpoint> addresses();

private:
    bool askOne(const endpoint &instance);

    const std::vector<endpoint> ask;
    const caller_identity who;
    http_pool &pool;
    const clock_source clock = systemClock();
    std::mutex mutex;
    std::vector<endpoint> known;
    mono_time keepUntil{};
    std::size_t turn;
};

} // namespace poplarspool::bench
