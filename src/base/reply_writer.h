#pragma once

#include "base/http_text.h"
#include "base/socket.h"

namespace poplarspool {

/// Writes the reply to one request to its connection, unbuffered.
class reply_writer : public http_sink
{
public:
    struct reply_options
    {
        bool isHead = false; ///< The request's method is HEAD: no body is sent.
        bool supportsChunks = true;
        bool closes = false;
        memory_reservation *memory = nullptr; ///< Of the request; null: no limit.
    };

    reply_writer(int fd, milliseconds writeTime, reply_options options);

    bool begin(int status, const http_headers &headers, std::string_view contentType) override;
    bool write(std::string_view piece) override;
    void end() override;
    bool isGone() const override;
    int descriptorNumber() const override { return fd; }
    bool reserveMemory(std::size_t bytes) override
    {
        return options.memory == nullptr || options.memory->extend(bytes);
    }

    /// Writes a complete reply. Has no effect after begin().
    void writeReply(const http_reply &reply);

    bool hasStarted() const { return state != progress::NotStarted; }
    /// @returns Whether a complete reply was sent, so that the connection can be reused.
    bool isComplete() const { return state == progress::Complete; }
    bool closes() const { return options.closes; }

private:
    enum class progress { NotStarted, Started, Complete, Failed };

    bool send(std::string_view bytes);

    const int fd;
    const milliseconds writeTime;
    reply_options options;
    bool hasBody = true;
    progress state = progress::NotStarted;
};

} // namespace poplarspool
