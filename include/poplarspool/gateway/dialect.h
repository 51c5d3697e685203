#pragma once

#include "poplarspool/base/http.h"
#include "poplarspool/gateway/catalogue.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::gateway {

/// An engine's report on itself.
struct engine_report
{
    bool isChanging = false; ///< It is carrying out a stage order.
    std::uint64_t ordersTaken = 0; ///< Since the engine's start.

    bool operator==(const engine_report &) const = default;
};

/// An order to an engine to change its stage.
struct engine_order
{
    engine_stage requestedStage = engine_stage::None;
    instance_id holder; ///< Instance that sends the order: the lease holder.
    std::uint64_t fence = 0; ///< Fencing token of the holder's lease.
    std::uint64_t ordersTaken = 0; ///< Valid only while the engine has accepted exactly this many.

    bool operator==(const engine_order &) const = default;
};

/// Names of headers and formats that callers, gateways and runners exchange. The platform's
/// adapter provides them; the gateway itself contains none.
struct dialect
{
    // Headers of callers, passed on to runners.
    std::string requestId;
    std::string timeLimitMs; ///< Rewritten with the time left.
    std::string tokenCount; ///< "PROMPT,OUTPUT"; OUTPUT is a maximum.
    std::string promptParts; ///< "ID:TOKENS,…", in the order of the prompt.
    std::string lastEventId; ///< Last event received; the stream resumes after it.
    /// Id of the caller's attempt that brought the first event of a stream that is taken up.
    std::string resumes;

    // The header in which callers send a workspace's key, and the scheme before the key. Neither
    // is passed on to runners.
    std::string key;
    std::string keyScheme;

    // Headers that only the gateway may set.
    std::string expectedRunner;
    std::string priority; ///< 0 is the most urgent.
    std::string stage;
    std::string kvSource; ///< "ADDRESS/HANDLE": take over the KV cache kept there.
    std::string kvFetch; ///< "ADDRESS": copy cached parts from there first.
    std::string workspace; ///< Workspace whose key the caller sent.
    std::string prefillStage; ///< The value of `stage` that requests prefill only.
    /// Headers that are dropped from callers' requests: a caller that sets one would act in the
    /// gateway's name.
    std::vector<std::string> reservedHeaders;

    // Headers of runners' replies.
    std::string runnerId; ///< Names the runner's incarnation, as expectedRunner does.
    std::string seal; ///< Set on each reply that the runner generated itself.
    std::string notRun; ///< The runner refused the request and has not run it.
    std::string leaving; ///< "1" if the runner leaves; it wants no more requests.
    std::string rateLimit; ///< Requests per second that it takes from all instances together.

    /// @returns The handle to the KV cache that an engine keeps, from its reply to a prefill.
    std::function<std::optional<std::string>(std::string_view body)> parseHandle;
    /// @returns The request that frees a handle that no engine will take over.
    std::function<http_request(const std::string &handle)> freeHandleRequest;
    /// @returns The request for an engine's report.
    std::function<http_request()> reportRequest;
    std::function<std::optional<engine_report>(std::string_view body)> parseReport;
    /// @returns The ids of the requests that an engine works on, from its report; none if it
    ///          doesn't name them.
    std::function<std::optional<std::set<std::string>>(std::string_view body)> parseRuns;
    std::function<http_request(const engine_order &order)> stageOrderRequest;
};

} // namespace poplarspool::gateway
