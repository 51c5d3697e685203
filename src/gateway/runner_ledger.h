#pragma once

#include "gateway/envelope.h"
#include "poplarspool/gateway/placing.h"
#include "poplarspool/peer/load_exchange.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace poplarspool::gateway {

/// How a send to a runner ended, as far as it says something of the runner.
enum class send_end {
    Served,
    Refused, ///< It said that it did not run the request: full, or on its way out.
    Misdirected, ///< Another runner has this address by now.
    Unreachable, ///< No connection.
    Failed, ///< It answered with a failure of its own, with nonsense, or broke off.
    Unknown, ///< The caller left, or its time was over.
};

/// What this instance has going on at each runner, and what it has lately met there.
class runner_ledger
{
public:
    explicit runner_ledger(clock_source clock);

    /// A send that is going on. Ends when it goes out of scope.
    class open_send
    {
    public:
        /// @param readingMs That the runner needs for the prompt; 0 where it has been read.
        open_send(runner_ledger &ledger, const runner_id &target, double readingMs,
                  send_class urgency);
        open_send(const open_send &) = delete;
        open_send &operator=(const open_send &) = delete;
        ~open_send();

        /// The runner has begun to answer.
        /// @returns Whether that was not known yet.
        bool noteStart();
        bool hasStarted() const { return startedAt != mono_time{}; }
        void noteEnd(send_end how) { end = how; }
        /// What is expected of a send that reads a prompt and finds a free place: the pace is
        /// learnt from it.
        /// @param workMs For its prompt and those before it.
        void noteExpected(const service_id &service, engine_stage stage, double workMs);
        /// It runs there until its answer is whole; else the runner only reads its prompt.
        void noteRuns() { isRun = true; }

    private:
        friend class runner_ledger;

        runner_ledger &ledger;
        const std::uint32_t target;
        const double readingMs;
        const send_class urgency;
        const mono_time sentAt;
        bool isRun = false;
        service_id service; ///< The pace of its engines of that stage is learnt.
        engine_stage stage = engine_stage::None;
        double expectedMs = 0; ///< 0: nothing is learnt from it.
        mono_time startedAt{}; ///< Zero: it has not begun.
        send_end end = send_end::Unknown;
    };

    /// @param engine Of the service; null for plain ones.
    /// @param tried Runners that the request has been sent to without success.
    std::vector<place_candidate> candidatesOf(const catalogue &known, const service_id &service,
                                              const engine_traits *engine,
                                              const std::vector<prompt_part> &prompt,
                                              const std::vector<runner_id> &tried);

    /// The runner says that it isn't the one, or not of the stage, that its entry tells of.
    void noteMisdirected(const std::shared_ptr<const runner> &target);

    /// The runner is about to read this prompt, and keeps it in its cache.
    void noteCached(const runner_id &target, const std::vector<prompt_part> &prompt);
    /// It has read it: from now on, others can copy it from there.
    void noteRead(const runner_id &target, const std::vector<prompt_part> &prompt);

    /// @returns What the other instances are told.
    peer::load_news collectNews(peer::news_audience audience);
    /// Takes what another instance has told.
    void takeNews(std::uint64_t sender, const peer::load_news &news);

    /// Forgets runners that are listed no more and have nothing open.
    void forgetAllBut(const runner_map &listed);

private:
    struct cached_part
    {
        std::uint64_t usedAt = 0; ///< tokensIn at its last use.
        bool isRead = false;
    };

    /// Requests of one class that have not begun, and the time for reading their prompts.
    struct waiting_work
    {
        std::uint32_t count = 0;
        double readingMs = 0;

        void add(std::uint32_t more, double moreMs);
        void takeOff(std::uint32_t less, double lessMs);
    };

    /// What is open at one runner, of this instance or of all others.
    struct work_sum
    {
        std::uint32_t open = 0;
        waiting_work urgent;
        waiting_work later;

        waiting_work &of(send_class urgency);
        void add(const peer::runner_work &told);
        void takeOff(const peer::runner_work &told);
    };

    struct record
    {
        std::uint64_t bornMs = 0; ///< Of the life that the rest is about.
        work_sum own;
        work_sum elsewhere; ///< As last told by the other instances.
        std::uint32_t failuresInRow = 0;
        runner misdirected; ///< The entry that it has denied last.
        mono_time misdirectedUntil{};
        std::deque<bool> outcomes; ///< Of the last sends; true: failed.
        mono_time setAsideUntil{};
        double runMs = 0; ///< Moving mean from the first byte to the end.
        double meanStartMs = 0; ///< Moving mean of the time to the first byte.
        std::uint32_t starts = 0;
        mono_time startedAt{}; ///< When the last start was noted.
        /// Tokens that have been put into its cache so far, by all instances as far as known.
        std::uint64_t tokensIn = 0;
        std::uint64_t ownTokensIn = 0; ///< Of these, by this instance.
        /// Tokens that its cache holds beside running requests; 0: not known yet.
        std::uint64_t capacity = 0;
        std::unordered_map<std::uint32_t, cached_part> cached; ///< By the chain's hash, low half.
        /// How many times its work is still told though nothing is open: against lost datagrams.
        std::array<std::uint32_t, peer::newsAudiences> tellsLeft{};

        bool holds(std::uint32_t chain) const;
        void beginLife(std::uint64_t born);
        void use(std::uint32_t chain, std::uint32_t tokens, bool isRead);
    };

    struct peer_record
    {
        mono_time heardAt{};
        std::chrono::nanoseconds interval{0}; ///< Between its last two news.
        std::unordered_map<std::uint32_t, peer::runner_work> work; ///< By runner.
    };

    struct cached_news
    {
        peer::cached_chain chain;
        std::uint32_t repeatsLeft = 0;
    };

    void opened(const open_send &sent);
    void started(const open_send &sent);
    void ended(const open_send &sent);
    void noteOutcome(record &of, send_end how, mono_time now);
    static void noteCachedTokens(const record &of, const std::vector<prompt_part> &prompt,
                                 place_candidate &into);
    record &useParts(const runner_id &target, const std::vector<prompt_part> &prompt, bool isRead);
    void tellCached(std::uint32_t runner, const std::vector<prompt_part> &prompt, bool isRead);
    void takeOff(const peer_record &told);
    void dropSilentPeers(mono_time now);
    void judgeSlowness(std::vector<place_candidate> &candidates, mono_time now);

    const clock_source clock;
    std::mutex guard;
    std::unordered_map<std::uint32_t, record> records; ///< By runner.
    std::map<service_id, std::map<engine_stage, engine_pace>> paces;
    std::unordered_map<std::uint64_t, peer_record> peers; ///< By sender.
    std::array<std::deque<cached_news>, peer::newsAudiences> news;
};

} // namespace poplarspool::gateway
