#pragma once

#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/platform/object_store.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

/// An object API in memory, with a place to interfere.
class memory_store
{
public:
    using interference = std::function<void()>;

    memory_store()
        : events(poplarspool::instance_id{"test"}, poplarspool::systemClock(), 16),
          store(api(), {1e6, 1e6, poplarspool::milliseconds(1), poplarspool::milliseconds(2)},
                poplarspool::systemClock(), metrics, events)
    { }

    /// The answer of the next write to `key` is lost after the write took effect; `then` runs
    /// before anyone can read it back.
    void loseAnswerOf(std::string key, interference then)
    {
        const std::lock_guard lock(mutex);
        lostKey = std::move(key);
        afterLoss = std::move(then);
    }

    /// All calls fail without effect from now on.
    void goDown()
    {
        const std::lock_guard lock(mutex);
        isDown = true;
    }

    poplarspool::platform::object_store &use() { return store; }

private:
    using put_result = poplarspool::result<std::uint64_t>;

    static poplarspool::error downError()
    {
        return poplarspool::notRun(poplarspool::error_code::Unavailable, "store down");
    }

    poplarspool::platform::object_api api()
    {
        poplarspool::platform::object_api calls;
        calls.get = [this](const std::string &key) { return get(key); };
        calls.put = [this](const std::string &key, const std::string &value,
                           std::uint64_t version) { return put(key, value, version); };
        return calls;
    }

    poplarspool::result<poplarspool::platform::object> get(const std::string &key)
    {
        const std::lock_guard lock(mutex);
        if (isDown)
            return downError();
        const auto found = objects.find(key);
        if (found == objects.end())
            return poplarspool::notRun(poplarspool::error_code::NotFound, key);
        return found->second;
    }

    put_result put(const std::string &key, const std::string &value, std::uint64_t ifVersion)
    {
        interference then;
        {
            const std::lock_guard lock(mutex);
            if (isDown)
                return downError();
            const auto found = objects.find(key);
            const std::uint64_t present = found == objects.end() ? 0 : found->second.version;
            if (present != ifVersion)
                return poplarspool::notRun(poplarspool::error_code::Conflict, key);
            objects[key] = {key, value, ++version};
            if (key != lostKey)
                return version;
            lostKey.clear();
            then = std::move(afterLoss);
        }
        then();
        return poplarspool::mayHaveRun(poplarspool::error_code::TimedOut, "answer lost");
    }

    std::mutex mutex;
    std::map<std::string, poplarspool::platform::object> objects;
    std::uint64_t version = 0;
    bool isDown = false;
    std::string lostKey;
    interference afterLoss;
    poplarspool::metrics_registry metrics;
    poplarspool::journal events;
    poplarspool::platform::object_store store;
};
