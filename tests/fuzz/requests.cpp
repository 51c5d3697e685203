#include "base/request_reader.h"
#include "fuzz.h"
#include "gateway/envelope.h"
#include "platform/dialect.h"

using namespace poplarspool;
using fuzz::require;

namespace {

constexpr std::size_t mostRequests = 64;

/// What is passed on must be one request with the same body, whatever the caller's headers say.
void checkPassedOn(const http_request &request)
{
    static const gateway::dialect names = adapter::platformDialect();
    gateway::readEnvelope(request, names);
    const std::string text = gateway::runnerRequestText(request, {"127.0.0.1", 80}, names, {});
    http_limits limits = defaultHttpLimits();
    limits.headerBytes *= 2;
    const descriptor connection = fuzz::socketOf(text);
    request_reader reader(connection.get(), limits, -1);
    const reading passed = reader.next(milliseconds(0));
    const auto *arrived = std::get_if<arrived_request>(&passed);
    require(arrived != nullptr, "a request that is passed on can't be read");
    require(arrived->request.method == request.method && arrived->request.path == request.path
                    && arrived->request.body == request.body,
            "a request is passed on as another one");
    require(std::holds_alternative<no_request>(reader.next(milliseconds(0))),
            "one request is passed on as two");
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view bytes(reinterpret_cast<const char *>(data), size);
    http_limits limits = defaultHttpLimits();
    // Few bytes, or as many as a number holds: the operators choose.
    limits.bodyBytes = (fuzz::takeByte(bytes) & 1) != 0 ? SIZE_MAX : 64;
    const descriptor connection = fuzz::socketOf(bytes);
    request_reader reader(connection.get(), limits, -1);
    for (std::size_t count = 0; count < mostRequests; ++count) {
        const reading outcome = reader.next(milliseconds(0));
        const auto *arrived = std::get_if<arrived_request>(&outcome);
        if (arrived == nullptr)
            return 0;
        require(arrived->request.body.size() <= limits.bodyBytes, "a body beyond its bound");
        checkPassedOn(arrived->request);
    }
    return 0;
}
