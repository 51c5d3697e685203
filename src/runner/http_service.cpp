#include "poplarspool/runner/service.h"

#include "poplarspool/runner/limits.h"
#include "runner/engine_json.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>

namespace poplarspool::runner {

namespace {

/// Hop-by-hop headers (RFC 9110, 7.6.1), and the headers that frame or address a message, which are
/// set anew for each connection.
constexpr std::array<std::string_view, 12> hopByHopHeaders = {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "te",
        "proxy-authorization",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
};

constexpr int firstServerError = 500;
constexpr int statusNotImplemented = 501;

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// @returns The header names that Connection headers list, in lower case.
std::vector<std::string> listedByConnection(const http_headers &headers)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : headers) {
        if (lowerCase(name) != "connection")
            continue;
        std::string_view rest = value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            names.push_back(lowerCase(trimmed(rest.substr(0, comma))));
            rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        }
    }
    return names;
}

result<http_reply> call(http_pool &pool, const endpoint &service, const http_request &request,
                        milliseconds timeLimit, const http_head_receiver &onHead,
                        const http_receiver &onPiece)
{
    if (timeLimit <= milliseconds::zero())
        return notRun(error_code::TimedOut, "no time left to start the request");
    http_request forwarded = request;
    forwarded.headers = endToEndHeaders(request.headers);
    bool hasHead = false;
    auto outcome = pool.stream(
            service, forwarded, timeLimit,
            [&](const http_reply &head) {
                hasHead = true;
                http_reply stripped = head;
                stripped.headers = endToEndHeaders(head.headers);
                return onHead(stripped);
            },
            onPiece);
    if (!succeeded(outcome)) {
        error failure = errorOf(outcome);
        // A reply head proves that the request was sent, whatever the transport reports.
        if (hasHead)
            failure.ran = verdict::MayHaveRun;
        return failure;
    }
    valueOf(outcome).headers = endToEndHeaders(valueOf(outcome).headers);
    return outcome;
}

result<policy::load_report> load(http_pool &pool, const endpoint &service)
{
    const auto reply = pool.send(service, {"GET", "/load", {}, {}, {}}, config::targetCallTimeout);
    if (!succeeded(reply))
        return errorOf(reply);
    const int status = valueOf(reply).status;
    if (status >= firstServerError && status != statusNotImplemented)
        return mayHaveRun(error_code::Unavailable,
                          "service answered " + std::to_string(status) + " to GET /load");
    return parseLoad(valueOf(reply).body).value_or(policy::load_report{});
}

} // namespace

http_headers endToEndHeaders(const http_headers &headers)
{
    const auto listed = listedByConnection(headers);
    http_headers endToEnd;
    for (const auto &header : headers) {
        const std::string name = lowerCase(header.first);
        const bool isHopByHop = std::find(hopByHopHeaders.begin(), hopByHopHeaders.end(), name)
                        != hopByHopHeaders.end()
                || std::find(listed.begin(), listed.end(), name) != listed.end();
        if (!isHopByHop)
            endToEnd.push_back(header);
    }
    return endToEnd;
}

service_api httpServiceApi(const std::shared_ptr<http_pool> &pool)
{
    service_api api;
    api.call = [pool](const endpoint &service, const http_request &request, milliseconds timeLimit,
                      const http_head_receiver &onHead, const http_receiver &onPiece) {
        return call(*pool, service, request, timeLimit, onHead, onPiece);
    };
    api.load = [pool](const endpoint &service) { return load(*pool, service); };
    return api;
}

} // namespace poplarspool::runner
