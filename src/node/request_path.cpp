#include "node/request_path.h"

#include "poplarspool/base/hash.h"

#include <algorithm>
#include <thread>

namespace poplarspool::node {

namespace {

/// When a caller should come back to an instance that can't take work just now.
constexpr milliseconds comeBackTime{1000};

/// Counts a request while it is open.
class open_stream
{
public:
    explicit open_stream(std::atomic<std::uint32_t> &count) : count(count)
    {
        count.fetch_add(1, std::memory_order_relaxed);
    }
    ~open_stream() { count.fetch_sub(1, std::memory_order_relaxed); }
    open_stream(const open_stream &) = delete;
    open_stream &operator=(const open_stream &) = delete;

private:
    std::atomic<std::uint32_t> &count;
};

} // namespace

request_path::request_path(request_needs needs, view_hub &views, work_ledger &ledger,
                           demand_book &demand, duplicate_guard &duplicates, answer_book &answers,
                           runner::engine_api engines, runner::service_api services,
                           clock_source clock, metrics_registry &metrics, journal &events)
    : needs(std::move(needs)), views(views), ledger(ledger), demand(demand), duplicates(duplicates),
      answers(answers), engines(std::move(engines)), services(std::move(services)),
      clock(std::move(clock)), events(events), retries(config::retryShare, config::retryBurst),
      retried(metrics.counterOf("poplarspool_retries_total")),
      resumed(metrics.counterOf("poplarspool_resumes_total"))
{ }

milliseconds request_path::timeLeft(const admitted &pass) const
{
    return std::chrono::duration_cast<milliseconds>(pass.deadline - clock.mono());
}

result<admitted> request_path::admit(const caller::request_head &head,
                                     policy::request_facts facts) const
{
    admitted pass;
    pass.seen = views.current();
    if (needs.isClosed())
        return notRun(error_code::Unavailable, "this instance is shutting down", comeBackTime);
    if (!pass.seen->fleet || !pass.seen->book)
        return notRun(error_code::Unavailable, "no configuration yet", comeBackTime);
    if (!pass.seen->isFresh)
        return notRun(error_code::Unavailable, "this instance can't confirm its configuration",
                      comeBackTime);
    const policy::rules &book = *pass.seen->book;
    const result<caller_id> who = policy::admitCaller(book, head.bearerKey);
    if (!succeeded(who))
        return errorOf(who);
    facts.caller = valueOf(who).isValid() ? valueOf(who) : head.caller;
    facts.workspace = head.workspace;
    if (valueOf(who).isValid() && !policy::mayUse(book, valueOf(who), head.workspace))
        return notRun(error_code::Forbidden, "this caller may not act for that workspace");
    pass.ruling = policy::rulingOf(book, facts);
    pass.facts = std::move(facts);
    if (pass.ruling.needsKey && head.idempotencyKey.empty())
        return notRun(error_code::BadRequest,
                      "this request must carry the header "
                              + std::string(caller::idempotencyHeader));
    const milliseconds limit = head.timeLimit.value_or(pass.ruling.timeLimit);
    pass.deadline = head.arrivedAt + std::min(limit, config::maxTimeLimit);
    return pass;
}

result<caller::address_answer> request_path::addresses(const zone_id &zone)
{
    const policy::view_ptr now = views.current();
    caller::address_answer answer;
    answer.addresses =
            policy::rankAddresses(*now, zone, spread.fetch_add(1, std::memory_order_relaxed));
    answer.keepTime = now->book ? now->book->addressKeepTime : config::addressKeepTime;
    if (answer.addresses.empty())
        return notRun(error_code::Unavailable, "no instance takes callers", comeBackTime);
    return answer;
}

result<std::vector<std::string>> request_path::models(const caller::request_head &head)
{
    policy::request_facts facts;
    facts.method = "GET";
    const auto pass = admit(head, facts);
    if (!succeeded(pass))
        return errorOf(pass);
    std::vector<std::string> names;
    for (const policy::pool_spec &pool : valueOf(pass).seen->fleet->pools) {
        for (const policy::model_version &entry : pool.serves)
            names.push_back(entry.model);
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

result<policy::route_choice> request_path::choose(const policy::view &now,
                                                  policy::route_request wanted,
                                                  const std::vector<runner_handle> &avoid)
{
    thread_local std::vector<policy::sent_work> sent;
    ledger.snapshot(now, sent);
    wanted.avoid = avoid;
    const mono_time time = clock.mono();
    const auto slots = ledger.slotsOf(now);
    for (std::uint32_t i = 0; i < slots->size(); ++i) {
        const std::int64_t until = (*slots)[i]->avoidUntilNs.load(std::memory_order_relaxed);
        if (until > time.time_since_epoch().count())
            wanted.avoid.push_back({i});
    }
    return policy::route(now, wanted, sent, time, spread.fetch_add(1, std::memory_order_relaxed));
}

void request_path::noteFailure(const policy::view &now, const policy::route_choice &choice,
                               const caller::request_head &head, const error &failure)
{
    const policy::runner_spec &spec = now.fleet->runners[choice.runner.index];
    events.emit("try_failed",
                {{"request", head.request.text},
                 {"runner", spec.id.text},
                 {"code", std::string(nameOf(failure.code))},
                 {"verdict", std::string(nameOf(failure.ran))},
                 {"reason", failure.message}});
    if (failure.code != error_code::Unavailable)
        return;
    const mono_time until = clock.mono() + config::avoidTime;
    ledger.slotOf(now, choice.runner)
            ->avoidUntilNs.store(until.time_since_epoch().count(), std::memory_order_relaxed);
}

bool request_path::mayTryAgain(const error &failure, const admitted &pass, std::uint32_t tries)
{
    const bool isRepeatable = pass.ruling.repeat == policy::repeat_rule::Allowed;
    if (!policy::mayRetry(failure, isRepeatable, tries, timeLeft(pass)))
        return false;
    if (!retries.tryTake())
        return false;
    retried.add();
    return true;
}

result<runner::stream_end> request_path::runCompletion(const caller::completion_ask &ask,
                                                       const admitted &pass,
                                                       const text_receiver &onText)
{
    policy::route_request wanted;
    wanted.model = ask.model;
    wanted.promptTokens = policy::estimateTokens(ask.prompt);
    wanted.outputTokens = ask.maxTokens;
    wanted.prefixHash = policy::prefixHashOf(ask.model, ask.prompt);
    wanted.rank = pass.ruling.rank;
    wanted.zone = needs.zone;

    runner::generate_request work;
    work.request = ask.head.request;
    work.workspace = ask.head.workspace;
    work.model = ask.model;
    work.prompt = ask.prompt;
    work.maxTokens = ask.maxTokens;
    work.rank = pass.ruling.rank;

    std::vector<runner_handle> avoid;
    std::shared_ptr<const policy::inventory> avoidFleet;
    bool mayHaveBegun = false;
    retries.onRequest();
    for (std::uint32_t tries = 0;; ++tries) {
        const policy::view_ptr now = views.current();
        if (now->fleet != avoidFleet) {
            avoid.clear();
            avoidFleet = now->fleet;
        }
        wanted.timeLeft = timeLeft(pass);
        if (wanted.timeLeft <= milliseconds(0)) {
            error late = notRun(error_code::TimedOut, "the time limit has passed");
            late.ran = mayHaveBegun ? verdict::MayHaveRun : verdict::NotRun;
            return late;
        }
        const result<policy::route_choice> choice = choose(*now, wanted, avoid);
        if (!succeeded(choice)) {
            if (!mayHaveBegun)
                return errorOf(choice);
            // A stream that has begun is owed its rest: look again while its time limit lasts.
            avoid.clear();
            std::this_thread::sleep_for(config::resumePause);
            continue;
        }
        const policy::runner_spec &spec = now->fleet->runners[valueOf(choice).runner.index];
        if (tries == 0)
            demand.onRequest(spec.pool, wanted.promptTokens / spec.prefillTokensPerSecond,
                             wanted.outputTokens / spec.decodeTokensPerSecond);
        work.attempt = randomHex128();
        work.timeLeft = wanted.timeLeft;
        events.emit("dispatched",
                    {{"request", ask.head.request.text},
                     {"runner", spec.id.text},
                     {"resume", std::to_string(work.emitted.size())}});
        const result<runner::stream_end> outcome = [&] {
            const open_work entry(ledger.slotOf(*now, valueOf(choice).runner), wanted.promptTokens);
            return engines.generate(spec.address, work, [&](const runner::stream_token &token) {
                work.emitted.push_back(token.text);
                return onText(token.text);
            });
        }();
        if (succeeded(outcome))
            return outcome;
        error failure = errorOf(outcome);
        noteFailure(*now, valueOf(choice), ask.head, failure);
        mayHaveBegun = mayHaveBegun || failure.ran == verdict::MayHaveRun || !work.emitted.empty();
        if (mayHaveBegun)
            failure.ran = verdict::MayHaveRun;
        if (!mayTryAgain(failure, pass, tries + 1))
            return failure;
        if (!work.emitted.empty())
            resumed.add();
        avoid.push_back(valueOf(choice).runner);
    }
}

void request_path::complete(const caller::completion_ask &ask, caller::completion_sink &sink)
{
    const open_stream counted(streams);
    policy::request_facts facts;
    facts.model = ask.model;
    facts.method = "POST";
    facts.path = "/v1/completions";
    const auto pass = admit(ask.head, facts);
    if (!succeeded(pass))
        return sink.fail(errorOf(pass));
    if (valueOf(pass).ruling.repeat == policy::repeat_rule::Never
        && !ask.head.idempotencyKey.empty())
        return completeOnce(ask, valueOf(pass), sink);
    const auto outcome = runCompletion(ask, valueOf(pass),
                                       [&](const std::string &text) { return sink.token(text); });
    if (!succeeded(outcome))
        return sink.fail(errorOf(outcome));
    const runner::stream_end &end = valueOf(outcome);
    sink.finish({std::string(runner::nameOf(end.reason)), end.promptTokens, end.outputTokens});
}

std::optional<error> request_path::callService(const caller::service_ask &ask, http_sink &sink)
{
    const open_stream counted(streams);
    policy::request_facts facts;
    facts.service = ask.service;
    facts.method = ask.request.method;
    facts.path = ask.request.path;
    const auto pass = admit(ask.head, facts);
    if (!succeeded(pass))
        return errorOf(pass);
    if (valueOf(pass).ruling.repeat == policy::repeat_rule::Never
        && !ask.head.idempotencyKey.empty())
        return callServiceOnce(ask, valueOf(pass), sink);
    return runService(ask, valueOf(pass), sink, nullptr);
}

std::optional<error> request_path::runService(const caller::service_ask &ask, const admitted &pass,
                                              http_sink &sink, http_reply *kept)
{
    policy::route_request wanted;
    wanted.service = ask.service;
    wanted.rank = pass.ruling.rank;
    wanted.zone = needs.zone;
    std::vector<runner_handle> avoid;
    std::shared_ptr<const policy::inventory> avoidFleet;
    bool mayHaveBegun = false;
    retries.onRequest();
    for (std::uint32_t tries = 0;; ++tries) {
        const policy::view_ptr now = views.current();
        if (now->fleet != avoidFleet) {
            avoid.clear();
            avoidFleet = now->fleet;
        }
        wanted.timeLeft = timeLeft(pass);
        if (wanted.timeLeft <= milliseconds(0)) {
            error late = notRun(error_code::TimedOut, "the time limit has passed");
            late.ran = mayHaveBegun ? verdict::MayHaveRun : verdict::NotRun;
            return late;
        }
        const result<policy::route_choice> choice = choose(*now, wanted, avoid);
        if (!succeeded(choice)) {
            error refusal = errorOf(choice);
            refusal.ran = mayHaveBegun ? verdict::MayHaveRun : verdict::NotRun;
            return refusal;
        }
        const policy::runner_spec &spec = now->fleet->runners[valueOf(choice).runner.index];
        events.emit("dispatched", {{"request", ask.head.request.text}, {"runner", spec.id.text}});
        bool hasBegunReply = false;
        bool isCallerGone = false;
        const result<http_reply> outcome = [&] {
            const open_work entry(ledger.slotOf(*now, valueOf(choice).runner), 0);
            return services.call(
                    spec.address, ask.request, wanted.timeLeft,
                    [&](const http_reply &head) {
                        hasBegunReply = true;
                        if (kept)
                            *kept = head;
                        isCallerGone = !sink.begin(head.status, head.headers, head.contentType);
                        return !isCallerGone || kept;
                    },
                    [&](std::string_view piece) {
                        if (kept && kept->body.size() <= config::maxKeptAnswerBytes)
                            kept->body.append(piece);
                        isCallerGone = isCallerGone || !sink.write(piece);
                        return !isCallerGone || kept;
                    });
        }();
        if (succeeded(outcome)) {
            sink.end();
            return std::nullopt;
        }
        error failure = errorOf(outcome);
        noteFailure(*now, valueOf(choice), ask.head, failure);
        mayHaveBegun = mayHaveBegun || failure.ran == verdict::MayHaveRun;
        if (mayHaveBegun)
            failure.ran = verdict::MayHaveRun;
        // A reply that broke after its head can't be begun again. The sink goes without end(), so
        // that the caller sees a broken reply and not a short one.
        if (hasBegunReply)
            return failure;
        if (!mayTryAgain(failure, pass, tries + 1))
            return failure;
        avoid.push_back(valueOf(choice).runner);
    }
}

} // namespace poplarspool::node
