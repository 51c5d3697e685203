#include "gateway/runner_control.h"

#include "gateway/envelope.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <charconv>

namespace poplarspool::gateway {

namespace {

/// @returns The runner's keep-alive time-out; none if it sends none.
std::optional<milliseconds> keepAliveTimeOf(const http_headers &headers)
{
    constexpr std::string_view key = "timeout=";
    const std::string_view text = headerOf(headers, "keep-alive");
    const std::size_t at = text.find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = text.substr(at + key.size());
    std::int64_t seconds = 0;
    const auto fault = std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec;
    if (fault != std::errc{} || seconds < 0)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

error failureOf(const std::string &name, call_fault fault, verdict ran)
{
    return {error_code::Unavailable, name + ": " + std::string(nameOf(fault)), ran, std::nullopt};
}

} // namespace

milliseconds idleTimeOf(const http_headers &headers)
{
    constexpr milliseconds margin{1000}; // The runner's idle timer started earlier than this one.
    const milliseconds promised = keepAliveTimeOf(headers).value_or(config::runnerIdleTime);
    return std::min(promised - margin, config::runnerIdleTime);
}

result<whole_reply> callOn(descriptor connection, const std::string &name,
                           const request_text &request, socket_deadline deadline,
                           const std::function<bool()> &check)
{
    enableDeadPeerDetection(connection.get(), config::runnerSilenceTimeout);
    runner_call call(std::move(connection), -1);
    if (check && !check())
        return notRun(error_code::TimedOut,
                      "request to " + name + " not sent: no longer permitted");
    const call_fault fault = call.send(request, deadline);
    if (fault != call_fault::None) {
        call.abort();
        return failureOf(name, fault,
                         call.mayHaveArrived() ? verdict::MayHaveRun : verdict::NotRun);
    }
    const auto head = call.readHead(deadline);
    if (const auto *failed = std::get_if<call_fault>(&head)) {
        call.abort();
        return failureOf(name, *failed, verdict::MayHaveRun);
    }
    const auto &arrived = std::get<reply_head>(head);
    body_piece rest = call.readRest(deadline, config::maxBufferedReplyBytes);
    if (!rest.isLast) {
        call.abort();
        return failureOf(name, rest.fault, verdict::MayHaveRun);
    }
    whole_reply whole;
    whole.reply.status = arrived.status;
    whole.reply.headers = arrived.headers;
    whole.reply.body = std::move(rest.bytes);
    whole.connection = call.takeConnection();
    return whole;
}

namespace {

result<whole_reply> callOverConnection(descriptor connection, const dialect &names,
                                       const runner &target, const http_request &request,
                                       milliseconds timeout, socket_deadline deadline,
                                       const std::function<bool()> &check)
{
    send_extras extras;
    extras.runner = target.id.text;
    extras.timeLeft = timeout;
    const std::string head = runnerRequestHead(request, target.address, names, extras);
    return callOn(std::move(connection), "runner " + target.id.text, {head, request.body}, deadline,
                  check);
}

} // namespace

result<http_reply> callRunner(connection_pool &connections, const dialect &names,
                              const runner &target, const http_request &request,
                              milliseconds timeout, const std::function<bool()> &check)
{
    const socket_deadline deadline = socket_clock::now() + timeout;
    auto connection = connections.acquire(target.address, deadline, -1);
    if (!succeeded(connection))
        return errorOf(connection);
    auto answered = callOverConnection(std::move(valueOf(connection)), names, target, request,
                                       timeout, deadline, check);
    if (!succeeded(answered))
        return errorOf(answered);
    whole_reply &whole = valueOf(answered);
    const milliseconds idleTime = idleTimeOf(whole.reply.headers);
    if (whole.connection.isOpen() && idleTime > milliseconds::zero())
        connections.release(target.address, std::move(whole.connection), idleTime);
    return std::move(whole.reply);
}

result<http_reply> callRunner(runner_connector &connections, const dialect &names,
                              const runner &target, const http_request &request,
                              milliseconds timeout)
{
    const socket_deadline deadline = socket_clock::now() + timeout;
    auto connected = connections.acquire(target, deadline, -1);
    if (!succeeded(connected))
        return errorOf(connected);
    runner_connection &used = valueOf(connected);
    auto answered = callOverConnection(std::move(used.connection), names, target, request, timeout,
                                       deadline, {});
    if (!succeeded(answered))
        return errorOf(answered);
    whole_reply &whole = valueOf(answered);
    const milliseconds idleTime = idleTimeOf(whole.reply.headers);
    used.connection = std::move(whole.connection);
    if (used.connection.isOpen() && idleTime > milliseconds::zero())
        connections.release(target, std::move(used), idleTime);
    return std::move(whole.reply);
}

} // namespace poplarspool::gateway
