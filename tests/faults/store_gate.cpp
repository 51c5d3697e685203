#include "faults/store_gate.h"

#include "faults/waiting.h"

#include <nlohmann/json.hpp>

namespace poplarspool::faults {

namespace {

constexpr std::size_t idlePerTarget = 16;
constexpr milliseconds connectTime{1000};
/// Above the longest watch.
constexpr milliseconds passTime{70000};
constexpr int statusOk = 200;

} // namespace

store_gate::store_gate(const endpoint &listen, const endpoint &platform)
    : platform(platform), pool(idlePerTarget, connectTime, metrics),
      server(
              "gate", listen, defaultHttpLimits(),
              [this](const http_request &request, http_sink &) { return pass(request); }, metrics)
{
    expect(succeeded(server.start()), "the gate listens");
}

store_gate::~store_gate()
{
    pool.stop();
    server.stop();
}

void store_gate::setHook(write_hook hook)
{
    const std::lock_guard lock(mutex);
    onWrite = std::move(hook);
}

void store_gate::setClosed(bool isClosed)
{
    closed = isClosed;
}

// No reply breaks the connection, as a lost answer does.
std::optional<http_reply> store_gate::pass(const http_request &request)
{
    if (closed)
        return std::nullopt;
    const http_request bare{request.method, request.path, {}, request.body, request.contentType};
    const auto reply = pool.send(platform, bare, passTime);
    if (!succeeded(reply) || closed)
        return std::nullopt;
    http_reply passed{valueOf(reply).status, {}, valueOf(reply).body, valueOf(reply).contentType};
    if (request.method != "PUT" || passed.status != statusOk)
        return passed;
    const std::lock_guard lock(mutex);
    if (onWrite && !onWrite(request))
        return std::nullopt;
    return passed;
}

std::string orderRecordIn(const http_request &write)
{
    const auto body = nlohmann::json::parse(write.body, nullptr, false);
    if (!body.is_object() || !body.contains("value"))
        return "";
    const auto value = body.at("value").get<std::string>();
    const auto record = nlohmann::json::parse(value, nullptr, false);
    return record.is_object() && record.contains("fence") ? value : "";
}

} // namespace poplarspool::faults
