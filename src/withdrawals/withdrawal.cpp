#include "poplarspool/withdrawals/withdrawal.h"

#include "base/http_text.h"
#include "poplarspool/withdrawals/limits.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace poplarspool::withdrawals {

namespace {

constexpr int restingStatus = 503;
constexpr int misdirectedStatus = 421;
constexpr std::string_view restHeader = "retry-after";
constexpr std::string_view leavingValue = "1";

std::optional<milliseconds> parseRest(std::string_view text)
{
    if (text.empty() || text.size() > config::maxRestDigits)
        return std::nullopt;
    double seconds = 0;
    const char *end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    if (fault != std::errc{} || stop != end || !std::isfinite(seconds) || seconds <= 0)
        return std::nullopt;
    const double longest = std::chrono::duration<double>(config::maxRest).count();
    return std::chrono::ceil<milliseconds>(
            std::chrono::duration<double>(std::min(seconds, longest)));
}

std::uint32_t openTriesAt(const rest_state &state, mono_time now)
{
    return now - state.lastTryAt < config::returnTryTime ? state.openTries : 0;
}

} // namespace

bool isSameLife(const runner_life &one, const runner_life &other)
{
    const bool areStartsKnown = one.startedAtMs != 0 && other.startedAtMs != 0;
    return one.id == other.id && (!areStartsKnown || one.startedAtMs == other.startedAtMs);
}

withdrawal_reading readWithdrawal(int status, const http_headers &headers,
                                  std::string_view leavingHeader)
{
    withdrawal_reading reading;
    if (status == misdirectedStatus)
        return reading;
    for (const auto &[name, value] : headers) {
        if (!leavingHeader.empty() && equalsIgnoringCase(name, leavingHeader))
            reading.isLeaving = reading.isLeaving || trimmed(value) == leavingValue;
        else if (status == restingStatus && equalsIgnoringCase(name, restHeader))
            reading.rest = std::max(reading.rest, parseRest(trimmed(value)));
    }
    return reading;
}

std::string_view nameOf(withdrawal_kind kind)
{
    switch (kind) {
    case withdrawal_kind::Leaves:
        return "leaves";
    case withdrawal_kind::Rests:
        return "rests";
    case withdrawal_kind::Returns:
        return "returns";
    case withdrawal_kind::None:
        break;
    }
    return "none";
}

bool forbidsSends(const withdrawal &now)
{
    return now.kind != withdrawal_kind::None;
}

rest_state afterRest(const rest_state &state, milliseconds rest, mono_time now)
{
    rest_state next;
    next.askedAt = now;
    next.endsAt = std::max(state.endsAt, now + rest);
    return next;
}

rest_state afterTry(const rest_state &state, mono_time now)
{
    rest_state next = state;
    next.openTries = openTriesAt(state, now) + 1;
    next.lastTryAt = now;
    return next;
}

/// Answers to requests from before the end of the rest say nothing about the runner after it.
rest_state afterAnswer(const rest_state &state, bool isAccepted, mono_time askedAt)
{
    rest_state next = state;
    if (askedAt < state.endsAt)
        return next;
    next.openTries -= std::min(next.openTries, 1U);
    next.acceptances += isAccepted ? 1 : 0;
    return next;
}

withdrawal withdrawalIn(const rest_state &state, mono_time now)
{
    const auto age = std::chrono::floor<milliseconds>(now - state.askedAt);
    if (now < state.endsAt)
        return {withdrawal_kind::Rests, age, std::chrono::ceil<milliseconds>(state.endsAt - now)};
    const std::uint32_t allowed = 1 + config::triesPerAcceptance * state.acceptances;
    if (hasReturned(state) || openTriesAt(state, now) < allowed)
        return {};
    return {withdrawal_kind::Returns, age, milliseconds(0)};
}

bool hasReturned(const rest_state &state)
{
    return state.acceptances >= config::acceptancesToReturn;
}

} // namespace poplarspool::withdrawals
