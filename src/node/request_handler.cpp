#include "node/request_handler.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/node/limits.h"

#include <algorithm>
#include <thread>

namespace poplarspool::node {

namespace {

/// Retry-After for callers that this instance can't serve at the moment.
constexpr milliseconds retryAfterTime{1000};

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

/// Forwards a runner's reply to the caller, and copies it to `kept` if that is given. A kept reply
/// is read to its end even after its caller has disconnected: the caller's next attempt gets it.
class reply_forwarder
{
public:
    reply_forwarder(http_sink &sink, http_reply *kept) : sink(sink), kept(kept) { }

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
        if (kept && kept->body.size() <= config::maxStoredAnswerBytes)
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

runner::generate_request generateRequestFor(const caller::completion_request &request,
                                            const admitted_request &admission)
{
    runner::generate_request generation;
    generation.request = request.head.request;
    generation.workspace = request.head.workspace;
    generation.model = request.model;
    generation.prompt = request.prompt;
    generation.maxTokens = request.maxTokens;
    generation.rank = admission.ruling.rank;
    return generation;
}

} // namespace

request_handler::request_handler(request_dependencies dependencies, view_publisher &views,
                                 sent_work_table &sentWork, demand_table &demand,
                                 request_deduplicator &duplicates, answer_table &answers,
                                 runner::engine_api engines, runner::service_api services,
                                 clock_source clock, metrics_registry &metrics, journal &events)
    : dependencies(std::move(dependencies)), views(views), sentWork(sentWork), demand(demand),
      duplicates(duplicates), answers(answers), engines(std::move(engines)),
      services(std::move(services)), clock(std::move(clock)), events(events),
      dispatch(views, sentWork, this->clock, metrics, events),
      resumed(metrics.counterOf("poplarspool_resumes_total"))
{ }

result<admitted_request> request_handler::admit(const caller::request_head &head,
                                                policy::request_facts facts) const
{
    admitted_request admission;
    admission.view = views.current();
    if (dependencies.isClosed())
        return notRun(error_code::Unavailable, "this instance is shutting down", retryAfterTime);
    if (streams.load(std::memory_order_relaxed) > dependencies.maxStreams)
        return notRun(error_code::Overloaded, "too many open requests", retryAfterTime);
    if (!admission.view->fleet || !admission.view->ruleSet)
        return notRun(error_code::Unavailable, "this instance has no configuration yet",
                      retryAfterTime);
    if (!policy::isFresh(*admission.view, clock.mono()))
        return notRun(error_code::Unavailable,
                      "this instance can't confirm that its configuration is current",
                      retryAfterTime);
    const policy::rules &rules = *admission.view->ruleSet;
    const result<caller_id> callerId = policy::authenticateCaller(rules, head.bearerKey);
    if (!succeeded(callerId))
        return errorOf(callerId);
    facts.caller = valueOf(callerId).isValid() ? valueOf(callerId) : head.caller;
    facts.workspace = head.workspace;
    if (valueOf(callerId).isValid()
        && !policy::mayUseWorkspace(rules, valueOf(callerId), head.workspace))
        return notRun(error_code::Forbidden, "this caller may not use that workspace");
    admission.ruling = policy::effectiveRulesOf(rules, facts);
    admission.facts = std::move(facts);
    if (admission.ruling.needsKey && head.idempotencyKey.empty())
        return notRun(error_code::BadRequest,
                      "this request must carry the header "
                              + std::string(caller::idempotencyHeader));
    const milliseconds limit = head.timeLimit.value_or(admission.ruling.timeLimit);
    admission.deadline = head.arrivedAt + std::min(limit, config::maxTimeLimit);
    return admission;
}

result<caller::address_answer> request_handler::addresses(const zone_id &zone)
{
    const policy::view_ptr now = views.current();
    caller::address_answer answer;
    answer.addresses = policy::rankAddresses(*now, zone, dispatch.nextTieBreaker());
    answer.keepTime = now->ruleSet ? now->ruleSet->addressKeepTime : config::addressKeepTime;
    if (answer.addresses.empty())
        return notRun(error_code::Unavailable, "no instance accepts callers", retryAfterTime);
    return answer;
}

result<std::vector<std::string>> request_handler::models(const caller::request_head &head)
{
    policy::request_facts facts;
    facts.method = "GET";
    const auto admission = admit(head, facts);
    if (!succeeded(admission))
        return errorOf(admission);
    std::vector<std::string> names;
    for (const policy::pool_spec &pool : valueOf(admission).view->fleet->pools) {
        for (const policy::model_version &entry : pool.serves)
            names.push_back(entry.model);
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

result<runner::stream_end> request_handler::runCompletion(const caller::completion_request &request,
                                                          const admitted_request &admission,
                                                          const text_receiver &onText)
{
    policy::route_request wanted = routeRequestFor(request, admission);
    runner::generate_request generation = generateRequestFor(request, admission);
    recordDemand(*admission.view, wanted);
    try_series tries(dispatch, admission, request.head.request);
    for (;;) {
        const result<chosen_runner> choice = tries.next(wanted);
        if (!succeeded(choice)) {
            if (errorOf(choice).code == error_code::TimedOut || !tries.mayHaveStarted())
                return errorOf(choice);
            // A stream that has begun must be completed, so choosing is retried within its time
            // limit.
            tries.clearAvoided();
            std::this_thread::sleep_for(config::resumeRetryPause);
            continue;
        }
        const chosen_runner &to = valueOf(choice);
        generation.attempt = randomHex128();
        generation.timeLeft = wanted.timeLeft;
        result<runner::stream_end> outcome = tryOnce(to, generation, onText);
        if (succeeded(outcome))
            return outcome;
        error failure = errorOf(outcome);
        if (!generation.emitted.empty())
            failure.ran = verdict::MayHaveRun;
        const std::optional<error> ending =
                tries.onFailure(to, failure,
                                generation.emitted.empty() ? response_progress::NotStarted
                                                           : response_progress::PartlySent);
        if (ending)
            return *ending;
        if (!generation.emitted.empty())
            resumed.add();
    }
}

/// Requests that routing refuses count too: they show the planner that there are too few engines.
void request_handler::recordDemand(const policy::view &now, const policy::route_request &wanted)
{
    for (const policy::runner_spec &spec : now.fleet->runners) {
        const auto carries = [&](const policy::model_version &entry) {
            return entry.model == wanted.model;
        };
        if (std::none_of(spec.supportedModels.begin(), spec.supportedModels.end(), carries))
            continue;
        demand.onRequest(spec.pool, wanted.promptTokens / spec.prefillTokensPerSecond,
                         wanted.outputTokens / spec.decodeTokensPerSecond);
        return;
    }
}

policy::route_request request_handler::routeRequestFor(const caller::completion_request &request,
                                                       const admitted_request &admission) const
{
    policy::route_request wanted;
    wanted.model = request.model;
    wanted.promptTokens = policy::estimateTokens(request.prompt);
    wanted.outputTokens = request.maxTokens;
    wanted.prefixHash = policy::prefixHashOf(request.model, request.prompt);
    wanted.rank = admission.ruling.rank;
    wanted.zone = dependencies.zone;
    return wanted;
}

result<runner::stream_end> request_handler::tryOnce(const chosen_runner &to,
                                                    runner::generate_request &generation,
                                                    const text_receiver &onText)
{
    events.emit("dispatched",
                {{"request", generation.request.text},
                 {"runner", to.spec().id.text},
                 {"resume", std::to_string(generation.emitted.size())}});
    std::vector<std::string> received;
    auto outcome =
            engines.generate(to.spec().address, generation, [&](const runner::stream_token &token) {
                to.work->onAnswer();
                received.push_back(token.text);
                return onText(token.text);
            });
    std::move(received.begin(), received.end(), std::back_inserter(generation.emitted));
    return outcome;
}

void request_handler::complete(const caller::completion_request &request,
                               caller::completion_sink &sink)
{
    const open_stream counted(streams);
    policy::request_facts facts;
    facts.model = request.model;
    facts.method = "POST";
    facts.path = "/v1/completions";
    const auto admission = admit(request.head, facts);
    if (!succeeded(admission))
        return sink.fail(errorOf(admission));
    if (valueOf(admission).ruling.repeat == policy::retry_policy::Never
        && !request.head.idempotencyKey.empty())
        return completeAtMostOnce(request, valueOf(admission), sink);
    auto outcome = runCompletion(request, valueOf(admission),
                                 [&](const std::string &text) { return sink.token(text); });
    if (!succeeded(outcome))
        return sink.fail(errorOf(outcome));
    const runner::stream_end &end = valueOf(outcome);
    sink.finish({std::string(runner::nameOf(end.reason)), end.promptTokens, end.outputTokens});
}

std::optional<error> request_handler::callService(const caller::service_request &call,
                                                  http_sink &sink)
{
    const open_stream counted(streams);
    policy::request_facts facts;
    facts.service = call.service;
    facts.method = call.request.method;
    facts.path = call.request.path;
    const auto admission = admit(call.head, facts);
    if (!succeeded(admission))
        return errorOf(admission);
    if (valueOf(admission).ruling.repeat == policy::retry_policy::Never
        && !call.head.idempotencyKey.empty())
        return callServiceAtMostOnce(call, valueOf(admission), sink);
    return runService(call, valueOf(admission), sink, nullptr);
}

std::optional<error> request_handler::runService(const caller::service_request &call,
                                                 const admitted_request &admission, http_sink &sink,
                                                 http_reply *kept)
{
    policy::route_request wanted;
    wanted.service = call.service;
    wanted.rank = admission.ruling.rank;
    wanted.zone = dependencies.zone;
    try_series tries(dispatch, admission, call.head.request);
    for (;;) {
        const result<chosen_runner> choice = tries.next(wanted);
        if (!succeeded(choice))
            return errorOf(choice);
        const chosen_runner &to = valueOf(choice);
        events.emit("dispatched",
                    {{"request", call.head.request.text}, {"runner", to.spec().id.text}});
        reply_forwarder forwarder(sink, kept);
        const result<http_reply> outcome = [&] {
            return services.call(
                    to.spec().address, call.request, wanted.timeLeft,
                    [&](const http_reply &head) {
                        to.work->onAnswer();
                        return forwarder.onHead(head);
                    },
                    [&](std::string_view piece) { return forwarder.onPiece(piece); });
        }();
        if (succeeded(outcome)) {
            sink.end();
            return std::nullopt;
        }
        const std::optional<error> ending =
                tries.onFailure(to, errorOf(outcome), response_progress::NotStarted);
        if (ending)
            return *ending;
        // A reply that failed after its head can't be started again. The sink is closed without
        // end(), so that the caller sees an incomplete reply and not a short one.
        if (forwarder.hasBegun())
            return mayHaveRun(error_code::Broken,
                              "the runner's reply ended before it was complete");
    }
}

} // namespace poplarspool::node
