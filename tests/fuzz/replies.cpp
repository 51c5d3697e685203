#include "fuzz.h"
#include "gateway/envelope.h"
#include "gateway/event_splitter.h"
#include "gateway/runner_call.h"
#include "platform/dialect.h"

using namespace poplarspool;
using fuzz::require;

namespace {

constexpr std::size_t maxBodyBytes = 1024 * 1024;

/// The events, together with the bytes of an incomplete last event, must equal the received bytes.
void checkEvents(std::string_view bytes)
{
    gateway::event_splitter splitter;
    std::string joined;
    const auto appendEvents = [&] {
        while (const auto event = splitter.next())
            joined += event->text;
    };
    splitter.add(bytes.substr(0, bytes.size() / 2));
    appendEvents();
    splitter.add(bytes.substr(bytes.size() / 2));
    appendEvents();
    require(bytes.starts_with(joined), "the events differ from the received bytes");
    require(splitter.isAtBoundary() == (joined.size() == bytes.size()),
            "the splitter loses bytes, or is wrong about an event boundary");
}

/// A runner's headers are forwarded to the caller. They must not change the framing of the reply.
void checkForwarded(const reply_head &head)
{
    const http_headers forwarded = gateway::forwardedReplyHeaders(head.headers);
    const std::string text = replyHeadText(head.status, forwarded, "text/plain", {.bodyBytes = 7});
    const auto reparsed = parseReplyHead(text);
    require(reparsed.has_value() && reparsed->status == head.status && reparsed->bodyBytes == 7U,
            "a forwarded reply differs from the runner's reply");
}

/// A KV handle is sent to another runner. It must not change the request that contains it.
void checkHandle(const std::string &handle)
{
    const gateway::dialect platformNames = adapter::platformDialect();
    gateway::send_extras extras;
    extras.runner = "i-1";
    extras.kvSource = "10.0.0.1:80/" + handle;
    http_request request;
    request.path = platformNames.freeHandleRequest(handle).path;
    const std::string text =
            gateway::runnerRequestHead(request, {"10.0.0.1", 80}, platformNames, extras);
    const auto parsed = parseRequestHead(text);
    const auto *head = std::get_if<request_head>(&parsed);
    require(head != nullptr && head->path == request.path
                    && headerOf(head->headers, platformNames.kvSource) == extras.kvSource,
            "a handle changes the request that contains it");
}

void readReply(gateway::runner_call &call, socket_deadline deadline)
{
    const auto head = call.readHead(deadline);
    if (const auto *replyHead = std::get_if<reply_head>(&head)) {
        checkForwarded(*replyHead);
        const gateway::body_piece rest = call.readRest(deadline, maxBodyBytes);
        checkEvents(rest.bytes);
    }
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const gateway::dialect platformNames = adapter::platformDialect();
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const socket_deadline expired = socket_clock::now();
    gateway::runner_call call(fuzz::socketOf(bytes), -1);
    readReply(call, expired);
    readReply(call, expired);
    call.takeConnection();
    checkEvents(bytes);
    platformNames.parseReport(bytes);
    if (const auto handle = platformNames.parseHandle(bytes))
        checkHandle(*handle);
    return 0;
}
