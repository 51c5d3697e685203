#include "faults/store_fault_proxy.h"

#include "faults/waiting.h"

#include <nlohmann/json.hpp>

namespace poplarspool::faults {

namespace {

constexpr std::size_t idlePerTarget = 16;
constexpr milliseconds connectTimeout{1000};
/// Longer than the longest watch call.
constexpr milliseconds forwardTimeout{70000};
constexpr int statusOk = 200;

} // namespace

store_fault_proxy::store_fault_proxy(const endpoint &listen, const endpoint &platform)
    : platform(platform), pool(idlePerTarget, connectTimeout, metrics),
      server(
              "gate", listen, defaultHttpLimits(),
              [this](const http_request &request, http_sink &) { return forward(request); },
              metrics)
{
    expect(succeeded(server.start()), "the store fault proxy listens");
}

store_fault_proxy::~store_fault_proxy()
{
    pool.stop();
    server.stop();
}

void store_fault_proxy::setWriteHook(write_hook hook)
{
    const std::lock_guard lock(mutex);
    writeHook = std::move(hook);
}

void store_fault_proxy::setBlocked(bool isBlocked)
{
    blocked = isBlocked;
}

// Returning no reply closes the connection, which the instance sees as a lost answer.
std::optional<http_reply> store_fault_proxy::forward(const http_request &request)
{
    if (blocked)
        return std::nullopt;
    const http_request outgoing{
            request.method, request.path, {}, request.body, request.contentType};
    const auto reply = pool.send(platform, outgoing, forwardTimeout);
    if (!succeeded(reply) || blocked)
        return std::nullopt;
    http_reply forwarded{
            valueOf(reply).status, {}, valueOf(reply).body, valueOf(reply).contentType};
    if (request.method != "PUT" || forwarded.status != statusOk)
        return forwarded;
    const std::lock_guard lock(mutex);
    if (writeHook && !writeHook(request))
        return std::nullopt;
    return forwarded;
}

std::string extractOrderRecord(const http_request &write)
{
    const auto body = nlohmann::json::parse(write.body, nullptr, false);
    if (!body.is_object() || !body.contains("value"))
        return "";
    const auto value = body.at("value").get<std::string>();
    const auto record = nlohmann::json::parse(value, nullptr, false);
    return record.is_object() && record.contains("fence") ? value : "";
}

} // namespace poplarspool::faults
