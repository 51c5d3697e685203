#pragma once

#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/platform/object_store.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace poplarspool::node {

/// Outcome of one write to a memory_store.
enum class write_outcome {
    Answered,
    AnswerLost, ///< Takes effect, but the writer gets no answer.
    Held, ///< Is delayed until deliverHeld(); the writer gets no answer.
};

/// The platform's object API in memory, shared by any number of clients, with fault injection.
class memory_store
{
public:
    /// Called for each write, under the store's lock.
    std::function<write_outcome()> outcomeOfWrite = [] { return write_outcome::Answered; };
    /// No read is answered.
    bool isCutOff = false;
    /// If set, every read is refused with this retry time.
    std::optional<milliseconds> busyFor;

    platform::object_api api()
    {
        platform::object_api fake;
        fake.get = [this](const std::string &key) { return get(key); };
        fake.put = [this](const std::string &key, const std::string &value,
                          std::uint64_t ifVersion) { return put(key, value, ifVersion); };
        return fake;
    }

    /// Applies the held writes, each if its condition still holds.
    void deliverHeld()
    {
        const std::lock_guard guard(lock);
        for (const held_write &write : held)
            apply(write.key, write.value, write.ifVersion);
        held.clear();
    }

    std::string valueOf(const std::string &key)
    {
        const std::lock_guard guard(lock);
        return objects[key].value;
    }

    void set(const std::string &key, const std::string &value)
    {
        const std::lock_guard guard(lock);
        objects[key] = {key, value, ++lastVersion};
    }

    std::uint64_t putCount()
    {
        const std::lock_guard guard(lock);
        return puts;
    }

private:
    struct held_write
    {
        std::string key;
        std::string value;
        std::uint64_t ifVersion;
    };

    result<platform::object> get(const std::string &key)
    {
        const std::lock_guard guard(lock);
        if (isCutOff)
            return mayHaveRun(error_code::TimedOut, "no answer");
        if (busyFor)
            return notRun(error_code::Unavailable, "busy", *busyFor);
        const auto found = objects.find(key);
        if (found == objects.end())
            return notRun(error_code::NotFound, "none");
        return found->second;
    }

    result<std::uint64_t> put(const std::string &key, const std::string &value,
                              std::uint64_t ifVersion)
    {
        const std::lock_guard guard(lock);
        ++puts;
        const write_outcome writeOutcome = outcomeOfWrite();
        if (writeOutcome == write_outcome::Held)
            held.push_back({key, value, ifVersion});
        const auto outcome = writeOutcome == write_outcome::Held
                ? result<std::uint64_t>(std::uint64_t(0))
                : apply(key, value, ifVersion);
        if (writeOutcome != write_outcome::Answered)
            return mayHaveRun(error_code::TimedOut, "no answer");
        return outcome;
    }

    result<std::uint64_t> apply(const std::string &key, const std::string &value,
                                std::uint64_t ifVersion)
    {
        const auto found = objects.find(key);
        const std::uint64_t version =
                found == objects.end() ? platform::mustNotExist : found->second.version;
        if (version != ifVersion)
            return notRun(error_code::Conflict, "another write was first");
        objects[key] = {key, value, ++lastVersion};
        return lastVersion;
    }

    std::mutex lock;
    std::map<std::string, platform::object> objects;
    std::vector<held_write> held;
    std::uint64_t lastVersion = 0;
    std::uint64_t puts = 0;
};

/// One instance's client of a memory_store, with rate limits high enough not to matter.
struct store_client
{
    store_client(memory_store &shared, const clock_source &clock, const std::string &name)
        : events({name}, clock, 256),
          store(shared.api(), {1e9, 1e9, milliseconds(1), milliseconds(2)}, clock, metrics, events)
    { }

    metrics_registry metrics;
    journal events;
    platform::object_store store;
};

} // namespace poplarspool::node
