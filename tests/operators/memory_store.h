#pragma once

#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/platform/object_store.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

/// An in-memory object API that can lose replies and become unavailable.
class memory_store
{
public:
    using hook = std::function<void()>;

    memory_store()
        : events(poplarspool::instance_id{"test"}, poplarspool::systemClock(), 16),
          store(api(), {1e6, 1e6, poplarspool::milliseconds(1), poplarspool::milliseconds(2)},
                poplarspool::systemClock(), metrics, events)
    { }

    /// The reply to the next write of `key` is lost after the write took effect. `then` runs before
    /// the writer can read the object back.
    void loseReplyFor(std::string key, hook then)
    {
        const std::lock_guard lock(mutex);
        lossKey = std::move(key);
        afterLoss = std::move(then);
    }

    /// All later calls fail without effect.
    void setUnavailable()
    {
        const std::lock_guard lock(mutex);
        isUnavailable = true;
    }

    poplarspool::platform::object_store &client() { return store; }

private:
    using put_result = poplarspool::result<std::uint64_t>;

    static poplarspool::error unavailableError()
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
        if (isUnavailable)
            return unavailableError();
        const auto found = objects.find(key);
        if (found == objects.end())
            return poplarspool::notRun(poplarspool::error_code::NotFound, key);
        return found->second;
    }

    put_result put(const std::string &key, const std::string &value, std::uint64_t ifVersion)
    {
        hook then;
        {
            const std::lock_guard lock(mutex);
            if (isUnavailable)
                return unavailableError();
            const auto found = objects.find(key);
            const std::uint64_t currentVersion = found == objects.end() ? 0 : found->second.version;
            if (currentVersion != ifVersion)
                return poplarspool::notRun(poplarspool::error_code::Conflict, key);
            objects[key] = {key, value, ++version};
            if (key != lossKey)
                return version;
            lossKey.clear();
            then = std::move(afterLoss);
        }
        then();
        return poplarspool::mayHaveRun(poplarspool::error_code::TimedOut, "answer lost");
    }

    std::mutex mutex;
    std::map<std::string, poplarspool::platform::object> objects;
    std::uint64_t version = 0;
    bool isUnavailable = false;
    std::string lossKey;
    hook afterLoss;
    poplarspool::metrics_registry metrics;
    poplarspool::journal events;
    poplarspool::platform::object_store store;
};
