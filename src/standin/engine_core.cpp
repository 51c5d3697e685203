#include "standin/engine_core.h"

#include "standin/tokens.h"

#include <algorithm>
#include <utility>

namespace poplarspool::standin {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::size_t maxRequestRecords = 20000;

} // namespace

engine_core::engine_core(engine_options options)
    : options(std::move(options)),
      events(scaled(this->options.eventDelay), this->options.eventGapEvery),
      cache(this->options.batch.kvPieces,
            [this](bool isStored, std::uint64_t hash) {
                events.add(isStored, hash, steady::now());
            }),
      work(this->options.batch, cache), incarnation(nextIncarnation(0)), setup(this->options.setup),
      isCrashPlanned(this->options.crashInChange != crash_mode::None),
      lastFence(this->options.lastFence)
{ }

engine_core::~engine_core()
{
    stop();
}

void engine_core::start()
{
    thread = std::thread([this] { run(); });
}

void engine_core::stop()
{
    {
        const std::lock_guard guard(lock);
        isStopping = true;
        ++interruptions;
        closeAllStreams();
        changed.notify_all();
    }
    if (thread.joinable())
        thread.join();
}

std::chrono::nanoseconds engine_core::scaled(std::chrono::nanoseconds time) const
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time / options.speed);
}

// --- Batching ----------------------------------------------------------------------------------

void engine_core::run()
{
    guard_type guard(lock);
    while (!isStopping) {
        if (isDown) {
            changed.wait_until(guard, downUntil);
            isDown = !isStopping && steady::now() < downUntil;
        } else if (fault.mode == fault_mode::Freeze || (work.isEmpty() && !pendingSetup)) {
            changed.wait(guard);
        } else if (pendingSetup) {
            waitForChange(guard);
        } else {
            runIteration(guard);
        }
    }
}

role_rates engine_core::currentRates() const
{
    const double slowness = fault.mode == fault_mode::Slow ? fault.factor : 1.0;
    const double own = options.ownWorkShare / slowness;
    const double other = options.otherWorkShare / slowness;
    if (setup.role == "prefill")
        return {own, other};
    if (setup.role == "decode")
        return {other, own};
    return {1.0 / slowness, 1.0 / slowness};
}

void engine_core::runIteration(guard_type &guard)
{
    const batch_step step = work.plan(currentRates());
    const std::uint64_t before = interruptions;
    // Counted from the end of the last iteration, so that the time in which this process delivers
    // tokens to its connections does not slow down the emulated engine.
    const auto duration = scaled(step.duration);
    const time_point now = steady::now();
    const bool isNext = iterationEnd + duration > now;
    iterationEnd = (isNext ? std::min(iterationEnd, now) : now) + duration;
    const bool interrupted =
            changed.wait_until(guard, iterationEnd, [&] { return interruptions != before; });
    if (!interrupted)
        deliver(work.finish(step));
    recordReport();
}

void engine_core::deliver(const std::vector<sequence_ptr> &advanced)
{
    for (const sequence_ptr &one : advanced) {
        const auto found = streams.find(one.get());
        if (found == streams.end())
            continue;
        const engine_stream_ptr stream = found->second;
        stream->record->produced = one->produced;
        stream->channel.advance();
        if (one->produced < one->outputTokens)
            continue;
        stream->record->hasEnded = true;
        ++counts.finished;
        closeStream(stream, stream_state::Finished);
    }
}

// --- Streams -----------------------------------------------------------------------------------

bool engine_core::isModelLoaded(const std::string &model) const
{
    return std::any_of(setup.models.begin(), setup.models.end(),
                       [&](const engine_model &entry) { return entry.model == model; });
}

std::optional<engine_refusal> engine_core::admissionRefusal(const stream_spec &spec) const
{
    if (isStopping)
        return engine_refusal{503, "unavailable", "engine is stopping"};
    if (pendingSetup)
        return engine_refusal{409, "unavailable", "engine is changing its role or models"};
    if (!isModelLoaded(spec.model))
        return engine_refusal{409, "unavailable", "model is not loaded: " + spec.model};
    if (work.queuedCount() >= options.maxQueue)
        return engine_refusal{429, "overloaded", "queue is full"};
    return std::nullopt;
}

std::optional<engine_refusal> engine_core::consumeRequestFault(engine_stream &stream)
{
    const bool isPerRequest = fault.mode != fault_mode::None && fault.mode != fault_mode::Crash
            && fault.mode != fault_mode::Freeze && fault.mode != fault_mode::Slow;
    if (!isPerRequest)
        return std::nullopt;
    const fault_mode mode = fault.mode;
    stream.fault = mode;
    stream.faultAfter = fault.afterTokens;
    if (--fault.count == 0)
        fault = {};
    if (mode == fault_mode::Refuse)
        return engine_refusal{503, "unavailable", "refused by an injected fault"};
    return std::nullopt;
}

std::variant<engine_stream_ptr, engine_refusal> engine_core::submit(stream_spec spec)
{
    auto stream = std::make_shared<engine_stream>();
    stream->spec = std::move(spec);
    const stream_spec &requested = stream->spec;
    prefix_hash_chain chain(requested.model, options.batch.pieceTokens);
    chain.addPrompt(requested.prompt);
    for (const std::string &token : requested.emitted)
        chain.add(token);
    const auto emitted = static_cast<std::uint32_t>(requested.emitted.size());
    auto one = std::make_shared<sequence>();
    one->rank = requested.rank;
    one->hashes = chain.hashes();
    one->contextTokens = std::max(1U, promptTokensOf(requested.prompt) + emitted);
    one->outputTokens = requested.maxTokens - std::min(requested.maxTokens, emitted);
    stream->work = one;
    stream->record = std::make_shared<request_record>();
    stream->record->request = requested.request;
    stream->record->attempt = requested.attempt;
    stream->record->resumedFrom = emitted;

    const std::lock_guard guard(lock);
    auto refusal = admissionRefusal(requested);
    if (!refusal)
        refusal = consumeRequestFault(*stream);
    if (!refusal && !work.fits(*one))
        refusal = engine_refusal{413, "too_large", "request exceeds the KV memory"};
    if (refusal) {
        ++counts.refused;
        return *refusal;
    }
    one->arrival = ++arrivals;
    requests.push_back(stream->record);
    if (requests.size() > maxRequestRecords)
        requests.pop_front();
    ++counts.started;
    if (one->outputTokens == 0) {
        stream->record->hasEnded = true;
        ++counts.finished;
        stream->channel.close(stream_state::Finished);
        return stream;
    }
    streams[one.get()] = stream;
    work.add(one);
    changed.notify_all();
    return stream;
}

void engine_core::closeStream(const engine_stream_ptr &stream, stream_state state)
{
    stream->record->hasStarted = stream->work->hasStarted;
    streams.erase(stream->work.get());
    stream->channel.close(state);
}

void engine_core::cancel(const engine_stream_ptr &stream)
{
    const std::lock_guard guard(lock);
    if (streams.count(stream->work.get()) == 0)
        return;
    work.remove(stream->work);
    stream->record->wasCancelled = true;
    ++counts.cancelled;
    closeStream(stream, stream_state::Cut);
}

engine_stream_ptr engine_core::findStream(const std::string &request,
                                          const std::string &attempt) const
{
    for (const auto &entry : streams) {
        const stream_spec &spec = entry.second->spec;
        if (spec.request == request && (attempt.empty() || spec.attempt == attempt))
            return entry.second;
    }
    return nullptr;
}

bool engine_core::cancel(const std::string &request, const std::string &attempt)
{
    engine_stream_ptr found;
    {
        const std::lock_guard guard(lock);
        found = findStream(request, attempt);
    }
    if (!found)
        return false;
    cancel(found);
    return true;
}

void engine_core::cut(const engine_stream_ptr &stream)
{
    const std::lock_guard guard(lock);
    stream->record->wasCut = true;
    stream->record->hasEnded = false;
    ++counts.cut;
    if (streams.count(stream->work.get()) == 0)
        return;
    work.remove(stream->work);
    closeStream(stream, stream_state::Cut);
}

std::uint32_t engine_core::closeAllStreams()
{
    work.clear();
    std::uint32_t cutStreams = 0;
    const auto open = streams;
    for (const auto &entry : open) {
        const engine_stream_ptr &stream = entry.second;
        const bool hasBegun = stream->work->hasStarted;
        stream->record->wasCut = hasBegun;
        cutStreams += hasBegun ? 1 : 0;
        closeStream(stream, hasBegun ? stream_state::Cut : stream_state::Refused);
    }
    counts.cut += cutStreams;
    return cutStreams;
}

} // namespace poplarspool::standin
