#pragma once

#include "base/connection_pool.h"
#include "gateway/envelope.h"
#include "gateway/event_splitter.h"
#include "gateway/retry_budgets.h"
#include "gateway/runner_call.h"
#include "gateway/runner_ledger.h"
#include "gateway/suspect_keeper.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/duties/usage_exchange.h"

#include <atomic>
#include <optional>

namespace poplarspool::gateway {

struct relay_metrics
{
    explicit relay_metrics(metrics_registry &registry);

    counter &requests;
    counter &whole; ///< The caller got a runner's whole answer.
    counter &refused; ///< Ended by a promise that the request has not run.
    counter &failed; ///< Ended by a failure of ours that promises nothing.
    counter &cut; ///< The answer had begun and was broken off.
    counter &callersGone;
    counter &unknownKeys; ///< Ended since they show no workspace's key.
    counter &quarantined; ///< Of the refused: runners have ended under the request.
    counter &retries;
    counter &resumes;
    counter &foreignReplies;
    counter &handOvers;
    counter &kvCopies;
    latency &firstByte;
};

/// By which a runner says that it isn't the one that a request is for, or not of its stage.
inline constexpr int misdirectedStatus = 421;

/// What all requests share.
struct relay_parts
{
    const dialect &names;
    const catalogue_hub &hub;
    runner_ledger &ledger;
    retry_budgets &retries;
    connection_pool &connections;
    relay_metrics &metrics;
    journal &events;
    const clock_source clock;
    const zone_id zone;
    /// When this instance will be gone; requests are cut down to it. Nanoseconds of clock.mono.
    const std::atomic<std::int64_t> &leavesAt;
    suspect_keeper &suspects;
    /// Of requests' digests; the same on all instances of the fleet.
    const std::uint64_t digestSeed = 0;
    /// Where requests of workspaces are counted as they begin to run; null: nowhere.
    const duties::usage_parts *usage = nullptr;
    /// Age of the last confirmed configuration from which on its keys count for nothing.
    const milliseconds keyTrustTime = milliseconds::max();
};

/// Passes one request on to a runner, and the answer back, by the rules of its route: where it may
/// be tried again, it is; a stream goes on elsewhere after its last whole event; and whatever
/// happens, the caller sees a whole answer, a true refusal, or a visibly broken one.
class request_relay
{
public:
    request_relay(const relay_parts &parts, const http_request &request, http_sink &caller);

    /// @returns The whole reply where nothing was written to the caller yet.
    std::optional<http_reply> run();

private:
    enum class try_end {
        Answered, ///< The caller has its whole answer.
        CallerGone,
        NotRun, ///< The runner certainly has not run the request.
        Held, ///< The runner's whole answer is held, to be passed on.
        Failed, ///< The same, and it is a failure of the runner.
        Lost, ///< It may have run, and no answer is to be had.
    };

    /// One send, with what must be known at its end.
    struct sending
    {
        const placement &place;
        const std::string &kvSource; ///< Where the prompt's KV cache waits; empty: nowhere.
        runner_ledger::open_send &record;
        socket_deadline deadline;
    };

    // request_relay.cpp: what to do.
    std::optional<http_reply> serve();
    std::optional<http_reply> pickRoute();
    std::optional<http_reply> pickWorkspace();
    bool isQuarantined();
    /// @param reader Who has read the prompt; null: nobody yet.
    std::optional<placement> findPlace(const runner *reader);
    bool mayTryAgain(try_end end) const;
    bool isCallerGone() const;
    std::optional<http_reply> leaveOff();
    std::optional<http_reply> finish();
    http_reply refusal(int status, error_code code, std::string_view reason,
                       milliseconds retryAfter);
    milliseconds timeLeft() const;
    void log(std::string_view kind, std::vector<event_field> fields) const;
    /// As log(), for a send: with what its runner was chosen by, and how old that was.
    void logSend(std::string_view kind, std::vector<event_field> fields) const;

    // hand_over.cpp: an engine that only reads the prompt.
    std::optional<std::string> readPrompt(const placement &place);
    std::optional<http_reply> askPrefill(const placement &place, runner_ledger::open_send &record);
    void freeHandle(const runner &reader, const std::string &handle);

    // runner_try.cpp: one send and its answer.
    try_end tryAt(const placement &place, const std::string &kvSource);
    try_end sendTo(sending &now);
    result<descriptor> connectionTo(const endpoint &to, socket_deadline deadline) const;
    std::variant<reply_head, call_fault> readOwnHead(runner_call &call, socket_deadline deadline);
    try_end takeReply(runner_call &call, const reply_head &head, sending &now);
    try_end takeRefusal(runner_call &call, const reply_head &head, sending &now);
    try_end passStream(runner_call &call, const reply_head &head, sending &now);
    bool passEvents(event_splitter &events, const reply_head &head);
    try_end passPlain(runner_call &call, const reply_head &head, sending &now);
    try_end passLarge(runner_call &call, const reply_head &head, std::string held, sending &now);
    bool beginReply(const reply_head &head);
    try_end endOfFault(runner_call &call, call_fault fault, sending &now);
    void noteBroken(const runner &target, call_fault fault);
    try_end noteServed(sending &now, try_end end);
    void keepConnection(runner_call &call, const reply_head &head, const endpoint &to);
    /// What any send of the request adds.
    send_extras extrasTo(const runner &target) const;
    send_extras extrasFor(const sending &now) const;
    socket_deadline deadlineIn(milliseconds time) const;
    std::uint32_t priorityOf(send_class urgency) const;
    void noteFirstByte(sending &now);
    void noteBegun() const;

    const relay_parts &parts;
    const http_request &request;
    http_sink &caller;
    const envelope read;
    const std::uint64_t digest; ///< What all attempts of the same request have in common.
    const mono_time arrivedAt;

    std::shared_ptr<const catalogue> known;
    const route *chosen = nullptr;
    const workspaces::workspace *owner = nullptr; ///< Of the key; null: it has shown none.
    service_id service;
    const engine_traits *engine = nullptr;
    mono_time endsAt{};

    std::shared_ptr<const catalogue> chosenBy; ///< What the last runner was chosen from.
    mono_time chosenAt{};
    mono_time sentAt{}; ///< When the first byte of the last send may have left; 0: it has not.
    std::uint32_t sends = 0; ///< Tries, also those that reached nobody.
    std::uint32_t arrivals = 0; ///< Sends of which a byte left: these count in the budget.
    std::uint32_t runs = 0; ///< Sends that may have run.
    std::vector<runner_id> tried;
    bool isHandOverLost = false; ///< One has failed: the next try reads the prompt itself.
    std::optional<http_reply> held; ///< A runner's whole answer.
    bool hasBegun = false; ///< Bytes of an answer went to the caller.
    std::optional<std::uint64_t> lastEvent; ///< Passed on.
    std::optional<quarantine> kept; ///< Set once it is sent no more.
    milliseconds comeBackIn; ///< Told with a refusal.
    std::string lastRunner;
    std::string lastFault;
    mono_time firstByteAt{};
};

} // namespace poplarspool::gateway
