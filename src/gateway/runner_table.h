#pragma once

#include "gateway/cache_holders.h"
#include "gateway/envelope.h"
#include "gateway/send_history.h"
#include "poplarspool/engine_model/engine_speed.h"
#include "poplarspool/gateway/placement.h"
#include "poplarspool/peer/load_exchange.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace poplarspool::gateway {

/// Outcome of a send, as far as it says something about the runner.
enum class send_outcome {
    Served,
    Refused, ///< It reported that it has not run the request: full, or shutting down.
    Misdirected, ///< Another runner has this address by now, or the runner is in another stage.
    Unreachable, ///< No connection.
    Failed, ///< It answered with an error or an invalid reply, or broke off.
    Unknown, ///< The caller left, or the time limit was reached.
};

/// How much a runner does, as far as this instance knows.
struct runner_use
{
    std::uint32_t open = 0; ///< Requests in flight, from all instances.
    double runMs = 0; ///< Recent mean from a request's first event to its end; 0: unknown.

    bool operator==(const runner_use &) const = default;
};

/// Engines whose speed differs from the median of their service and stage.
struct speed_counts
{
    std::uint32_t slow = 0;
    std::uint32_t fast = 0;

    bool operator==(const speed_counts &) const = default;
};

/// What selects the runners that a request considers.
struct candidate_query
{
    service_id service;
    /// Of the service; null for plain ones.
    const engine_traits *engine = nullptr;
    std::span<const prompt_part> prompt = {};
    /// Runners that the request was sent to without success.
    std::span<const runner_id> tried = {};
    std::uint64_t affinityKey = 0; ///< Of the prompt's shared parts; 0: none.
    std::uint64_t draw = 0; ///< Uniformly distributed random bits.
    /// Software version of the runners that may serve the request; none: any.
    std::optional<version_key> version = {};
};

/// This instance's open requests at each runner, and the recent outcomes there.
class runner_table
{
public:
    /// @param zone Key of this instance's zone in load updates.
    /// @param self Number of this instance in load updates.
    /// @param learnsSpeeds Whether the speeds of single engines are learnt.
    explicit runner_table(clock_source clock, std::uint32_t zone = 0, std::uint64_t self = 0,
                          bool learnsSpeeds = true);

    /// An open send. Ends when it goes out of scope.
    class open_send
    {
    public:
        /// @param prefillMs Prefill time that the runner needs for the prompt; 0 if it is already
        ///                  prefilled.
        /// @param rank Priority among urgent requests; 0 where ranks don't count.
        open_send(runner_table &table, const runner_id &target, double prefillMs,
                  send_class urgency, std::uint32_t rank = 0);
        open_send(const open_send &) = delete;
        open_send &operator=(const open_send &) = delete;
        ~open_send();

        /// Called when the runner has begun to answer.
        /// @returns Whether this is the first such call.
        bool recordStart();
        bool hasStarted() const { return startedAt != mono_time{}; }
        void recordEnd(send_outcome how) { end = how; }
        send_outcome outcome() const { return end; }
        /// Sets the expected duration of a send that includes a prefill and finds a free slot: the
        /// pace of engines is learnt from it.
        /// @param workMs Prefill time of its prompt and those before it.
        /// @param medianMs The same on an engine of median speed: the speed of this engine is
        ///                 learnt from it; 0: it isn't.
        void recordExpected(const service_id &service, engine_stage stage, double workMs,
                            double medianMs = 0);
        /// Declares that the request runs there until its answer is complete. Without this call,
        /// the runner only prefills its prompt.
        void markRunning() { isRun = true; }

    private:
        friend class runner_table;

        runner_table &table;
        const std::uint32_t target;
        const double prefillMs;
        const send_class urgency;
        const std::uint32_t rank;
        const mono_time sentAt;
        bool isRun = false;
        service_id service; ///< With `stage`: the engines whose pace is learnt.
        engine_stage stage = engine_stage::None;
        double expectedMs = 0; ///< 0: the pace is not learnt from this send.
        double medianMs = 0; ///< 0: the engine's speed is not learnt from this send.
        mono_time startedAt{}; ///< Zero: it has not started.
        send_outcome end = send_outcome::Unknown;
    };

    /// @returns Sampled runners of the service, those that all instances prefer for the prompt's
    /// shared parts, holders of these parts, and the runners that were tried.
    std::vector<placement_candidate> candidatesOf(const catalogue &known,
                                                  const candidate_query &query);
    /// @returns The numbers of slow and of fast engines in all services requested so far.
    speed_counts speedCounts();
    /// @returns The use of each of these runners.
    std::vector<runner_use> usesOf(std::span<const runner_entry> targets);

    /// @param runner peer::runnerKey() of its id.
    /// @returns The number of requests that this instance sent to the runner in the last second.
    std::uint32_t recentSendsTo(std::uint32_t runner);
    /// @returns The number of this instance's requests that the runner began in the last second.
    std::uint32_t recentStartsAt(std::uint32_t runner);

    /// @returns When the runner last answered this instance; none if it never did.
    std::optional<mono_time> lastAnswerOf(const runner_id &target);

    /// Called when the runner says that it is not the one that its entry describes, or not of that
    /// stage.
    void recordMisdirected(const std::shared_ptr<const runner> &target);

    /// Called when an urgent request is sent, where ranks count.
    void recordRank(const service_id &service, std::uint32_t rank, std::uint32_t ownRank,
                    double prefillMs);
    /// @returns Whether requests of the service may be served at rank 0 while capacity is short.
    bool hasRoomForPromotion(const service_id &service);

    /// Called before the runner prefills this prompt, which then stays in its cache.
    void recordCached(const runner_id &target, const std::vector<prompt_part> &prompt);
    /// Called when the runner has prefilled it: other engines can copy it from then on.
    void recordPrefilled(const runner_id &target, const std::vector<prompt_part> &prompt);

    /// @returns The load update for the other instances.
    peer::load_update collectUpdate(peer::update_recipients recipients);
    /// @returns The load of all instances of the zone, for the other zones; empty if that has not
    ///          changed since there were no requests.
    std::vector<peer::load_update> collectDigest();
    /// Applies another instance's load update, or the digest of another zone.
    void applyUpdate(std::uint64_t sender, const peer::load_update &update);

    /// Removes runners that are no longer listed and have no open requests.
    void removeUnlisted(const runner_set &listed);

private:
    struct cached_part
    {
        std::uint64_t usedAt = 0; ///< tokensIn at its last use.
        bool isPrefilled = false; ///< Prefilled, so that other engines can copy it.
    };

    /// Requests of one class that have not started, and the prefill time of their prompts.
    struct waiting_work
    {
        std::uint32_t count = 0;
        double prefillMs = 0;

        void add(std::uint32_t more, double moreMs);
        void subtract(std::uint32_t less, double lessMs);
    };

    /// Open requests at one runner, of this instance or of all others.
    struct work_sum
    {
        std::uint32_t open = 0;
        waiting_work urgent;
        waiting_work late;
        /// Of the urgent ones, those of rank 1, of rank 2, and of lower ranks.
        std::array<waiting_work, peer::rankLevels - 1> lowerRanks;

        void addWaiting(const open_send &sent);
        void subtractWaiting(const open_send &sent);
        void add(const peer::runner_work &update);
        void add(const work_sum &other);
        void subtract(const peer::runner_work &update);
    };

    struct runner_record
    {
        std::uint64_t startedAtMs = 0; ///< Of the incarnation that this record describes.
        work_sum own;
        work_sum others; ///< Sum of the other instances' latest updates.
        work_sum zoneOthers; ///< Of these, of the instances of this zone.
        std::uint32_t failuresInRow = 0;
        send_history recentSends;
        send_history recentStarts;
        runner misdirected; ///< The entry that it has denied last.
        mono_time misdirectedUntil{};
        std::deque<bool> outcomes; ///< Of the last sends; true: failed.
        mono_time ejectedUntil{};
        double runMs = 0; ///< Moving mean from the first byte to the end.
        double meanStartMs = 0; ///< Moving mean of the time to the first byte.
        engine_model::speed_estimate speed;
        mono_time speedSampledAt{}; ///< Time of the last sample of its speed.
        std::uint32_t starts = 0;
        mono_time lastStartAt{}; ///< Time of the last recorded start.
        mono_time answeredAt{}; ///< Of its last reply to this instance; 0: none.
        /// Tokens added to its cache so far, by all instances as far as known.
        std::uint64_t tokensIn = 0;
        std::uint64_t ownTokensIn = 0; ///< Of these, by this instance.
        std::uint64_t zoneTokensIn = 0; ///< Of these, by the instances of this zone.
        std::uint64_t digestTokensIn = 0; ///< zoneTokensIn in the last digest that contained it.
        /// Tokens that its cache holds in addition to running requests; 0: not known yet.
        std::uint64_t capacity = 0;
        /// By the low 32 bits of the chain's hash.
        std::unordered_map<std::uint32_t, cached_part> cached;
        /// How often its load is still sent although no request is open: against lost datagrams.
        std::array<std::uint32_t, peer::updateRecipientGroups> sendsLeft{};

        bool holds(std::uint32_t chain) const;
        void beginIncarnation(std::uint64_t newStartMs);
        void use(std::uint32_t chain, std::uint32_t tokens, bool isPrefilled);
    };

    struct peer_record
    {
        mono_time receivedAt{};
        std::chrono::nanoseconds interval{0}; ///< Between its last two updates.
        std::uint32_t zone = 0;
        std::uint32_t digestParts = 0; ///< 0: of one instance.
        std::uint64_t origin = 0; ///< Of a digest.
        std::unordered_map<std::uint32_t, peer::runner_work> work; ///< By runner.
    };

    struct cached_update
    {
        peer::cached_prefix chain;
        std::uint32_t repeatsLeft = 0;
    };

    /// Of the engines of one service and stage.
    struct stage_speeds
    {
        mono_time computedAt{};
        double medianLog = 0;
        speed_counts counts;
    };

    void opened(const open_send &sent);
    void started(const open_send &sent);
    void ended(const open_send &sent);
    void recordSpeed(runner_record &entry, double ratio);
    void sampleSpeed(const open_send &sent, const engine_pace &pace, double tookMs);
    std::vector<peer::engine_sample> takeSamples();
    void applySamples(const peer::load_update &update);
    void updateSpeeds(const runner_ring &group, stage_speeds &speeds, mono_time now);
    void recordOutcome(runner_record &entry, send_outcome how, mono_time now);
    static void countCachedTokens(const runner_record &entry, std::span<const prompt_part> prompt,
                                  placement_candidate &into);
    placement_candidate candidateAt(const candidate_query &query, const runner_entry &target,
                                    mono_time now);
    std::vector<placement_candidate> holdersOf(const catalogue &known, const candidate_query &query,
                                               mono_time now);
    runner_record &useParts(const runner_id &target, const std::vector<prompt_part> &prompt,
                            bool isPrefilled);
    static peer::runner_work workOf(std::uint32_t runner, const work_sum &sum,
                                    std::uint64_t tokensIn);
    static std::vector<peer::cached_prefix> takeCached(std::deque<cached_update> &waiting);
    static void queueCached(std::deque<cached_update> &waiting, const peer::cached_prefix &one);
    void queueCachedUpdate(std::uint32_t runner, const std::vector<prompt_part> &prompt,
                           bool isPrefilled);
    void subtract(const peer_record &update);
    bool isOfThisZone(const peer_record &update) const;
    peer_record *recordFor(std::uint64_t sender, const peer::load_update &update);
    void applyCached(const peer::load_update &update);
    void expireSilentPeers(mono_time now);
    void estimateSlowness(std::vector<placement_candidate> &candidates, mono_time now) const;

    const clock_source clock;
    const std::uint32_t zone;
    const std::uint64_t self;
    const bool learnsSpeeds;
    std::mutex guard;
    std::unordered_map<std::uint32_t, runner_record> records; ///< By runner.
    std::map<service_id, std::map<engine_stage, engine_pace>> paces;
    std::map<service_id, admission::rank_mix> rankMixes;
    std::map<service_id, std::map<engine_stage, stage_speeds>> speeds;
    std::deque<peer::engine_sample> pendingSamples; ///< Not sent yet.
    std::unordered_map<std::uint64_t, peer_record> peers; ///< By sender.
    mono_time silenceCheckedAt{};
    mono_time digestCollectedAt{};
    std::uint32_t digestParts = 1;
    bool wasDigestEmpty = true;
    cache_holders holders;
    std::array<std::deque<cached_update>, peer::updateRecipientGroups> pendingUpdates;
};

} // namespace poplarspool::gateway
