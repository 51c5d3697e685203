#include "standin/engine_core.h"

#include "poplarspool/base/clock.h"
#include "standin/tokens.h"

#include <algorithm>
#include <cstdlib>

/// Orders, crashes, KV transfer and load reports of the emulated engine.
namespace poplarspool::standin {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::size_t maxBlobs = 256;
constexpr std::size_t maxReports = 4096;
constexpr int reportsPerLag = 16;
constexpr int crashExitStatus = 70;

} // namespace

// --- Orders and crashes ------------------------------------------------------------------------

std::optional<engine_refusal> engine_core::order(std::uint64_t fence, const std::string &nonce,
                                                 const engine_setup &requested)
{
    const std::lock_guard guard(lock);
    order_record record{fence, nonce, requested};
    const bool isRepeat = fence == lastFence && nonce == lastNonce;
    record.wasStale = fence < lastFence || (fence == lastFence && !lastNonce.empty() && !isRepeat);
    if (record.wasStale && options.respectsFence) {
        ++counts.staleOrdersRefused;
        counts.orders.push_back(record);
        return engine_refusal{409, "stale",
                              "fencing number is stale; highest seen is "
                                      + std::to_string(lastFence)};
    }
    counts.staleOrdersObeyed += record.wasStale ? 1 : 0;
    lastFence = options.respectsFence ? fence : std::max(fence, lastFence);
    lastNonce = nonce;
    record.wasObeyed = true;
    const engine_setup &latestSetup = pendingSetup ? *pendingSetup : setup;
    if (!(latestSetup == requested)) {
        counts.ordersDuringChange += pendingSetup ? 1 : 0;
        record.streamsCut = closeAllStreams();
        startChange(requested);
    }
    counts.orders.push_back(record);
    return std::nullopt;
}

void engine_core::waitForChange(guard_type &guard)
{
    const auto half = scaled(options.changeTime) / 2;
    const std::uint64_t before = interruptions;
    const auto isInterrupted = [&] { return interruptions != before; };
    if (isCrashPlanned) {
        if (changed.wait_until(guard, changeEndsAt - half, isInterrupted))
            return;
        if (options.crashInChange == crash_mode::Exit)
            std::_Exit(crashExitStatus);
        isCrashPlanned = false;
        crash();
        return;
    }
    if (changed.wait_until(guard, changeEndsAt, isInterrupted))
        return;
    finishChange();
    recordReport();
}

std::uint64_t engine_core::nextIncarnation(std::uint64_t last)
{
    const auto wall = systemClock().wall().time_since_epoch();
    return std::max(last + 1, static_cast<std::uint64_t>(wall.count()));
}

void engine_core::startChange(const engine_setup &requested)
{
    pendingSetup = requested;
    changeEndsAt = steady::now() + scaled(options.changeTime);
    ++interruptions;
    changed.notify_all();
}

void engine_core::finishChange()
{
    // Loading weights lays out the memory again, so no KV survives a change.
    cache.clear();
    setup = *pendingSetup;
    pendingSetup.reset();
    ++counts.changes;
}

void engine_core::crash()
{
    closeAllStreams();
    cache.clear();
    events.restart();
    reports.clear();
    reportSequence = 0;
    blobs.clear();
    pendingSetup.reset();
    setup = options.setup;
    incarnation = nextIncarnation(incarnation);
    isDown = true;
    downUntil = steady::now() + scaled(options.changeTime);
    ++interruptions;
    changed.notify_all();
}

bool engine_core::waitUntilReachable()
{
    guard_type guard(lock);
    changed.wait(guard, [this] { return isStopping || fault.mode != fault_mode::Freeze; });
    return !isStopping && !isDown;
}

void engine_core::setFault(const engine_fault &requested)
{
    const std::lock_guard guard(lock);
    fault = requested;
    if (requested.mode == fault_mode::Crash) {
        fault = {};
        crash();
    }
    // A frozen engine must not finish its current iteration.
    ++interruptions;
    changed.notify_all();
}

// --- KV ----------------------------------------------------------------------------------------

std::variant<kv_blob, engine_refusal> engine_core::exportKv(const std::string &request)
{
    const std::lock_guard guard(lock);
    const engine_stream_ptr stream = findStream(request, {});
    if (!stream)
        return engine_refusal{404, "not_found", "no such stream"};
    const stream_spec &spec = stream->spec;
    prefix_hash_chain chain(spec.model, options.batch.pieceTokens);
    chain.addPrompt(spec.prompt);
    for (const std::string &token : spec.emitted)
        chain.add(token);
    const auto first = static_cast<std::uint32_t>(spec.emitted.size());
    for (std::uint32_t i = 0; i < stream->work->produced; ++i)
        chain.add(standinToken(spec.prompt, first + i));
    kv_blob blob{++blobNumber, stream->work->computed, chain.hashes()};
    blob.hashes.resize(
            std::min<std::size_t>(blob.hashes.size(), blob.tokens / options.batch.pieceTokens));
    blobs.push_back(blob);
    if (blobs.size() > maxBlobs)
        blobs.pop_front();
    work.remove(stream->work);
    stream->record->wasExported = true;
    ++counts.exported;
    closeStream(stream, stream_state::Exported);
    return blob;
}

std::optional<kv_blob> engine_core::findBlob(std::uint64_t number) const
{
    const std::lock_guard guard(lock);
    for (const kv_blob &blob : blobs) {
        if (blob.number == number)
            return blob;
    }
    return std::nullopt;
}

std::optional<engine_refusal> engine_core::importKv(const std::vector<std::uint64_t> &hashes)
{
    guard_type guard(lock);
    const std::chrono::duration<double> transfer(static_cast<double>(hashes.size())
                                                 / options.kvPiecesPerSecond);
    const auto end =
            steady::now() + scaled(std::chrono::duration_cast<std::chrono::nanoseconds>(transfer));
    changed.wait_until(guard, end, [this] { return isStopping || isDown || pendingSetup; });
    if (isStopping || isDown || pendingSetup)
        return engine_refusal{409, "unavailable", "engine is changing its role or models"};
    for (const std::uint64_t hash : hashes) {
        if (!cache.insert(hash))
            break;
    }
    return std::nullopt;
}

cache_event_page engine_core::cacheEvents(std::uint64_t after) const
{
    const std::lock_guard guard(lock);
    return events.read(after, steady::now());
}

// --- Reports -----------------------------------------------------------------------------------

engine_report engine_core::makeReport()
{
    engine_report now;
    now.incarnation = incarnation;
    now.sequence = ++reportSequence;
    now.setup = setup;
    now.isChanging = pendingSetup.has_value();
    now.running = work.runningCount();
    now.queued = work.queuedCount();
    now.kvPiecesUsed = cache.inUse();
    now.kvPiecesTotal = cache.total();
    now.prefillTokensQueued = work.prefillTokensLeft();
    now.lastFence = lastFence;
    return now;
}

void engine_core::recordReport()
{
    const auto now = steady::now();
    const auto spacing = scaled(options.loadLag) / reportsPerLag;
    const bool isDue = reports.empty() || reports.back().first + spacing <= now;
    if (options.loadLag > std::chrono::milliseconds::zero() && isDue)
        reports.emplace_back(now, makeReport());
    if (reports.size() > maxReports)
        reports.pop_front();
}

engine_report engine_core::report()
{
    const std::lock_guard guard(lock);
    const auto now = steady::now();
    reports.emplace_back(now, makeReport());
    const auto lag = scaled(options.loadLag);
    const auto isOldEnough = [&](std::size_t index) { return reports[index].first + lag <= now; };
    while (reports.size() > 1 && (isOldEnough(1) || reports.size() > maxReports))
        reports.pop_front();
    return reports.front().second;
}

engine_records engine_core::records() const
{
    const std::lock_guard guard(lock);
    engine_records copy = counts;
    copy.preempted = work.preemptedCount();
    for (const auto &entry : streams)
        entry.second->record->hasStarted = entry.second->work->hasStarted;
    copy.requests.reserve(requests.size());
    for (const auto &record : requests)
        copy.requests.push_back(*record);
    return copy;
}

} // namespace poplarspool::standin
