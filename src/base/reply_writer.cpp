#include "base/reply_writer.h"

namespace poplarspool {

namespace {

/// Bytes that must go out within the time limit of one write. Bodies up to this size are sent
/// together with their head.
constexpr std::size_t maxSliceBytes = 64 * 1024;

} // namespace

reply_writer::reply_writer(int fd, milliseconds writeTime, manner how)
    : fd(fd), writeTime(writeTime), how(how)
{ }

bool reply_writer::begin(int status, const http_headers &headers, std::string_view contentType)
{
    if (state != progress::Fresh)
        return false;
    hasBody = !how.isHead && mayHaveBody(status);
    reply_framing framing;
    framing.isChunked = how.takesChunks && mayHaveBody(status);
    if (!how.takesChunks && hasBody) {
        // Without chunks the end of the connection is the end of the reply. Until end() says that
        // it is whole, a close must therefore look like a failure: it resets the connection.
        how.closes = true;
        abortOnClose(fd);
    }
    framing.closes = how.closes;
    state = progress::Begun;
    return send(replyHeadText(status, headers, contentType, framing));
}

bool reply_writer::write(std::string_view piece)
{
    if (state != progress::Begun)
        return false;
    // An empty chunk would be the last one.
    if (piece.empty() || !hasBody)
        return true;
    return how.takesChunks ? send(chunkText(piece)) : send(piece);
}

void reply_writer::end()
{
    if (state != progress::Begun)
        return;
    if (hasBody && how.takesChunks && !send("0\r\n\r\n"))
        return;
    if (hasBody && !how.takesChunks)
        closeInOrder(fd);
    state = progress::Whole;
}

bool reply_writer::isGone() const
{
    return state == progress::Failed || isPeerGone(fd);
}

void reply_writer::writeWhole(const http_reply &reply)
{
    if (state != progress::Fresh)
        return;
    state = progress::Begun;
    hasBody = !how.isHead && mayHaveBody(reply.status);
    reply_framing framing;
    framing.closes = how.closes;
    if (mayHaveBody(reply.status))
        framing.bodyBytes = reply.body.size();
    std::string text = replyHeadText(reply.status, reply.headers, reply.contentType, framing);
    const bool joins = hasBody && reply.body.size() <= maxSliceBytes;
    if (joins)
        text += reply.body;
    if (!send(text))
        return;
    if (hasBody && !joins && !send(reply.body))
        return;
    state = progress::Whole;
}

/// Sends in slices, each with its own time limit: a large reply may take longer than a small one,
/// while a receiver that reads almost nothing is still given up.
bool reply_writer::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::string_view slice = bytes.substr(0, maxSliceBytes);
        const sent outcome = sendAll(fd, slice, socket_clock::now() + writeTime, -1);
        if (outcome.fault != socket_fault::None) {
            state = progress::Failed;
            return false;
        }
        bytes.remove_prefix(slice.size());
    }
    return true;
}

} // namespace poplarspool
