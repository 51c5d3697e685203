#include "base/request_reader.h"
#include "fuzz.h"
#include "gateway/envelope.h"
#include "platform/dialect.h"

using namespace poplarspool;
using fuzz::require;

namespace {

constexpr std::size_t maxRequests = 64;

/// The forwarded request must be a single one with the same body, whatever headers the caller sent.
void checkForwarded(const http_request &request)
{
    static const gateway::dialect platformNames = adapter::platformDialect();
    gateway::readEnvelope(request, platformNames);
    const std::string text =
            gateway::runnerRequestHead(request, {"127.0.0.1", 80}, platformNames, {})
            + request.body;
    http_limits limits = defaultHttpLimits();
    limits.headerBytes *= 2;
    const replaceable_http_limits current(std::make_shared<const http_limits>(limits));
    const descriptor connection = fuzz::socketOf(text);
    request_reader reader(connection.get(), current, -1);
    memory_reservation memory(nullptr);
    const read_outcome forwarded = reader.next(milliseconds(0), memory);
    const auto *arrived = std::get_if<arrived_request>(&forwarded);
    require(arrived != nullptr, "a forwarded request can't be read");
    require(arrived->request.method == request.method && arrived->request.path == request.path
                    && arrived->request.body == request.body,
            "a forwarded request differs from the caller's request");
    require(std::holds_alternative<connection_ended>(reader.next(milliseconds(0), memory)),
            "one request is forwarded as two");
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view bytes(reinterpret_cast<const char *>(data), size);
    http_limits limits = defaultHttpLimits();
    // Operators configure this limit; both a small and the largest possible value are tried.
    limits.bodyBytes = (fuzz::takeByte(bytes) & 1) != 0 ? SIZE_MAX : 64;
    const replaceable_http_limits current(std::make_shared<const http_limits>(limits));
    const descriptor connection = fuzz::socketOf(bytes);
    request_reader reader(connection.get(), current, -1);
    memory_reservation memory(nullptr);
    for (std::size_t count = 0; count < maxRequests; ++count) {
        const read_outcome outcome = reader.next(milliseconds(0), memory);
        const auto *arrived = std::get_if<arrived_request>(&outcome);
        if (arrived == nullptr)
            return 0;
        require(arrived->request.body.size() <= limits.bodyBytes,
                "a request body exceeds the limit");
        checkForwarded(arrived->request);
    }
    return 0;
}
