#pragma once

#include "crashes/crash_message.h"
#include "crashes/crash_table.h"
#include "crashes/served_parts.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/peer/fleet.h"
#include "poplarspool/peer/gossip.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace poplarspool::crashes {

/// What the judge of parts needs from its instance.
struct part_judge_dependencies
{
    instance_id self;
    const peer::fleet_view &fleet;
    /// Sends a payload to other instances, given by their addresses for gossip. Thread-safe.
    std::function<void(const std::vector<endpoint> &to, const result<std::string> &payload)> send;
    /// Sends a rumor to the other instances by gossip.
    std::function<void(peer::rumor)> spreadRumor;
    clock_source clock;
    metrics_registry &metrics;
    /// Called with the keys of parts that were convicted, by this instance or by another one.
    std::function<void(const std::vector<std::uint64_t> &keys, bool isOwn)> onVerdicts;
};

/// This instance's share in finding out which parts of prompts crash runners.
///
/// Each instance sees only the ends under its own requests, and has served only some of the
/// requests with a part. So rendezvous hashing chooses a few judges for each part. Every end is
/// told to them and to a few more instances, which then don't retry requests with the part. When a
/// part's second moment with an end is known, its judges ask all instances whether they have served
/// it; a judge convicts it at the earliest config::witnessTime later, and tells all instances. The
/// traffic doesn't grow with the fleet but for questions and verdicts, which are rare. Thread-safe.
class part_judge
{
public:
    part_judge(part_judge_dependencies given, crash_table &table);

    /// Records for the request's parts that a runner ended while it executed the request, and tells
    /// their judges.
    void reportEnd(const request_suspects &suspects, const ended_incarnation &ended);
    /// Records that a request was served completely, and tells others which ends that clears.
    /// @param cleared Records of parts of which ends were cleared.
    void reportServed(const request_suspects &suspects, const std::vector<crash_record> &cleared);
    /// @returns Whether a request with the part was ever served, as far as is known here.
    bool wasServed(std::uint64_t key) const;
    /// @returns Whether this instance may send one request with the part, whose quarantine is over.
    bool takeTrial(std::uint64_t key);

    /// Handles a datagram of another instance.
    /// @returns False if the payload can't be decoded.
    bool receive(std::uint64_t sender, std::string_view payload);
    /// Asks about the parts that are suspected, and convicts those of which enough is known. Called
    /// at every report, and until replies to questions have had time to arrive.
    /// @returns When to call it again.
    mono_time judge();

private:
    /// The last question about a part.
    struct question
    {
        mono_time askedAt{};
        std::size_t incarnations = 0; ///< Those that were known.
        bool isJudge = false; ///< This instance is one of the part's judges, and has asked.
    };

    std::vector<endpoint> rankedAddresses(std::uint64_t key, std::size_t count) const;
    std::optional<std::size_t> ownRank(std::uint64_t key) const;
    void sendToJudges(const crash_record &record) const;
    void sendToAll(const crash_record &record) const;
    void testify(const crash_record &asked);
    void informOfVerdicts(std::uint64_t sender, const end_notice &notice) const;
    bool isDue();
    std::vector<std::uint64_t> questionsDue(const std::vector<suspected_part> &suspected);
    void ask(std::uint64_t key);
    std::set<std::uint64_t> answeredParts() const;
    mono_time nextCall() const;
    void announce(std::uint64_t key);

    const part_judge_dependencies dependencies;
    crash_table &table;
    served_parts served;
    counter &questions;
    counter &verdicts;
    mutable std::mutex guard;
    mono_time judgedAt{};
    std::map<std::uint64_t, question> asked; ///< Of suspected parts, by key.
    std::map<std::uint64_t, mono_time> triedAt; ///< Of convicted parts, by key.
};

} // namespace poplarspool::crashes
