#pragma once

#include "poplarspool/base/http.h"

#include <string>

namespace poplarspool::caller {

/// Records the reply written to it; can simulate a disconnected receiver.
struct recording_sink : http_sink
{
    int status = 0;
    http_headers headers;
    std::string contentType;
    std::string body;
    bool isEnded = false;
    bool isDisconnected = false;

    bool begin(int code, const http_headers &fields, std::string_view type) override
    {
        status = code;
        headers = fields;
        contentType = type;
        return !isDisconnected;
    }
    bool write(std::string_view piece) override
    {
        if (!isDisconnected)
            body += piece;
        return !isDisconnected;
    }
    void end() override { isEnded = true; }
    bool isGone() const override { return isDisconnected; }
};

} // namespace poplarspool::caller
