#pragma once

#include "poplarspool/runner/engine.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// Encodes and parses the wire format of engines (docs/API-ENGINES.md); does no I/O.
namespace poplarspool::runner {

/// First line of a stream: identifies its request and attempt.
struct stream_head
{
    std::string request;
    std::string attempt;
};

/// Last line of a stream whose KV was exported: the answer is continued on another engine.
struct stream_exported
{
    std::uint32_t outputTokens = 0;
};

using stream_line = std::variant<stream_head, stream_token, stream_end, stream_exported>;

/// @returns BadRequest (NotRun) if a text is not valid UTF-8.
result<std::string> encodeGenerate(const generate_request &request);
std::string encodeCancel(const request_id &request, const std::string &attempt);
std::string encodeOrder(const engine_order &order);
std::string encodeExport(const request_id &request);
std::string encodeImport(const std::string &handle);

/// @returns None if the line is malformed.
std::optional<stream_line> parseStreamLine(std::string_view line);
std::optional<policy::load_report> parseLoad(std::string_view body);
std::optional<kv_export> parseExport(std::string_view body);

/// @param after Sequence number after which events were requested; events up to and including it
///              are dropped. A jump in the sequence counts as a gap, even if the engine reports
///              none.
std::optional<cache_events> parseCacheEvents(std::string_view body, std::uint64_t after);

/// Converts a reply with a status other than 200 to an error.
/// @returns An error with NotRun only if the reply states explicitly that nothing was started.
error parseRefusal(int status, std::string_view body);

} // namespace poplarspool::runner
