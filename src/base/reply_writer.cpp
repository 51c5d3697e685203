#include "base/reply_writer.h"

namespace poplarspool {

namespace {

/// Maximum number of bytes sent within the time limit of one write. Bodies up to this size are sent
/// together with their head.
constexpr std::size_t maxSliceBytes = 64 * 1024;

} // namespace

reply_writer::reply_writer(int fd, milliseconds writeTime, reply_options options)
    : fd(fd), writeTime(writeTime), options(options)
{ }

bool reply_writer::begin(int status, const http_headers &headers, std::string_view contentType)
{
    if (state != progress::NotStarted)
        return false;
    hasBody = !options.isHead && mayHaveBody(status);
    reply_framing framing;
    framing.isChunked = options.supportsChunks && mayHaveBody(status);
    if (!options.supportsChunks && hasBody) {
        // Without chunks, the reply ends with the connection. Until end() marks the reply as
        // complete, closing the connection must therefore reset it.
        options.closes = true;
        abortOnClose(fd);
    }
    framing.closes = options.closes;
    state = progress::Started;
    return send(replyHeadText(status, headers, contentType, framing));
}

bool reply_writer::write(std::string_view piece)
{
    if (state != progress::Started)
        return false;
    // An empty chunk would end the reply.
    if (piece.empty() || !hasBody)
        return true;
    return options.supportsChunks ? send(encodeChunk(piece)) : send(piece);
}

void reply_writer::end()
{
    if (state != progress::Started)
        return;
    if (hasBody && options.supportsChunks && !send("0\r\n\r\n"))
        return;
    if (hasBody && !options.supportsChunks)
        restoreGracefulClose(fd);
    state = progress::Complete;
}

bool reply_writer::isGone() const
{
    return state == progress::Failed || isPeerGone(fd);
}

void reply_writer::writeReply(const http_reply &reply)
{
    if (state != progress::NotStarted)
        return;
    state = progress::Started;
    hasBody = !options.isHead && mayHaveBody(reply.status);
    reply_framing framing;
    framing.closes = options.closes;
    if (mayHaveBody(reply.status))
        framing.bodyBytes = reply.body.size();
    std::string text = replyHeadText(reply.status, reply.headers, reply.contentType, framing);
    const bool sendsTogether = hasBody && reply.body.size() <= maxSliceBytes;
    if (sendsTogether)
        text += reply.body;
    if (!send(text))
        return;
    if (hasBody && !sendsTogether && !send(reply.body))
        return;
    state = progress::Complete;
}

/// Sends in slices, each with its own time limit, so that a large reply may take longer than a
/// small one but a receiver that hardly reads is still timed out.
bool reply_writer::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::string_view slice = bytes.substr(0, maxSliceBytes);
        const send_result outcome = sendAll(fd, slice, socket_clock::now() + writeTime, -1);
        if (outcome.fault != socket_fault::None) {
            state = progress::Failed;
            return false;
        }
        bytes.remove_prefix(slice.size());
    }
    return true;
}

} // namespace poplarspool
