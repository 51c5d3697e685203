#include "poplarspool/node/claims.h"

#include "node/claim_batcher.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/config.h"
#include "poplarspool/operators/config_store.h"

#include <algorithm>
#include <vector>

namespace poplarspool::node {

namespace {

/// Hex digits of a claim's name: 128 bits, beyond chance or intent to meet another's.
constexpr std::size_t nameDigits = 32;

bool isToken(const std::string &text)
{
    const auto isPrintable = [](char byte) { return byte > ' ' && byte <= '~'; };
    return !text.empty() && text.size() <= config::maxNameBytes
            && std::all_of(text.begin(), text.end(), isPrintable);
}

/// Asks come from other instances too: what is no claim must not get into the bucket, where it
/// would stop everyone from reading it.
std::optional<error> checkAsk(const peer::claim_ask &ask)
{
    const bool isSound = isToken(ask.key) && isToken(ask.bodyHash) && isToken(ask.nonce)
            && isToken(ask.owner.text);
    if (isSound)
        return std::nullopt;
    return notRun(error_code::BadRequest, "claim not granted: malformed");
}

/// Whether a batcher that failed so may be stepped past. Not where it has decided to refuse: its
/// bucket is full, or its share of the store's calls is used up.
bool mayStepPast(const error &fault)
{
    return fault.code != error_code::Overloaded && fault.code != error_code::Throttled
            && fault.code != error_code::BadRequest;
}

std::uint32_t countOf(milliseconds time)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, UINT32_MAX));
}

} // namespace

struct claim_book::state
{
    state(const std::string &deployment, platform::object_store &store, claim_peers peers,
          const std::function<milliseconds()> &keepTime, const clock_source &clock,
          metrics_registry &metrics, journal &events)
        : peers(std::move(peers)), clock(clock), events(events),
          fallbacks(metrics.counterOf("poplarspool_claim_fallbacks_total")),
          decisionTime(metrics.latencyOf("poplarspool_claim_seconds"))
    {
        for (std::uint32_t bucket = 0; bucket < config::claimBuckets; ++bucket) {
            auto writer = std::make_unique<claim_writer>(operators::claimKey(deployment, bucket),
                                                         store, keepTime, clock, metrics, events);
            batchers.push_back(std::make_unique<claim_batcher>(std::move(writer), clock));
        }
    }

    claim_batcher &batcherOf(const claim_wish &wish) { return *batchers[bucketOf(wish.ask.key)]; }
    claim_outcome decideHere(const claim_wish &wish, mono_time deadline);
    claim_outcome askBatcher(const endpoint &batcher, peer::claim_ask wanted, mono_time deadline);

    claim_peers peers;
    clock_source clock;
    journal &events;
    counter &fallbacks;
    latency &decisionTime;
    std::vector<std::unique_ptr<claim_batcher>> batchers; ///< One for each bucket.
};

claim_outcome claim_book::state::decideHere(const claim_wish &wish, mono_time deadline)
{
    if (const auto fault = checkAsk(wish.ask))
        return *fault;
    const mono_time begin = clock.mono();
    const mono_time end = std::min(deadline, begin + config::claimTryTime);
    claim_outcome outcome = batcherOf(wish).decide(wish, end);
    decisionTime.record(clock.mono() - begin);
    return outcome;
}

claim_outcome claim_book::state::askBatcher(const endpoint &batcher, peer::claim_ask wanted,
                                            mono_time deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock.mono());
    // Half of what is left, so that a batcher that is dead or frozen leaves time to decide here.
    wanted.timeLeftMs = countOf(std::min(left / 2, config::claimTryTime));
    return peers.ask(batcher, wanted);
}

claim_book::claim_book(const std::string &deployment, platform::object_store &store,
                       claim_peers peers, const std::function<milliseconds()> &keepTime,
                       const clock_source &clock, metrics_registry &metrics, journal &events)
    : inner(std::make_unique<state>(deployment, store, std::move(peers), keepTime, clock, metrics,
                                    events))
{ }

claim_book::~claim_book() = default;

result<peer::claim_reply> claim_book::claim(const peer::claim_ask &wanted, mono_time deadline)
{
    const claim_wish wish{wanted, std::nullopt};
    const auto batcher = inner->peers.batcherOf(bucketOf(wanted.key));
    if (!batcher)
        return inner->decideHere(wish, deadline);
    claim_outcome outcome = inner->askBatcher(*batcher, wanted, deadline);
    if (succeeded(outcome))
        return outcome;
    error fault = errorOf(outcome);
    if (mayStepPast(fault)) {
        // The batcher is a matter of speed: whoever writes the claim, the conditional write
        // decides. Where it did write ours and the answer was lost, it is found under the same
        // nonce.
        inner->fallbacks.add();
        inner->events.emit("claim_fallback",
                           {{"peer", textOf(*batcher)}, {"code", std::string(nameOf(fault.code))}});
        outcome = inner->decideHere(wish, deadline);
        inner->batcherOf(wish).release();
        return outcome;
    }
    fault.ran = verdict::NotRun;
    return fault;
}

result<peer::claim_reply> claim_book::decide(const peer::claim_ask &wanted, mono_time deadline)
{
    return inner->decideHere({wanted, std::nullopt}, deadline);
}

result<peer::claim_reply> claim_book::supersede(const peer::claim_ask &wanted,
                                                const std::string &dead, mono_time deadline)
{
    const claim_wish wish{wanted, dead};
    claim_outcome outcome = inner->decideHere(wish, deadline);
    if (inner->peers.batcherOf(bucketOf(wanted.key)))
        inner->batcherOf(wish).release();
    return outcome;
}

void claim_book::stop()
{
    for (const auto &batcher : inner->batchers)
        batcher->stop();
}

std::string claimNameOf(const std::string &workspace, const std::string &operation,
                        const std::string &idempotencyKey)
{
    // Lengths keep parts apart: "a" + "bc" and "ab" + "c" are other claims.
    std::string joined;
    for (const std::string *part : {&workspace, &operation, &idempotencyKey}) {
        joined += std::to_string(part->size());
        joined += ':';
        joined += *part;
    }
    return sha256Hex(joined).substr(0, nameDigits);
}

std::uint32_t bucketOf(const std::string &claimName)
{
    return static_cast<std::uint32_t>(hashOf(claimName) % config::claimBuckets);
}

} // namespace poplarspool::node
