#include "base/request_reader.h"

#include "poplarspool/base/limits.h"

#include <algorithm>
#include <array>
#include <poll.h>

namespace poplarspool {

namespace {

constexpr std::size_t receiveBytes = 8 * 1024;
/// Maximum length of the line before a chunk, and of a trailer line, in bytes.
constexpr std::size_t maxChunkLineBytes = 1024;
/// Maximum size of the block that is allocated for a body before it arrives, in bytes.
constexpr std::size_t maxInitialBodyBytes = 64UL * 1024 * 1024;

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";

/// The request is not read, so that the caller may send it again.
bad_request outOfMemory()
{
    return {503, "too many large requests", config::memoryRetryAfter};
}

/// A body of unknown length exists twice while it is moved to a larger block.
bool reserveGrowth(memory_reservation &memory, std::size_t bytes)
{
    return memory.extend(bytes) && memory.extend(bytes);
}

/// @returns The failure as the result of reading the request.
template <class Part>
read_outcome failureOf(const Part &failed)
{
    if (const auto *bad = std::get_if<bad_request>(&failed))
        return *bad;
    return std::get<connection_ended>(failed);
}

template <class Part>
bool isRead(const Part &outcome)
{
    return std::holds_alternative<std::string>(outcome);
}

} // namespace

request_reader::request_reader(int fd, const replaceable_http_limits &limits, int stopFd,
                               gauge *buffered)
    : fd(fd), currentLimits(limits), stopFd(stopFd), buffered(buffered), limits(limits.load())
{ }

request_reader::~request_reader()
{
    if (buffered != nullptr)
        buffered->add(-static_cast<std::int64_t>(countedBytes));
}

read_outcome request_reader::next(milliseconds idleTime, memory_reservation &memory)
{
    trimBuffer();
    if (buffer.empty() && !waitForFirstByte(idleTime))
        return connection_ended{};
    limits = currentLimits.load();
    deadline = socket_clock::now() + limits->readTimeout;
    hasStarted = false;
    return readRequest(memory);
}

/// A buffer that has grown is not kept while the connection is idle: connections are many, and most
/// of them are idle.
void request_reader::trimBuffer()
{
    if (buffer.capacity() > receiveBytes && buffer.size() <= receiveBytes)
        buffer.shrink_to_fit();
    countBuffer();
}

void request_reader::countBuffer()
{
    if (buffered == nullptr || buffer.capacity() == countedBytes)
        return;
    buffered->add(static_cast<std::int64_t>(buffer.capacity())
                  - static_cast<std::int64_t>(countedBytes));
    countedBytes = buffer.capacity();
}

bool request_reader::waitForFirstByte(milliseconds idleTime)
{
    const socket_deadline end = socket_clock::now() + idleTime;
    const socket_fault fault = waitForSocket(fd, POLLIN, end, stopFd);
    if (fault != socket_fault::Interrupted)
        return fault == socket_fault::None;
    // A request that had arrived before the server was stopped is still served.
    return waitForSocket(fd, POLLIN, socket_clock::now(), -1) == socket_fault::None;
}

read_outcome request_reader::readRequest(memory_reservation &memory)
{
    const read_part text = readHead();
    if (!isRead(text))
        return failureOf(text);
    auto parsed = parseRequestHead(std::get<std::string>(text));
    if (const auto *bad = std::get_if<bad_request>(&parsed))
        return *bad;
    auto &head = std::get<request_head>(parsed);
    read_part body = readBody(head, memory);
    if (!isRead(body))
        return failureOf(body);
    arrived_request arrived;
    arrived.keepsAlive = head.keepsAlive;
    arrived.supportsChunks = head.supportsChunks;
    arrived.request.contentType = headerOf(head.headers, "content-type");
    arrived.request.method = std::move(head.method);
    arrived.request.path = std::move(head.path);
    arrived.request.headers = std::move(head.headers);
    arrived.request.body = std::move(std::get<std::string>(body));
    return arrived;
}

request_reader::read_part request_reader::readHead()
{
    std::size_t searched = 0;
    while (true) {
        while (buffer.starts_with(lineEnd))
            buffer.erase(0, lineEnd.size());
        hasStarted = !buffer.empty();
        const std::size_t end = buffer.find(headEnd, searched);
        const std::size_t bytes = end == std::string::npos ? buffer.size() : end + headEnd.size();
        if (bytes > limits->headerBytes)
            return bad_request{431, "headers too large"};
        if (end != std::string::npos) {
            std::string head = buffer.substr(0, bytes);
            buffer.erase(0, bytes);
            return head;
        }
        // A head with bare LF line ends never ends with CR LF CR LF, so the reader would otherwise
        // wait until the time limit.
        if (buffer.find("\n\n") != std::string::npos)
            return bad_request{400, "lines must end with CR LF"};
        searched = buffer.size() < headEnd.size() ? 0 : buffer.size() - headEnd.size();
        if (auto failed = fillBuffer())
            return *failed;
    }
}

request_reader::read_part request_reader::readBody(const request_head &head,
                                                   memory_reservation &memory)
{
    if (head.bodyBytes > limits->bodyBytes)
        return bad_request{413, "body too large"};
    if (!memory.extend(head.bodyBytes))
        return outOfMemory();
    if (head.expectsContinue && buffer.empty()) {
        const socket_deadline end = socket_clock::now() + limits->writeTimeout;
        sendAll(fd, "HTTP/1.1 100 Continue\r\n\r\n", end, -1);
    }
    if (head.isChunked)
        return readChunks(memory);
    std::string body;
    body.reserve(std::min(head.bodyBytes, maxInitialBodyBytes));
    if (auto failed = appendTo(body, head.bodyBytes))
        return *failed;
    return body;
}

request_reader::read_part request_reader::readChunks(memory_reservation &memory)
{
    std::string body;
    while (true) {
        read_part line = readLine();
        if (!isRead(line))
            return line;
        const std::optional<std::size_t> size = chunkSizeOf(std::get<std::string>(line));
        if (!size)
            return bad_request{400, "malformed chunk"};
        if (*size == 0)
            return readTrailers(std::move(body));
        if (*size > limits->bodyBytes - body.size())
            return bad_request{413, "body too large"};
        if (!reserveGrowth(memory, *size))
            return outOfMemory();
        if (auto failed = appendTo(body, *size))
            return *failed;
        while (buffer.size() < lineEnd.size()) {
            if (auto failed = fillBuffer())
                return *failed;
        }
        if (!buffer.starts_with(lineEnd))
            return bad_request{400, "malformed chunk"};
        buffer.erase(0, lineEnd.size());
    }
}

request_reader::read_part request_reader::readTrailers(std::string body)
{
    std::size_t trailerBytes = 0;
    while (true) {
        read_part trailer = readLine();
        if (!isRead(trailer))
            return trailer;
        if (std::get<std::string>(trailer).empty())
            return body;
        trailerBytes += std::get<std::string>(trailer).size();
        if (trailerBytes > limits->headerBytes)
            return bad_request{431, "trailers too large"};
    }
}

request_reader::read_part request_reader::readLine()
{
    while (true) {
        const std::size_t end = buffer.find(lineEnd);
        if (std::min(end, buffer.size()) > maxChunkLineBytes)
            return bad_request{400, "malformed chunk"};
        if (end != std::string::npos) {
            std::string line = buffer.substr(0, end);
            buffer.erase(0, end + lineEnd.size());
            return line;
        }
        if (auto failed = fillBuffer())
            return *failed;
    }
}

std::optional<request_reader::read_part> request_reader::appendTo(std::string &body,
                                                                  std::size_t bytes)
{
    const std::size_t end = body.size() + bytes;
    const std::size_t ready = std::min(bytes, buffer.size());
    body.append(buffer, 0, ready);
    buffer.erase(0, ready);
    while (body.size() < end) {
        if (auto failed = fill(body, end - body.size()))
            return failed;
    }
    return std::nullopt;
}

std::optional<request_reader::read_part> request_reader::fillBuffer()
{
    auto failed = fill(buffer, receiveBytes);
    countBuffer();
    return failed;
}

std::optional<request_reader::read_part> request_reader::fill(std::string &to, std::size_t maxBytes)
{
    std::array<char, receiveBytes> bytes; // NOLINT: filled before it is read
    const receive_result some =
            receiveSome(fd, bytes.data(), std::min(bytes.size(), maxBytes), deadline, -1);
    if (some.fault == socket_fault::TimedOut)
        return bad_request{408, "request not received within the time limit"};
    if (some.isEnd && hasStarted)
        return bad_request{400, "request truncated"};
    if (some.fault != socket_fault::None)
        return connection_ended{};
    to.append(bytes.data(), some.bytes);
    return std::nullopt;
}

} // namespace poplarspool
