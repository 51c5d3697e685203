#pragma once

#include "standin/cache_event_log.h"
#include "standin/engine_types.h"
#include "standin/stream_channel.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

namespace poplarspool::standin {

/// A generation request as received.
struct stream_spec
{
    std::string request;
    std::string attempt;
    std::string model;
    std::string prompt;
    std::vector<std::string> emitted;
    std::uint32_t maxTokens = 0;
    std::uint32_t rank = 0;
    std::string kvHandle;
};

/// One open stream.
struct engine_stream
{
    stream_spec spec;
    fault_mode fault = fault_mode::None; ///< Fault to inject into its connection.
    std::uint32_t faultAfter = 0; ///< Tokens before the fault.
    stream_channel channel;
    sequence_ptr work;
    std::shared_ptr<request_record> record;
};

using engine_stream_ptr = std::shared_ptr<engine_stream>;

/// Reason why the engine refused a request; it has not started it.
struct engine_refusal
{
    int status = 0;
    std::string code;
    std::string message;
};

/// KV exported by this engine, for another engine to fetch.
struct kv_blob
{
    std::uint64_t number = 0;
    std::uint32_t tokens = 0;
    std::vector<std::uint64_t> hashes;
};

/// The emulated engine without its HTTP interface. One thread runs the batches; all public members
/// are thread-safe.
class engine_core
{
public:
    explicit engine_core(engine_options options);
    ~engine_core();
    void start();
    void stop();

    std::variant<engine_stream_ptr, engine_refusal> submit(stream_spec spec);
    /// Cancels a stream whose reader has disconnected.
    void cancel(const engine_stream_ptr &stream);
    /// @param attempt Any attempt if empty.
    /// @returns Whether there was such a stream.
    bool cancel(const std::string &request, const std::string &attempt);
    /// Cuts a stream because of an injected fault of its connection.
    void cut(const engine_stream_ptr &stream);
    std::optional<engine_refusal> order(std::uint64_t fence, const std::string &nonce,
                                        const engine_setup &requested);
    std::variant<kv_blob, engine_refusal> exportKv(const std::string &request);
    std::optional<kv_blob> findBlob(std::uint64_t number) const;
    /// Blocks for the emulated time of the transfer.
    std::optional<engine_refusal> importKv(const std::vector<std::uint64_t> &hashes);
    engine_report report();
    cache_event_page cacheEvents(std::uint64_t after) const;

    void setFault(const engine_fault &requested);
    engine_records records() const;
    /// Blocks while the engine is frozen.
    /// @returns False if the engine is down and must not answer.
    bool waitUntilReachable();

private:
    using time_point = std::chrono::steady_clock::time_point;
    using guard_type = std::unique_lock<std::mutex>;

    void run();
    void runIteration(guard_type &guard);
    void deliver(const std::vector<sequence_ptr> &advanced);
    void waitForChange(guard_type &guard);
    void finishChange();
    void crash();
    /// @returns How many of the closed streams had started.
    std::uint32_t closeAllStreams();
    void closeStream(const engine_stream_ptr &stream, stream_state state);
    std::optional<engine_refusal> admissionRefusal(const stream_spec &spec) const;
    std::optional<engine_refusal> consumeRequestFault(engine_stream &stream);
    void startChange(const engine_setup &requested);
    /// @returns An incarnation number above the last one, of this process or an earlier one.
    static std::uint64_t nextIncarnation(std::uint64_t last);
    engine_stream_ptr findStream(const std::string &request, const std::string &attempt) const;
    bool isModelLoaded(const std::string &model) const;
    role_rates currentRates() const;
    engine_report makeReport();
    /// Stores a report for delayed delivery (`loadLag`).
    void recordReport();
    std::chrono::nanoseconds scaled(std::chrono::nanoseconds time) const;

    const engine_options options;
    mutable std::mutex lock;
    std::condition_variable changed;
    std::thread thread;
    bool isStopping = false;
    std::uint64_t interruptions = 0; ///< Incremented when the running iteration must be abandoned.

    cache_event_log events;
    kv_cache cache;
    batch work;
    std::unordered_map<const sequence *, engine_stream_ptr> streams;
    std::uint64_t arrivals = 0;
    time_point iterationEnd{};

    std::uint64_t incarnation;
    engine_setup setup;
    std::optional<engine_setup> pendingSetup;
    time_point changeEndsAt{};
    bool isCrashPlanned;
    bool isDown = false;
    time_point downUntil{};
    std::uint64_t lastFence;
    std::string lastNonce;
    engine_fault fault;

    engine_records counts; ///< Without the requests.
    std::deque<std::shared_ptr<request_record>> requests;
    std::deque<std::pair<time_point, engine_report>> reports;
    std::uint64_t reportSequence = 0;
    std::uint64_t blobNumber = 0;
    std::deque<kv_blob> blobs;
};

} // namespace poplarspool::standin
