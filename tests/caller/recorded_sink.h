#pragma once

#include "poplarspool/base/http.h"

#include <string>

namespace poplarspool::caller {

/// Records the reply written to it; can simulate a disconnected receiver.
struct recorded_sink : http_sink
{
    int status = 0;
    http_headers headers;
    std::string contentType;
    std::string body;
    bool isEnded = false;
    bool hasLeft = false;

    bool begin(int code, const http_headers &fields, std::string_view type) override
    {
        status = code;
        headers = fields;
        contentType = type;
        return !hasLeft;
    }
    bool write(std::string_view piece) override
    {
        if (!hasLeft)
            body += piece;
        return !hasLeft;
    }
    void end() override { isEnded = true; }
    bool isGone() const override { return hasLeft; }
};

} // namespace poplarspool::caller
