#include "standin/engine.h"

#include "standin/engine_core.h"
#include "standin/engine_wire.h"
#include "standin/tokens.h"

#include <atomic>
#include <charconv>
#include <utility>

namespace poplarspool::standin {

namespace {

constexpr std::chrono::milliseconds disconnectCheckInterval{100};
constexpr std::chrono::milliseconds blobFetchTimeout{5000};
constexpr std::chrono::milliseconds connectTimeout{500};
constexpr std::size_t maxBodyBytes = 16UL * 1024 * 1024;
constexpr std::size_t maxHeaderBytes = 16UL * 1024;

http_limits limitsOf(const engine_options &options)
{
    http_limits limits = defaultHttpLimits();
    limits.headerBytes = maxHeaderBytes;
    limits.bodyBytes = maxBodyBytes;
    limits.connections = options.connections;
    return limits;
}

const engine_refusal badRequest{400, "bad_request", "malformed request body"};

std::uint64_t numberAfter(const std::string &text, char separator)
{
    std::uint64_t value = 0;
    const std::size_t place = text.rfind(separator);
    if (place == std::string::npos)
        return value;
    std::from_chars(text.data() + place + 1, text.data() + text.size(), value);
    return value;
}

/// Writes one stream to its HTTP connection.
class stream_writer
{
public:
    stream_writer(engine_core &core, engine_stream_ptr stream, http_sink &sink)
        : core(core), stream(std::move(stream)), sink(sink),
          firstIndex(static_cast<std::uint32_t>(this->stream->spec.emitted.size()))
    { }

    std::optional<http_reply> run()
    {
        while (true) {
            const stream_progress progress = stream->channel.wait(sent, disconnectCheckInterval);
            if (!isStarted && progress.state == stream_state::Refused)
                return refusalReply({409, "unavailable", "engine dropped its queued requests"});
            if (progress.state == stream_state::Cut || progress.state == stream_state::Refused)
                return std::nullopt;
            if (!write(progress))
                return std::nullopt;
            if (progress.state != stream_state::Open && progress.produced == sent) {
                finish(progress.state);
                return std::nullopt;
            }
        }
    }

private:
    bool shouldCutAt(std::uint32_t produced) const
    {
        const bool isCutting =
                stream->fault == fault_mode::CutNext || stream->fault == fault_mode::EndEarly;
        return isCutting && produced >= stream->faultAfter;
    }

    bool begin()
    {
        isStarted = true;
        const std::string attempt = stream->fault == fault_mode::Crossed
                ? stream->spec.attempt + "-other"
                : stream->spec.attempt;
        return sink.begin(200, {}, "application/x-ndjson")
                && sink.write(headLine(stream->spec.request, attempt));
    }

    /// @returns False if nothing more may be written to the connection.
    bool write(const stream_progress &progress)
    {
        if (progress.produced == sent && progress.state == stream_state::Open) {
            if (!sink.isGone())
                return true;
            core.cancel(stream);
            return false;
        }
        std::string lines;
        const std::uint32_t end =
                shouldCutAt(progress.produced) ? stream->faultAfter : progress.produced;
        for (; sent < end; ++sent)
            lines += tokenLine(firstIndex + sent,
                               standinToken(stream->spec.prompt, firstIndex + sent));
        if (stream->fault == fault_mode::Repeat && firstIndex + sent > 0)
            lines += tokenLine(0, standinToken(stream->spec.prompt, 0));
        if ((!isStarted && !begin()) || (!lines.empty() && !sink.write(lines))) {
            core.cancel(stream);
            return false;
        }
        if (!shouldCutAt(progress.produced))
            return true;
        core.cut(stream);
        if (stream->fault == fault_mode::EndEarly)
            sink.end();
        return false;
    }

    void finish(stream_state state)
    {
        const std::string_view reason = state == stream_state::Exported ? "exported" : "length";
        sink.write(endLine(reason, promptTokensOf(stream->spec.prompt), firstIndex + sent));
        sink.end();
    }

    engine_core &core;
    engine_stream_ptr stream;
    http_sink &sink;
    std::uint32_t firstIndex;
    std::uint32_t sent = 0;
    bool isStarted = false;
};

} // namespace

struct engine_standin::state
{
    explicit state(const engine_options &options)
        : core(options), kvSources(1, connectTimeout, metrics), host(options.bind.host),
          server(
                  "engine", options.bind, limitsOf(options),
                  [this](const http_request &request, http_sink &sink) {
                      return serve(request, sink);
                  },
                  metrics)
    { }

    std::optional<http_reply> serve(const http_request &request, http_sink &sink);
    std::optional<http_reply> serveControl(const http_request &request);
    std::optional<http_reply> generate(const http_request &request, http_sink &sink);
    http_reply order(const http_request &request);
    http_reply cancel(const http_request &request);
    http_reply exportKv(const http_request &request);
    http_reply importKv(const std::string &handle);
    http_reply serveBlob(const http_request &request);

    metrics_registry metrics;
    engine_core core;
    http_pool kvSources;
    const std::string host;
    std::atomic<std::uint16_t> port{0}; ///< Part of the handles of exported KV.
    http_server server;
};

std::optional<http_reply> engine_standin::state::serveControl(const http_request &request)
{
    if (request.path == "/standin/records")
        return okReply(recordsText(core.records()));
    if (request.path != "/standin/fault")
        return std::nullopt;
    const auto fault = parseFault(request.body);
    if (!fault)
        return refusalReply(badRequest);
    core.setFault(*fault);
    return okReply("{}");
}

std::optional<http_reply> engine_standin::state::serve(const http_request &request, http_sink &sink)
{
    if (auto reply = serveControl(request))
        return reply;
    // Without a reply the server closes the connection, as if the process had crashed.
    if (!core.waitUntilReachable())
        return std::nullopt;
    if (request.path == "/generate")
        return generate(request, sink);
    if (request.path == "/load")
        return okReply(reportText(core.report()));
    if (request.path == "/order")
        return order(request);
    if (request.path == "/cancel")
        return cancel(request);
    if (request.path == "/kv/export")
        return exportKv(request);
    if (request.path == "/kv/import")
        return importKv(parseStringField(request.body, "handle"));
    if (request.path.starts_with("/kv/blob?"))
        return serveBlob(request);
    if (request.path.starts_with("/cache-events"))
        return okReply(eventsText(core.cacheEvents(numberAfter(request.path, '='))));
    return refusalReply({404, "not_found", "no such path"});
}

std::optional<http_reply> engine_standin::state::generate(const http_request &request,
                                                          http_sink &sink)
{
    auto spec = parseStreamSpec(request.body);
    if (!spec)
        return refusalReply(badRequest);
    // If the KV cannot be fetched any more, the prefill is computed again.
    if (!spec->kvHandle.empty())
        importKv(spec->kvHandle);
    auto submitted = core.submit(std::move(*spec));
    if (const auto *refusal = std::get_if<engine_refusal>(&submitted))
        return refusalReply(*refusal);
    return stream_writer(core, std::get<engine_stream_ptr>(submitted), sink).run();
}

http_reply engine_standin::state::order(const http_request &request)
{
    const auto parsed = parseOrder(request.body);
    if (!parsed)
        return refusalReply(badRequest);
    const auto refusal = core.order(parsed->fence, parsed->nonce, parsed->setup);
    return refusal ? refusalReply(*refusal) : okReply("{}");
}

http_reply engine_standin::state::cancel(const http_request &request)
{
    if (core.cancel(parseStringField(request.body, "request"),
                    parseStringField(request.body, "attempt")))
        return okReply("{}");
    return refusalReply({404, "not_found", "no such stream"});
}

http_reply engine_standin::state::exportKv(const http_request &request)
{
    const auto exported = core.exportKv(parseStringField(request.body, "request"));
    if (const auto *refusal = std::get_if<engine_refusal>(&exported))
        return refusalReply(*refusal);
    const auto &blob = std::get<kv_blob>(exported);
    const std::string handle = textOf({host, port.load()}) + "/" + std::to_string(blob.number);
    return okReply("{\"handle\":\"" + handle + "\",\"tokens\":" + std::to_string(blob.tokens)
                   + "}");
}

http_reply engine_standin::state::serveBlob(const http_request &request)
{
    const auto blob = core.findBlob(numberAfter(request.path, '='));
    return blob ? okReply(blobText(*blob)) : refusalReply({404, "not_found", "no such KV"});
}

http_reply engine_standin::state::importKv(const std::string &handle)
{
    const auto source = parseEndpoint(std::string_view(handle).substr(0, handle.rfind('/')));
    if (!succeeded(source))
        return refusalReply(badRequest);
    const std::string path = "/kv/blob?number=" + std::to_string(numberAfter(handle, '/'));
    const auto reply = kvSources.send(valueOf(source), {"GET", path, {}, {}, {}}, blobFetchTimeout);
    if (!succeeded(reply) || valueOf(reply).status != 200)
        return refusalReply({404, "not_found", "KV could not be fetched"});
    const auto blob = parseBlob(valueOf(reply).body);
    if (!blob)
        return refusalReply({404, "not_found", "malformed KV reply"});
    const auto refusal = core.importKv(blob->hashes);
    return refusal ? refusalReply(*refusal) : okReply("{}");
}

engine_standin::engine_standin(const engine_options &options)
    : inner(std::make_unique<state>(options))
{ }

engine_standin::~engine_standin()
{
    stop();
}

result<endpoint> engine_standin::start()
{
    inner->core.start();
    auto address = inner->server.start();
    if (succeeded(address))
        inner->port = valueOf(address).port;
    return address;
}

void engine_standin::stop()
{
    inner->core.stop();
    inner->kvSources.stop();
    inner->server.stop();
}

engine_records engine_standin::records() const
{
    return inner->core.records();
}

void engine_standin::setFault(const engine_fault &fault)
{
    inner->core.setFault(fault);
}

} // namespace poplarspool::standin
