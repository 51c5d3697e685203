#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace poplarspool {

/// One immutable value that many threads read and few replace (read-copy-update). Readers never
/// wait for a writer, and what they have read stays whole for as long as they hold it.
template <class T>
class published
{
public:
    explicit published(T first) : now(std::make_shared<const T>(std::move(first))) { }

    std::shared_ptr<const T> current() const { return now.load(std::memory_order_acquire); }

    /// Publishes a changed copy. Writers take turns, so that no change is lost.
    /// @param change Returns false to leave the value as it is.
    /// @returns The value that stands afterwards.
    std::shared_ptr<const T> update(const std::function<bool(T &)> &change)
    {
        const std::lock_guard lock(writers);
        std::shared_ptr<const T> before = current();
        auto next = std::make_shared<T>(*before);
        if (!change(*next))
            return before;
        std::shared_ptr<const T> after = std::move(next);
        now.store(after, std::memory_order_release);
        return after;
    }

private:
    std::atomic<std::shared_ptr<const T>> now;
    std::mutex writers;
};

} // namespace poplarspool
