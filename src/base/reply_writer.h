#pragma once

#include "base/http_text.h"
#include "base/socket.h"

namespace poplarspool {

/// Writes the reply to one request straight to its connection.
class reply_writer : public http_sink
{
public:
    struct manner
    {
        bool isHead = false; ///< The request's method is HEAD: no body goes out.
        bool takesChunks = true;
        bool closes = false;
    };

    reply_writer(int fd, milliseconds writeTime, manner how);

    bool begin(int status, const http_headers &headers, std::string_view contentType) override;
    bool write(std::string_view piece) override;
    void end() override;
    bool isGone() const override;
    int descriptorNumber() const override { return fd; }

    /// Writes a reply whose body is known; not after begin().
    void writeWhole(const http_reply &reply);

    bool hasBegun() const { return state != progress::Fresh; }
    /// @returns Whether a whole reply went out, after which the connection may serve on.
    bool isWhole() const { return state == progress::Whole; }
    bool closes() const { return how.closes; }

private:
    enum class progress { Fresh, Begun, Whole, Failed };

    bool send(std::string_view bytes);

    const int fd;
    const milliseconds writeTime;
    manner how;
    bool hasBody = true;
    progress state = progress::Fresh;
};

} // namespace poplarspool
