#pragma once

#include "poplarspool/base/http.h"
#include "standin/engine_core.h"

#include <optional>
#include <string>
#include <string_view>

/// JSON messages of the engine stand-in. Implemented independently of the client's encoding, so
/// that each checks the other.
namespace poplarspool::standin {

struct order_spec
{
    std::uint64_t fence = 0;
    std::string nonce;
    engine_setup setup;
};

std::optional<stream_spec> parseStreamSpec(std::string_view body);
std::optional<order_spec> parseOrder(std::string_view body);
std::optional<engine_fault> parseFault(std::string_view body);
/// @returns The string at that key of a JSON object; empty if there is none.
std::string parseStringField(std::string_view body, const char *key);
std::optional<kv_blob> parseBlob(std::string_view body);

std::string headLine(const std::string &request, const std::string &attempt);
std::string tokenLine(std::uint32_t index, const std::string &text);
std::string endLine(std::string_view reason, std::uint32_t promptTokens,
                    std::uint32_t outputTokens);

http_reply okReply(std::string body);
http_reply refusalReply(const engine_refusal &refusal);
std::string reportText(const engine_report &report);
std::string eventsText(const cache_event_page &page);
std::string blobText(const kv_blob &blob);
std::string recordsText(const engine_records &records);

} // namespace poplarspool::standin
