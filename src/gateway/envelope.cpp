#include "gateway/envelope.h"

#include "base/http_text.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/crashes/limits.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <charconv>

namespace poplarspool::gateway {

namespace {

/// Maximum parts of a prompt that are parsed; placement needs only the first few.
constexpr std::size_t maxPromptParts = 64;

template <class Number>
std::optional<Number> numberOf(std::string_view digits)
{
    Number number = 0;
    const char *end = digits.data() + digits.size();
    const auto [stop, fault] = std::from_chars(digits.data(), end, number);
    if (digits.empty() || fault != std::errc{} || stop != end)
        return std::nullopt;
    return number;
}

/// Calls `onItem` for each item of a comma-separated list.
template <class OnItem>
void forEachItem(std::string_view list, const OnItem &onItem)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        onItem(trimmed(list.substr(0, comma)));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
}

std::vector<prompt_part> readPrompt(std::string_view text)
{
    std::vector<prompt_part> parts;
    std::uint64_t chain = 0;
    forEachItem(text, [&](std::string_view item) {
        const std::size_t colon = item.rfind(':');
        if (colon == std::string_view::npos || parts.size() >= maxPromptParts)
            return;
        const std::string_view id = item.substr(0, colon);
        chain = hashOf(id, chain);
        const auto tokens = numberOf<std::uint32_t>(item.substr(colon + 1));
        parts.push_back({chain, tokens.value_or(0), hashOf(id)});
    });
    return parts;
}

/// @returns The names that a message's Connection headers declare as hop-by-hop.
std::vector<std::string> connectionNames(const http_headers &headers)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : headers) {
        if (equalsIgnoringCase(name, "connection"))
            forEachItem(value, [&names](std::string_view item) { names.emplace_back(item); });
    }
    return names;
}

bool containsName(const std::vector<std::string> &names, std::string_view name)
{
    return std::ranges::any_of(
            names, [name](const std::string &one) { return equalsIgnoringCase(one, name); });
}

/// Whether each send replaces or drops the header.
bool isReplaced(std::string_view name, const dialect &names, const send_extras &extras)
{
    return equalsIgnoringCase(name, names.timeLimitMs)
            || (!extras.lastEventId.empty() && equalsIgnoringCase(name, names.lastEventId))
            || (extras.hidesKey && equalsIgnoringCase(name, names.key))
            || containsName(names.reservedHeaders, name);
}

void appendExtras(std::string &text, const dialect &names, const send_extras &extras)
{
    appendHeader(text, names.timeLimitMs, std::to_string(extras.timeLeft.count()));
    appendHeader(text, names.expectedRunner, extras.runner);
    if (extras.priority)
        appendHeader(text, names.priority, std::to_string(*extras.priority));
    if (!extras.lastEventId.empty())
        appendHeader(text, names.lastEventId, extras.lastEventId);
    if (!extras.kvSource.empty())
        appendHeader(text, names.kvSource, extras.kvSource);
    if (!extras.kvFetch.empty())
        appendHeader(text, names.kvFetch, extras.kvFetch);
    if (extras.isPrefillOnly)
        appendHeader(text, names.stage, names.prefillStage);
    if (!extras.workspace.empty())
        appendHeader(text, names.workspace, extras.workspace);
}

} // namespace

envelope readEnvelope(const http_request &request, const dialect &names)
{
    envelope read;
    read.id = headerOf(request.headers, names.requestId);
    read.lastEventId = headerOf(request.headers, names.lastEventId);
    read.resumes = headerOf(request.headers, names.resumes);
    const auto limit = numberOf<std::int64_t>(headerOf(request.headers, names.timeLimitMs));
    if (limit && *limit >= 0)
        read.timeLimit = milliseconds(*limit);
    const std::string_view counts = headerOf(request.headers, names.tokenCount);
    const std::size_t comma = std::min(counts.find(','), counts.size());
    read.promptTokens = numberOf<std::uint32_t>(trimmed(counts.substr(0, comma))).value_or(0);
    if (comma < counts.size())
        read.outputTokens = numberOf<std::uint32_t>(trimmed(counts.substr(comma + 1))).value_or(0);
    read.prompt = readPrompt(headerOf(request.headers, names.promptParts));
    return read;
}

std::string sharedPartsText(const http_request &request, const dialect &names)
{
    std::vector<std::string_view> ids;
    forEachItem(headerOf(request.headers, names.promptParts), [&ids](std::string_view item) {
        if (ids.size() <= config::maxLoggedParts)
            ids.push_back(item.substr(0, std::min(item.rfind(':'), config::maxLoggedPartBytes)));
    });
    std::string text;
    for (std::size_t i = 0; i + 1 < ids.size(); ++i)
        text.append(i == 0 ? "" : ",").append(ids[i]);
    return text;
}

std::vector<crashes::part_suspect> partSuspectsOf(const std::vector<prompt_part> &prompt,
                                                  std::string_view workspace, std::uint64_t seed)
{
    std::vector<crashes::part_suspect> suspects;
    const std::size_t count =
            std::min(prompt.empty() ? 0 : prompt.size() - 1, config::maxSuspectParts);
    suspects.reserve(count);
    for (std::size_t place = 0; place < count; ++place)
        suspects.push_back({crashes::partKeyOf(prompt[place].id, workspace, seed),
                            static_cast<std::uint8_t>(place)});
    return suspects;
}

std::uint64_t digestOf(const http_request &request, std::uint64_t seed)
{
    std::uint64_t digest = hashOf(request.method, seed);
    for (const std::string_view part :
         {headerOf(request.headers, "host"), std::string_view(request.path),
          std::string_view(request.body)})
        digest = hashOf(part, digest);
    return digest;
}

std::string runnerRequestHead(const http_request &request, const endpoint &to, const dialect &names,
                              const send_extras &extras)
{
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
    const std::vector<std::string> ownNames = connectionNames(request.headers);
    bool hasHost = false;
    for (const auto &[name, value] : request.headers) {
        hasHost = hasHost || equalsIgnoringCase(name, "host");
        if (!isHopHeader(name) && !containsName(ownNames, name) && !isReplaced(name, names, extras))
            appendHeader(text, name, value);
    }
    if (!hasHost)
        appendHeader(text, "Host", textOf(to));
    appendExtras(text, names, extras);
    const bool needsLength = request.method != "GET" && request.method != "HEAD";
    if (!request.body.empty() || needsLength)
        appendHeader(text, "Content-Length", std::to_string(request.body.size()));
    return text.append("\r\n");
}

http_headers forwardedReplyHeaders(const http_headers &headers)
{
    const std::vector<std::string> ownNames = connectionNames(headers);
    http_headers passed;
    for (const auto &header : headers) {
        if (!isHopHeader(header.first) && !containsName(ownNames, header.first))
            passed.push_back(header);
    }
    return passed;
}

} // namespace poplarspool::gateway
