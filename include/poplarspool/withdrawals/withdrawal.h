#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/ids.h"

#include <cstdint>
#include <optional>
#include <string_view>

/// What runners say in their answers of the requests that they want: a runner that leaves wants
/// none any more, and one that asks for rest wants none from the instance that it has answered, for
/// some time. Pure functions over plain values.
namespace poplarspool::withdrawals {

/// One incarnation of a runner.
struct runner_life
{
    runner_id id;
    std::uint64_t startedAtMs = 0; ///< Start time in Unix milliseconds; 0 if not reported.

    bool operator==(const runner_life &) const = default;
};

/// @returns Whether both are the same incarnation, as far as reported.
bool isSameLife(const runner_life &one, const runner_life &other);

/// What one answer says.
struct withdrawal_reading
{
    bool isLeaving = false;
    std::optional<milliseconds> rest; ///< In (0, config::maxRest].

    bool operator==(const withdrawal_reading &) const = default;
};

/// Reads the head of an answer. Values that can't be read say nothing; of several rests, the
/// longest counts. An answer with status 421 says nothing: it may be that of another runner, which
/// has the address by now.
/// @param leavingHeader Header in which a runner says that it leaves; empty: there is none.
withdrawal_reading readWithdrawal(int status, const http_headers &headers,
                                  std::string_view leavingHeader);

enum class withdrawal_kind {
    None, ///< It may get requests.
    Leaves,
    Rests,
    Returns, ///< Its rest is over, and it has been sent as many requests as it may get at first.
};

std::string_view nameOf(withdrawal_kind kind);

/// Whether a runner may get a request now.
struct withdrawal
{
    withdrawal_kind kind = withdrawal_kind::None;
    milliseconds age{0}; ///< Since the runner has said so last.
    milliseconds remaining{0}; ///< Of the rest; 0 if an answer may end it at any time.

    bool operator==(const withdrawal &) const = default;
};

/// @returns Whether nothing may be sent to the runner now.
bool forbidsSends(const withdrawal &now);

/// A rest, and the return after it.
struct rest_state
{
    mono_time askedAt{}; ///< When the runner asked for it last.
    mono_time endsAt{};
    std::uint32_t acceptances = 0; ///< Requests sent since `endsAt` that the runner has accepted.
    std::uint32_t openTries = 0; ///< Requests sent since `endsAt` without an answer so far.
    mono_time lastTryAt{};

    bool operator==(const rest_state &) const = default;
};

/// The runner has asked for rest. A shorter rest doesn't shorten the one that it asked for before.
rest_state afterRest(const rest_state &state, milliseconds rest, mono_time now);
/// A request is sent to it.
rest_state afterTry(const rest_state &state, mono_time now);
/// It has answered a request without asking for rest.
/// @param askedAt When the request was sent.
rest_state afterAnswer(const rest_state &state, bool isAccepted, mono_time askedAt);
withdrawal withdrawalIn(const rest_state &state, mono_time now);
/// @returns Whether the runner may get any number of requests again.
bool hasReturned(const rest_state &state);

} // namespace poplarspool::withdrawals
