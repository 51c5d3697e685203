#include "fuzz.h"
#include "gateway/envelope.h"
#include "gateway/event_splitter.h"
#include "gateway/runner_call.h"
#include "platform/dialect.h"

using namespace poplarspool;
using fuzz::require;

namespace {

constexpr std::size_t mostBodyBytes = 1024 * 1024;

/// Nothing is lost or made up: the events and what is left over are what arrived.
void checkEvents(std::string_view bytes)
{
    gateway::event_splitter splitter;
    std::string joined;
    const auto takeAll = [&] {
        while (const auto event = splitter.next())
            joined += event->text;
    };
    splitter.add(bytes.substr(0, bytes.size() / 2));
    takeAll();
    splitter.add(bytes.substr(bytes.size() / 2));
    takeAll();
    require(bytes.starts_with(joined), "events are not what arrived");
    require(splitter.isAtBoundary() == (joined.size() == bytes.size()), "bytes of events are lost");
}

/// Headers of a runner go to the caller: they must not change the message around them.
void checkPassedOn(const reply_head &head)
{
    const http_headers passed = gateway::passedReplyHeaders(head.headers);
    const std::string text = replyHeadText(head.status, passed, "text/plain", {.bodyBytes = 7});
    const auto again = parseReplyHead(text);
    require(again.has_value() && again->status == head.status && again->bodyBytes == 7U,
            "a reply is passed on as another one");
}

/// A handle goes to another runner: it must not change the request around it.
void checkHandle(const std::string &handle)
{
    const gateway::dialect names = adapter::platformDialect();
    gateway::send_extras extras;
    extras.runner = "i-1";
    extras.kvSource = "10.0.0.1:80/" + handle;
    http_request request;
    request.path = names.freeHandle(handle).path;
    const std::string text = gateway::runnerRequestText(request, {"10.0.0.1", 80}, names, extras);
    const auto sent = parseRequestHead(text);
    const auto *head = std::get_if<request_head>(&sent);
    require(head != nullptr && head->path == request.path
                    && headerOf(head->headers, names.kvSource) == extras.kvSource,
            "a request with a handle is another one");
}

void readOne(gateway::runner_call &call, socket_deadline deadline)
{
    const auto head = call.readHead(deadline);
    if (const auto *known = std::get_if<reply_head>(&head)) {
        checkPassedOn(*known);
        const gateway::body_piece rest = call.readRest(deadline, mostBodyBytes);
        checkEvents(rest.bytes);
    }
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const gateway::dialect names = adapter::platformDialect();
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const socket_deadline past = socket_clock::now();
    gateway::runner_call call(fuzz::socketOf(bytes), -1);
    readOne(call, past);
    readOne(call, past);
    call.takeConnection();
    checkEvents(bytes);
    names.readReport(bytes);
    if (const auto handle = names.readHandle(bytes))
        checkHandle(*handle);
    return 0;
}
