#pragma once

#include "poplarspool/base/http.h"
#include "poplarspool/gateway/catalogue.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::gateway {

/// What an engine says of itself.
struct engine_report
{
    bool isChanging = false; ///< An order is being carried out.
    std::uint64_t ordersTaken = 0; ///< Since its start.

    bool operator==(const engine_report &) const = default;
};

/// An order to an engine to change its stage.
struct engine_order
{
    engine_stage wanted = engine_stage::None;
    instance_id holder; ///< Who gives it.
    std::uint64_t fence = 0; ///< Of the holder's term.
    std::uint64_t ordersTaken = 0; ///< The order holds only while the engine has taken that many.

    bool operator==(const engine_order &) const = default;
};

/// The names under which callers and runners exchange what the gateway needs to know. The gateway
/// itself knows no such name: the platform's adapter fills them in.
struct dialect
{
    // Headers of callers, passed on to runners.
    std::string requestId;
    std::string timeLimitMs; ///< Rewritten with what is left.
    std::string tokenCount; ///< "PROMPT,OUTPUT", the latter at most.
    std::string promptParts; ///< "ID:TOKENS,…", in the prompt's order.
    std::string lastEvent; ///< A stream goes on after this event.

    // The header by which callers show a workspace's key, and the word before it. Runners never see
    // either.
    std::string key;
    std::string keyScheme;

    // Headers that only the gateway may set.
    std::string expectedRunner;
    std::string priority; ///< 0 is the most urgent.
    std::string stage;
    std::string kvSource; ///< "ADDRESS/HANDLE": take over what was read there.
    std::string kvFetch; ///< "ADDRESS": copy cached parts from there first.
    std::string workspace; ///< Whose key the caller has shown.
    std::string prefillStage; ///< The value of `stage` that only has the prompt read.
    /// All headers that are dropped from callers: a caller that sets them would act in our name.
    std::vector<std::string> reserved;

    // Headers of runners' replies.
    std::string seal; ///< On each reply that a runner made itself.
    std::string notRun; ///< The runner refused, and has not run the request.

    /// @returns The handle, in an engine's reply to a prefill, to the KV cache that it keeps.
    std::function<std::optional<std::string>(std::string_view body)> readHandle;
    /// @returns The request that frees a handle that nobody will take.
    std::function<http_request(const std::string &handle)> freeHandle;
    /// @returns The request that asks an engine for its report.
    std::function<http_request()> askReport;
    std::function<std::optional<engine_report>(std::string_view body)> readReport;
    std::function<http_request(const engine_order &order)> orderStage;
};

} // namespace poplarspool::gateway
