#include "gateway/runner_control.h"

#include "gateway/envelope.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <charconv>

namespace poplarspool::gateway {

namespace {

/// @returns Time for which the runner promises to keep the connection; none where it doesn't say.
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

error failureOf(const runner &target, call_fault fault, verdict ran)
{
    return {error_code::Unavailable, "runner " + target.id.text + ": " + std::string(nameOf(fault)),
            ran, std::nullopt};
}

} // namespace

milliseconds idleTimeOf(const http_headers &headers)
{
    constexpr milliseconds margin{1000}; // The runner's count began earlier than ours.
    const milliseconds promised = keepAliveTimeOf(headers).value_or(config::runnerIdleTime);
    return std::min(promised - margin, config::runnerIdleTime);
}

result<http_reply> askRunner(connection_pool &connections, const dialect &names,
                             const runner &target, const http_request &asked, milliseconds time,
                             const std::function<bool()> &check)
{
    const socket_deadline deadline = socket_clock::now() + time;
    auto connection = connections.take(target.address, deadline, -1);
    if (!succeeded(connection))
        return errorOf(connection);
    noticeSilence(valueOf(connection).get(), config::runnerSilence);
    runner_call call(std::move(valueOf(connection)), -1);
    send_extras extras;
    extras.runner = target.id.text;
    extras.timeLeft = time;
    const std::string text = runnerRequestText(asked, target.address, names, extras);
    if (check && !check())
        return notRun(error_code::TimedOut,
                      "the time to ask runner " + target.id.text + " is over");
    const call_fault fault = call.send(text, deadline);
    if (fault != call_fault::None) {
        call.abort();
        return failureOf(target, fault,
                         call.mayHaveArrived() ? verdict::MayHaveRun : verdict::NotRun);
    }
    const auto head = call.readHead(deadline);
    if (const auto *failed = std::get_if<call_fault>(&head)) {
        call.abort();
        return failureOf(target, *failed, verdict::MayHaveRun);
    }
    const auto &arrived = std::get<reply_head>(head);
    body_piece rest = call.readRest(deadline, config::maxHeldAnswerBytes);
    if (!rest.isLast) {
        call.abort();
        return failureOf(target, rest.fault, verdict::MayHaveRun);
    }
    descriptor reusable = call.takeConnection();
    const milliseconds idleTime = idleTimeOf(arrived.headers);
    if (reusable.isOpen() && idleTime > milliseconds::zero())
        connections.keep(target.address, std::move(reusable), idleTime);
    http_reply reply;
    reply.status = arrived.status;
    reply.headers = arrived.headers;
    reply.body = std::move(rest.bytes);
    return reply;
}

} // namespace poplarspool::gateway
