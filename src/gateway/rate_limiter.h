#pragma once

#include "gateway/limit_fleet.h"
#include "gateway/limit_message.h"
#include "gateway/permit_issuer.h"
#include "gateway/rate_limit_table.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/gateway/placement.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace poplarspool::gateway {

/// @returns The limit in requests per second, or "none".
std::string textOfLimit(const std::optional<double> &perSecond);

/// How a runner has answered a request.
enum class reply_kind {
    Accepted, ///< It has begun to work on the request.
    Refused, ///< It has not run the request.
    Withdrawn, ///< The same, and it wants no others: that is no limit for all instances.
};

inline reply_kind refusalKind(bool isWithdrawn)
{
    return isWithdrawn ? reply_kind::Withdrawn : reply_kind::Refused;
}

/// The right to send one request to a runner.
struct rate_permit
{
    std::uint32_t runner = 0; ///< peer::runnerKey() of its id.
    mono_time expiresAt = mono_time::max(); ///< Later it may not be used.
    bool isLimited = false; ///< False: the runner has no limit.

    bool operator==(const rate_permit &) const = default;
};

struct permit_denied
{
    /// When asking again may help; 0: only another request may get one.
    milliseconds retryIn{0};

    bool operator==(const permit_denied &) const = default;
};

/// What the rate limiter needs from its instance.
struct rate_limiter_dependencies
{
    std::string headerName; ///< Header in which runners name their limit.
    /// Sends a payload to other instances.
    std::function<void(const std::vector<endpoint> &to, const result<std::string> &payload)> send;
    /// @returns The number of requests sent to the runner within the last second.
    std::function<std::uint32_t(std::uint32_t runner)> recentSends;
    /// @returns The number of requests that the runner has begun within the last second.
    std::function<std::uint32_t(std::uint32_t runner)> recentStarts;
    /// @returns The runner's id, for log lines; empty if it isn't listed.
    std::function<std::string(std::uint32_t runner)> nameOf;
    const peer::fleet_view &fleet; ///< The instances that share the limits.
    clock_source clock;
    metrics_registry &metrics;
    journal &events;
};

/// Keeps the rate limits that runners name, and those that follow from their refusals, together
/// with all other instances: each request to a runner with a limit needs a permit, and for each
/// runner one instance issues the permits of all. That instance is asked when a request is to be
/// sent, so that the permits go where the requests are, however unevenly they come.
class rate_limiter
{
public:
    rate_limiter(rate_limiter_dependencies given, const instance_id &self);

    // Called while handling requests.

    /// Called with the headers of each reply that the runner has written itself.
    /// @param askedAt When the request was sent.
    void recordReply(const runner &target, const http_headers &headers, reply_kind kind,
                     mono_time askedAt);
    /// @returns None if the runner has no limit.
    std::optional<double> limitOf(const runner &target) const;
    /// May wait for the reply of another instance, for at most two config::permitReplyTimeout.
    std::variant<rate_permit, permit_denied> acquire(const runner &target, send_class urgency);
    /// Returns a permit that was not used.
    void release(const rate_permit &permit);
    /// Sets limitedForMs of the candidates for which no permit is to be had now.
    void markLimited(std::vector<placement_candidate> &candidates) const;

    // Called from the thread that exchanges limits.

    /// @returns False if the payload can't be decoded.
    bool receive(std::uint64_t sender, std::string_view payload);
    /// Sends the changes that other instances may not know yet.
    /// @returns When to call it again.
    mono_time sendDue();

    /// Called when the runners change.
    void removeUnlisted(const runner_set &listed);

private:
    /// Permits of one runner.
    struct runner_permits
    {
        std::deque<mono_time> stock; ///< When the unused ones expire.
        mono_time deniedUntil{};
        /// Requests sent in the second before the limit was known, until the issuer has been told.
        std::uint32_t sentBefore = 0;
        std::uint64_t issuersVersion = 0; ///< Of the fleet that `issuers` were chosen from.
        issuer_pair issuers;
    };

    /// Refusals of a runner that has no limit.
    struct refusal_streak
    {
        std::uint32_t count = 0;
        mono_time lastAt{};
    };

    struct pending_notice
    {
        limit_notice notice;
        mono_time writtenAt{}; ///< The ages in `notice` are as of then.
        int sendsLeft = 0;
    };

    std::optional<rate_limit_observation> observationOf(const runner &target, reply_kind kind,
                                                        const rate_limit_reading &reading,
                                                        mono_time askedAt);
    std::optional<double> inferLimit(std::uint32_t runner, mono_time askedAt);
    void recordChange(std::uint32_t runner, const rate_limit_observation &observed, bool isOwn);
    void logChange(std::uint32_t runner, const rate_limit_change &change,
                   const rate_limit_observation &observed, bool isOwn);
    void queueNotice(std::uint32_t runner, const rate_limit_observation &observed);
    bool areNoticesDue();
    limit_notice noticeOf(std::uint32_t runner, const rate_limit_observation &observed) const;
    rate_limit_observation observationOf(const limit_notice &notice) const;
    issuer_pair issuersFor(std::uint32_t runner, const peer::fleet &fleet);
    /// @returns None without a reply.
    std::optional<permit_reply> ask(const peer::fleet_instance &issuer, permit_request request);
    permit_reply issueHere(const permit_request &request, const peer::fleet &fleet);
    std::variant<rate_permit, permit_denied> takeFromStock(std::uint32_t runner, mono_time now);
    std::variant<rate_permit, permit_denied>
    applyReply(const runner &target, const permit_reply &reply, mono_time askedAt);
    std::vector<std::size_t> issuersToAsk(std::uint32_t runner, const peer::fleet &fleet,
                                          mono_time now);
    void receiveRequest(std::uint64_t sender, const permit_request &request);
    void receiveReply(const permit_reply &reply);
    void receiveUpdate(limit_update update);
    void sendNotices(const std::vector<limit_notice> &notices);

    const rate_limiter_dependencies dependencies;
    const std::uint64_t selfNumber;
    gauge &limitedRunners;
    counter &granted;
    counter &denied;
    counter &unanswered;
    counter &issued;
    rate_limit_table table;
    permit_issuer issuer;

    mutable std::mutex guard;
    std::condition_variable replied;
    std::unordered_map<std::uint32_t, runner_permits> permits;
    std::unordered_map<std::uint32_t, refusal_streak> refusals;
    /// By number: requests that wait for a reply, and the reply once it is there.
    std::map<std::uint64_t, std::optional<permit_reply>> waiting;
    std::uint64_t lastNumber = 0;
    /// Issuers that did not reply, by their number, and until when they are not asked.
    std::map<std::uint64_t, mono_time> silentUntil;
    std::deque<pending_notice> notices;
    mono_time noticesSentAt{};
};

} // namespace poplarspool::gateway
