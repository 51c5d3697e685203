#pragma once

#include "crashes/quarantine_manager.h"
#include "gateway/envelope.h"
#include "gateway/event_order.h"
#include "gateway/event_splitter.h"
#include "gateway/rate_limiter.h"
#include "gateway/retry_budgets.h"
#include "gateway/route_outcomes.h"
#include "gateway/run_witness.h"
#include "gateway/runner_call.h"
#include "gateway/runner_connector.h"
#include "gateway/runner_table.h"
#include "gateway/share_table.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/duties/usage_exchange.h"
#include "poplarspool/gateway/gateway_settings.h"
#include "poplarspool/streams/origin_registry.h"
#include "poplarspool/withdrawals/withdrawal_registry.h"

#include <array>
#include <atomic>
#include <optional>

namespace poplarspool::gateway {

/// What is known of the software version of a stream that a caller takes up.
enum class take_up_end {
    KnownHere, ///< This instance has the record of who began it.
    KnownToHolder, ///< Another instance has it.
    SoleVersion, ///< Nobody has it, but only one version can have begun it.
    VersionUnknown, ///< Refused: any of several versions may have begun it.
    VersionGone, ///< Refused: no runner of its version serves.
};

inline constexpr std::size_t takeUpEnds = 5;

std::string_view nameOf(take_up_end end);

struct proxy_metrics
{
    explicit proxy_metrics(metrics_registry &registry);

    counter &takeUpsOf(take_up_end end) { return *takeUps[static_cast<std::size_t>(end)]; }

    counter &requests;
    counter &whole; ///< The caller got a runner's complete answer.
    counter &refused; ///< Ended with the guarantee that the request has not run.
    counter &failed; ///< Ended with a gateway error that does not guarantee this.
    counter &cut; ///< Broken off after the answer had begun.
    counter &callersGone;
    counter &unknownKeys; ///< Ended because the request has no valid key.
    counter &quarantined; ///< Of the refused: runners have ended under the request.
    counter &quarantinedParts; ///< Of the refused: runners have ended under a part of its prompt.
    counter &retries;
    counter &resumes;
    counter &foreignReplies;
    counter &prefillHandoffs;
    counter &kvCopies;
    counter &withheldSends; ///< Not sent, since their runner wanted none any more.
    counter &promoted; ///< Requests sent at rank 0 although their own rank is lower.
    counter &aboveShare; ///< Their workspace was above its share when they were placed.
    counter &endedByClose; ///< Runners' answers with neither a length nor chunks.
    counter &unprovenEnds; ///< Of these, those that may be incomplete.
    std::array<counter *, takeUpEnds> takeUps; ///< By take_up_end.
    latency_histogram &firstByte;
    route_outcomes routeOutcomes;
};

/// @returns What the records of crashes keep of a runner.
crashes::observed_runner observedOf(const runner &target);

/// State that all requests share.
struct proxy_context
{
    const dialect &names;
    const catalogue_publisher &publisher;
    runner_table &runnerTable;
    retry_budgets &retries;
    runner_connector &connections;
    proxy_metrics &metrics;
    journal &events;
    const clock_source clock;
    const zone_id zone;
    /// Time by which this instance must have sent its last answer, in nanoseconds of clock.mono;
    /// requests' time limits are cut to it.
    const std::atomic<std::int64_t> &leavesAtNs;
    crashes::quarantine_manager &quarantineManager;
    rate_limiter &rateLimiter;
    streams::origin_registry &origins;
    withdrawals::withdrawal_registry &withdrawalRegistry;
    /// Seed of requests' digests; the same on all instances of the fleet.
    const std::uint64_t digestSeed = 0;
    /// Counts the requests of workspaces as they start to run; null: usage is not counted.
    const duties::usage_context *usage = nullptr;
    /// Maximum age of the last confirmed configuration at which its keys are accepted.
    const milliseconds keyTrustTime = milliseconds::max();
    /// Maximum age of the last confirmation of the routes at which an unknown route or key is
    /// reported as such, and of the runners at which no other versions serve than those known.
    const milliseconds routesProofTime = proofTimeOf(gateway_settings{}.routesBound);
    const milliseconds runnersProofTime = proofTimeOf(gateway_settings{}.runnersBound);
    /// Counts the work of workspaces; null: they have no shares.
    share_table *shares = nullptr;
    /// Whether requests wait at engines by rank, where there are workspaces.
    const bool usesRankedWaiting = true;
};

/// Forwards one request to a runner and the answer back, according to the request's route: it is
/// retried where the route allows that, and a stream is resumed on another runner after its last
/// complete event. In all cases the caller gets a complete answer, a refusal that guarantees that
/// the request has not run, or a visibly broken answer.
class request_proxy
{
public:
    request_proxy(const proxy_context &parts, const http_request &request, http_sink &caller);

    /// @returns The complete reply if nothing has been written to the caller yet.
    std::optional<http_reply> run();

private:
    enum class try_end {
        Answered, ///< The caller has its complete answer.
        CallerGone,
        NotRun, ///< The runner certainly has not run the request.
        Held, ///< The runner's complete answer is buffered, to be passed on.
        Failed, ///< The same, and the answer is a failure of the runner.
        Lost, ///< It may have run, and its answer is lost.
    };

    /// How complete events were passed on.
    enum class pass_end { Passed, CallerGone, OutOfOrder };

    /// One send and the state that is needed at its end.
    struct sending
    {
        const placement &place;
        const std::string &kvSource; ///< Where the prompt's KV cache is kept; empty: nowhere.
        runner_table::open_send &record;
        socket_deadline deadline;
        /// What is left of the connection once a call has taken its descriptor.
        runner_connection connection = {};
        /// Set once the request is about to be sent.
        std::optional<run_witness> witness = {};
    };

    // request_proxy.cpp: decisions.
    std::optional<http_reply> serve();
    std::optional<http_reply> selectRoute();
    std::optional<http_reply> selectWorkspace();
    std::optional<placement> findNextPlacement();
    bool isQuarantined();
    /// @param prefillEngine The engine that has prefilled the prompt; null: none yet.
    std::optional<placement> findPlacement(const runner *prefillEngine);
    /// Finds a placement whose runners' rate limits permit the request.
    std::optional<placement> findPermittedPlacement(const runner *prefillEngine);
    bool mayTryAgain(try_end end) const;
    /// @returns Whether another run can go on with the stream.
    bool mayResume() const;
    bool isCallerGone() const;
    std::optional<http_reply> abandon();
    std::optional<http_reply> finish();
    http_reply quarantineRefusal();
    http_reply refusal(int status, error_code code, std::string_view reason,
                       milliseconds retryAfter);
    milliseconds timeLeft() const;
    void log(std::string_view kind, std::vector<event_field> fields) const;
    /// As log(), for a send: adds the version and the age of the view that its runner was chosen
    /// from.
    void logSend(std::string_view kind, std::vector<event_field> fields) const;

    // workspace_share.cpp: the fair share of the caller's workspace.
    std::uint32_t shareKey() const;
    bool hasShares() const;
    void recordAsked();
    void recordSent(const placement &place);
    void recordShortage(const placement_query &query,
                        const std::variant<placement, no_placement> &found);
    void applyShare(placement_query &query);

    // runner_permits.cpp: rate limits of runners.
    bool acquirePermits(const placement &place);
    bool holdsPermit(const runner &target);
    void usePermit(const runner &target);
    void releasePermits();
    void markLimited(std::vector<placement_candidate> &candidates);

    // runner_withdrawals.cpp: what runners have said of themselves.
    void markWithdrawn(std::vector<placement_candidate> &candidates) const;
    /// Called right before the first byte is sent to the runner.
    /// @returns False if the runner wants no request any more; nothing may be sent then.
    bool beginSend(const runner &target, const runner_connection &connection);
    /// Ends a send of which nothing was sent.
    try_end withhold(runner_call &call, sending &current);
    /// Called with the head of each answer of the runner itself.
    /// @returns Whether the runner wants fewer requests from now on.
    bool recordHead(const runner &target, const reply_head &head);

    // stream_take_up.cpp: the software version that began a stream.
    bool isTakeUp() const;
    std::optional<http_reply> selectVersion();
    http_reply versionRefusal(std::string_view fault, milliseconds retryAfter);
    std::optional<version_key> soleVersion() const;
    bool isServed(version_key version) const;
    bool hasOtherVersionNow(const runner &target) const;
    /// @returns Whether the runner's entry may be that of a process that has ended.
    bool mayHaveRestarted(const runner &target) const;
    /// Leaves out the runners whose version is unknown, if a stream depends on it.
    void removeRestarted(std::vector<placement_candidate> &candidates) const;
    void recordOrigin(const runner &target);

    // earlier_run.cpp: a run whose answer is lost.
    /// Waits until the runner no longer works on the request, or can't be asked.
    void awaitEndOfRun(const runner &target) const;
    bool isWorkedOn(const runner &target) const;

    // prefill_handoff.cpp: an engine that only prefills the prompt.
    std::optional<std::string> runPrefill(const placement &place);
    std::optional<http_reply> sendPrefill(const placement &place, runner_table::open_send &record);
    void freeHandle(const runner &prefillEngine, const std::string &handle);

    // request_rank.cpp: the priority at engines.
    /// @returns The request's own rank, from 0 to config::maxRank.
    std::uint32_t rankOf() const;
    bool doRanksCount() const;
    std::uint32_t priorityOf(const placement &place) const;
    /// Called with the placement of a send or prefill, right before it.
    /// @param isPrefilled The engine takes over a prompt that was prefilled elsewhere.
    /// @returns The rank that the engine's load counts it at.
    std::uint32_t recordRank(const placement &place, bool isPrefilled);

    // runner_try.cpp: one send and its answer.
    try_end tryAt(const placement &place, const std::string &kvSource);
    try_end sendTo(sending &current);
    result<runner_connection> connectionTo(const runner &target, socket_deadline deadline) const;
    silence_check silenceCheckOf(const runner &target, const runner_connection &connection,
                                 std::function<bool()> mayFail) const;
    bool mayGoOnElsewhere() const;
    send_outcome unreachableOutcome() const;
    std::variant<reply_head, call_fault> readOwnHead(runner_call &call, socket_deadline deadline);
    try_end handleFault(runner_call &call, call_fault fault, sending &current);
    void recordBrokenReply(const runner &target, call_fault fault);
    /// The headers that every send of the request adds.
    send_extras extrasTo(const runner &target) const;
    send_extras extrasFor(const sending &current) const;
    socket_deadline deadlineIn(milliseconds time) const;
    /// @returns The limit under which a request is sent to the runner, for a log line.
    std::string limitTextOf(const runner &target) const;
    /// @returns Why the last connection to the runner failed and the age of the runner's last
    ///          answer, for a log line; empty if it did not fail.
    std::vector<event_field> connectFieldsOf(const runner &target) const;
    void recordUsage() const;

    // runner_answer.cpp: an answer, from the runner to the caller.
    try_end takeReply(runner_call &call, const reply_head &head, sending &current);
    try_end takeRefusal(runner_call &call, const reply_head &head, sending &current);
    try_end passStream(runner_call &call, const reply_head &head, sending &current);
    pass_end passEvents(event_splitter &events, const reply_head &head, const runner &target);
    try_end passPlain(runner_call &call, const reply_head &head, sending &current);
    try_end passLarge(runner_call &call, const reply_head &head, std::string buffered,
                      sending &current);
    bool beginReply(const reply_head &head);
    void recordFirstByte(sending &current);
    /// Called for each piece of an answer, before its end: has it witnessed if only the end of its
    /// connection will end it.
    static void keepWitness(const runner_call &call, sending &current);
    /// @returns Whether the answer is complete, once its end has been read.
    bool isProvenWhole(const runner_call &call, sending &current);
    /// Ends a send whose answer may be incomplete, which may be no fault of the runner.
    try_end handleDoubt(runner_call &call, sending &current);
    bool reserveBuffer(std::size_t bytes);
    try_end handleShortage(runner_call &call, sending &current);
    try_end recordServed(sending &current, try_end end);
    void keepConnection(runner_call &call, const reply_head &head, const runner &target,
                        runner_connection connection);

    const proxy_context &context;
    const http_request &request;
    http_sink &caller;
    const envelope metadata;
    /// The request, by a digest that all its attempts share, and the parts of its prompt.
    crashes::request_suspects suspects;
    const mono_time arrivedAt;

    std::shared_ptr<const catalogue> view;
    const route *selectedRoute = nullptr;
    /// Workspace of the caller's key; null if the request has no valid key.
    const workspaces::workspace *owner = nullptr;
    service_id service;
    const engine_traits *engine = nullptr;
    std::string shareText; ///< For a log line; empty if the workspace never was above its share.
    mono_time endsAt{};

    /// The view that the last runner was chosen from.
    std::shared_ptr<const catalogue> placementView;
    mono_time chosenAt{};
    mono_time sentAt{}; ///< Before the first byte of the last send; 0: not sent yet.
    std::uint32_t sends = 0; ///< Tries, including those that reached no runner.
    /// Sends of which at least one byte was sent: these count in the retry budget.
    std::uint32_t arrivals = 0;
    std::uint32_t possibleRuns = 0; ///< Sends that may have run.
    std::vector<runner_id> tried;
    std::vector<rate_permit> heldPermits; ///< Not used yet.
    std::vector<runner_id> deniedRunners; ///< Those whose rate limit has not permitted the request.
    /// The last search has found no runner, but one may take the request soon.
    bool isWaitUseful = false;
    /// A handoff has failed: the prompt is prefilled where the request runs.
    bool hasHandoffFailed = false;
    std::uint32_t refusedHandoffs = 0;
    std::optional<http_reply> bufferedReply; ///< A runner's complete answer.
    /// Memory reserved for what is buffered of the answer.
    std::size_t reservedBufferBytes = config::uncountedAnswerBytes;
    bool hasBegun = false; ///< Bytes of an answer were passed on to the caller.
    event_order order; ///< Of the events passed on.
    streams::stream_key streamKey = 0; ///< Only of streams that may be resumed.
    /// Software version that has begun the stream, here or for an earlier attempt of the caller:
    /// what two versions write doesn't fit together.
    std::optional<version_key> streamVersion;
    bool isPromoted = false; ///< It was sent at rank 0 although its own rank is lower.
    bool hasReturned = false; ///< It was sent to a runner again after its answer was lost there.
    std::optional<crashes::quarantine> activeQuarantine; ///< Set once the request is quarantined.
    /// It is sent although a part of it is quarantined, to find out whether that still crashes
    /// runners.
    bool isTrial = false;
    std::uint64_t endsKnown = 0; ///< Ends of runners that were known at the last send.
    milliseconds retryAfterTime; ///< Retry-After of a refusal.
    std::string lastRunner;
    std::string lastFault;
    std::string lastConnectError; ///< Of the last send; empty if it was connected.
    bool isEndedByClose = false; ///< The last answer has neither a length nor chunks.
    /// Why the end of the last answer counts as such; empty if it doesn't.
    std::string_view lastEndProof;
    endpoint lastCarrier; ///< Of the last send's connection; empty if it was direct.
    withdrawals::withdrawal lastWithdrawal; ///< What the runner wanted as the last send began.
    std::string lastWay; ///< Of the last send: "direct", or the instance that carried it.
    mono_time firstByteAt{};
};

} // namespace poplarspool::gateway
