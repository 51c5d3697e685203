#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/result.h"
#include "poplarspool/policy/plan.h"
#include "poplarspool/policy/view.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplarspool::runner {

/// One try of a completion on one engine.
struct generate_request
{
    request_id request;
    std::string attempt; ///< Unique per try, so that a late answer to another try is rejected.
    workspace_id workspace;
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint32_t rank = 0; ///< Priority; lower values are scheduled first.
    milliseconds timeLeft{0};
    std::vector<std::string> emitted; ///< On resume: the tokens that the caller already has.
    std::string kvHandle; ///< KV cache to import first; empty: none.

    bool operator==(const generate_request &) const = default;
};

/// One token of a stream.
struct stream_token
{
    std::uint32_t index = 0; ///< From 0 within the whole answer, also after a resume.
    std::string text;

    bool operator==(const stream_token &) const = default;
};

enum class finish_reason { Stop, Length };

std::string_view nameOf(finish_reason reason);

/// The end event of a stream. A stream without it is broken.
struct stream_end
{
    finish_reason reason = finish_reason::Stop;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Of the whole answer.

    bool operator==(const stream_end &) const = default;
};

/// Receives one token; returning false cancels the stream.
using token_receiver = std::function<bool(const stream_token &)>;

/// An order that sets the engine's desired state, protected by a fencing token.
struct engine_order
{
    std::uint64_t fence = 0;
    std::string nonce;
    policy::wanted_engine wanted;

    bool operator==(const engine_order &) const = default;
};

struct kv_export
{
    std::string handle; ///< Opaque; identifies the engine and the stream.
    std::uint32_t tokens = 0;

    bool operator==(const kv_export &) const = default;
};

struct cache_event
{
    std::uint64_t sequence = 0;
    bool isStored = false; ///< False: evicted.
    std::uint64_t prefixHash = 0;

    bool operator==(const cache_event &) const = default;
};

struct cache_events
{
    std::vector<cache_event> events;
    std::uint64_t next = 0; ///< Value of `after` for the next call.
    bool hasGap = false; ///< Events were lost: the recorded cache contents are invalid.
};

/// Interface to a model engine, with one implementation per wire format. No call is retried here.
struct engine_api
{
    /// Streams tokens in order, each index once. Errors: NotRun only if the engine can't have
    /// started; Broken if the stream closed without an end event; Cancelled if the receiver
    /// cancelled it, or if the stream's KV was exported.
    /// @attention After a time-out or a cancellation the connection is closed. An engine notices
    ///            that only when it writes; if the request may still be queued, call cancel.
    std::function<result<stream_end>(const endpoint &, const generate_request &,
                                     const token_receiver &)>
            generate;
    std::function<result<unit>(const endpoint &, const request_id &, const std::string &attempt)>
            cancel;
    std::function<result<policy::load_report>(const endpoint &)> load;
    /// @returns Stale (NotRun) if the engine rejects the fencing token.
    std::function<result<unit>(const endpoint &, const engine_order &, milliseconds timeLimit)>
            order;
    /// Exports the KV of a running stream and ends the stream on that engine.
    std::function<result<kv_export>(const endpoint &, const request_id &)> exportKv;
    std::function<result<unit>(const endpoint &, const std::string &handle)> importKv;
    std::function<result<cache_events>(const endpoint &, std::uint64_t after)> cacheEvents;
};

/// @returns The implementation for the engines' JSON over HTTP (docs/API-ENGINES.md).
engine_api httpEngineApi(const std::shared_ptr<http_pool> &pool);

} // namespace poplarspool::runner
