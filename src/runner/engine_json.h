#pragma once

#include "poplarspool/runner/engine.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// The engines' wire form, as in docs/API-ENGINES.md: only text to value and back, no I/O.
namespace poplarspool::runner {

/// First line of a stream: whose it is.
struct stream_head
{
    std::string request;
    std::string attempt;
};

/// Last line of a stream whose KV was exported: it ends here and goes on elsewhere.
struct stream_moved
{
    std::uint32_t outputTokens = 0;
};

using stream_line = std::variant<stream_head, stream_token, stream_end, stream_moved>;

/// @returns BadRequest (NotRun) where a text is not valid UTF-8.
result<std::string> encodeGenerate(const generate_request &request);
std::string encodeCancel(const request_id &request, const std::string &attempt);
std::string encodeOrder(const engine_order &order);
std::string encodeExport(const request_id &request);
std::string encodeImport(const std::string &handle);

/// @returns Nothing where the line is none of the stream's lines.
std::optional<stream_line> parseStreamLine(std::string_view line);
std::optional<policy::load_report> parseLoad(std::string_view body);
std::optional<kv_export> parseExport(std::string_view body);

/// @param after What was asked for; events at or before it are dropped, a jump in the sequence is
///              a gap, whether or not the engine says so.
std::optional<cache_events> parseCacheEvents(std::string_view body, std::uint64_t after);

/// The failure that a reply with another status than 200 stands for.
/// @returns NotRun only where the reply says in so many words that the request was not begun.
error parseRefusal(int status, std::string_view body);

} // namespace poplarspool::runner
