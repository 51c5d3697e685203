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

/// Hands a runner's reply on to the caller, and keeps a copy where one is wanted. A kept reply is
/// read to its end even when its caller has gone: the caller's next try gets it.
class reply_relay
{
public:
    reply_relay(http_sink &sink, http_reply *kept) : sink(sink), kept(kept) { }

    bool onHead(const http_reply &head)
    {
        begun = true;
        if (kept)
            *kept = head;
        isCallerGone = !sink.begin(head.status, head.headers, head.contentType);
        return !isCallerGone || kept;
    }

    bool onPiece(std::string_view piece)
    {
        if (kept && kept->body.size() <= config::maxKeptAnswerBytes)
            kept->body.append(piece);
        isCallerGone = isCallerGone || !sink.write(piece);
        return !isCallerGone || kept;
    }

    bool hasBegun() const { return begun; }

private:
    http_sink &sink;
    http_reply *kept;
    bool begun = false;
    bool isCallerGone = false;
};

runner::generate_request workFor(const caller::completion_ask &ask, const admitted &pass)
{
    runner::generate_request work;
    work.request = ask.head.request;
    work.workspace = ask.head.workspace;
    work.model = ask.model;
    work.prompt = ask.prompt;
    work.maxTokens = ask.maxTokens;
    work.rank = pass.ruling.rank;
    return work;
}

} // namespace

request_path::request_path(request_needs needs, view_hub &views, work_ledger &ledger,
                           demand_book &demand, duplicate_guard &duplicates, answer_book &answers,
                           runner::engine_api engines, runner::service_api services,
                           clock_source clock, metrics_registry &metrics, journal &events)
    : needs(std::move(needs)), views(views), ledger(ledger), demand(demand), duplicates(duplicates),
      answers(answers), engines(std::move(engines)), services(std::move(services)),
      clock(std::move(clock)), events(events), where(views, ledger, this->clock, metrics, events),
      resumed(metrics.counterOf("poplarspool_resumes_total"))
{ }

result<admitted> request_path::admit(const caller::request_head &head,
                                     policy::request_facts facts) const
{
    admitted pass;
    pass.seen = views.current();
    if (needs.isClosed())
        return notRun(error_code::Unavailable, "this instance is shutting down", comeBackTime);
    if (streams.load(std::memory_order_relaxed) > needs.maxStreams)
        return notRun(error_code::Overloaded, "too many open requests", comeBackTime);
    if (!pass.seen->fleet || !pass.seen->book)
        return notRun(error_code::Unavailable, "no configuration yet", comeBackTime);
    if (!policy::isFresh(*pass.seen, clock.mono()))
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
    answer.addresses = policy::rankAddresses(*now, zone, where.nextSpread());
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

result<runner::stream_end> request_path::runCompletion(const caller::completion_ask &ask,
                                                       const admitted &pass,
                                                       const text_receiver &onText)
{
    policy::route_request wanted = wantedFor(ask, pass);
    runner::generate_request work = workFor(ask, pass);
    countDemand(*pass.seen, wanted);
    try_series tries(where, pass, ask.head.request);
    for (;;) {
        const result<chosen_runner> choice = tries.next(wanted);
        if (!succeeded(choice)) {
            if (errorOf(choice).code == error_code::TimedOut || !tries.mayHaveBegun())
                return errorOf(choice);
            // A stream that has begun is owed its rest: look again while its time limit lasts.
            tries.forgetFailures();
            std::this_thread::sleep_for(config::resumePause);
            continue;
        }
        const chosen_runner &to = valueOf(choice);
        work.attempt = randomHex128();
        work.timeLeft = wanted.timeLeft;
        result<runner::stream_end> outcome = tryOnce(to, work, onText);
        if (succeeded(outcome))
            return outcome;
        error failure = errorOf(outcome);
        if (!work.emitted.empty())
            failure.ran = verdict::MayHaveRun;
        const std::optional<error> ending =
                tries.onFailure(to, failure, work.emitted.empty() ? rest::NotBegun : rest::Owed);
        if (ending)
            return *ending;
        if (!work.emitted.empty())
            resumed.add();
    }
}

/// Refused work counts too: it is what the planner has too few engines for.
void request_path::countDemand(const policy::view &now, const policy::route_request &wanted)
{
    for (const policy::runner_spec &spec : now.fleet->runners) {
        const auto carries = [&](const policy::model_version &entry) {
            return entry.model == wanted.model;
        };
        if (std::none_of(spec.mayCarry.begin(), spec.mayCarry.end(), carries))
            continue;
        demand.onRequest(spec.pool, wanted.promptTokens / spec.prefillTokensPerSecond,
                         wanted.outputTokens / spec.decodeTokensPerSecond);
        return;
    }
}

policy::route_request request_path::wantedFor(const caller::completion_ask &ask,
                                              const admitted &pass) const
{
    policy::route_request wanted;
    wanted.model = ask.model;
    wanted.promptTokens = policy::estimateTokens(ask.prompt);
    wanted.outputTokens = ask.maxTokens;
    wanted.prefixHash = policy::prefixHashOf(ask.model, ask.prompt);
    wanted.rank = pass.ruling.rank;
    wanted.zone = needs.zone;
    return wanted;
}

result<runner::stream_end> request_path::tryOnce(const chosen_runner &to,
                                                 runner::generate_request &work,
                                                 const text_receiver &onText)
{
    events.emit("dispatched",
                {{"request", work.request.text},
                 {"runner", to.spec().id.text},
                 {"resume", std::to_string(work.emitted.size())}});
    std::vector<std::string> received;
    auto outcome =
            engines.generate(to.spec().address, work, [&](const runner::stream_token &token) {
                to.work->onAnswer();
                received.push_back(token.text);
                return onText(token.text);
            });
    std::move(received.begin(), received.end(), std::back_inserter(work.emitted));
    return outcome;
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
    auto outcome = runCompletion(ask, valueOf(pass),
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
    try_series tries(where, pass, ask.head.request);
    for (;;) {
        const result<chosen_runner> choice = tries.next(wanted);
        if (!succeeded(choice))
            return errorOf(choice);
        const chosen_runner &to = valueOf(choice);
        events.emit("dispatched",
                    {{"request", ask.head.request.text}, {"runner", to.spec().id.text}});
        reply_relay relay(sink, kept);
        const result<http_reply> outcome = [&] {
            return services.call(
                    to.spec().address, ask.request, wanted.timeLeft,
                    [&](const http_reply &head) {
                        to.work->onAnswer();
                        return relay.onHead(head);
                    },
                    [&](std::string_view piece) { return relay.onPiece(piece); });
        }();
        if (succeeded(outcome)) {
            sink.end();
            return std::nullopt;
        }
        const std::optional<error> ending = tries.onFailure(to, errorOf(outcome), rest::NotBegun);
        if (ending)
            return *ending;
        // A reply that broke after its head can't be begun again. The sink goes without end(), so
        // that the caller sees a broken reply and not a short one.
        if (relay.hasBegun())
            return mayHaveRun(error_code::Broken, "the runner's reply broke");
    }
}

} // namespace poplarspool::node
