#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace poplarspool {

/// Holder of an immutable value that is read often and replaced rarely (read-copy-update). Readers
/// don't wait for writers, and a value stays valid and unchanged while a reader holds it.
template <class T>
class published
{
public:
    explicit published(T initial) : value(std::make_shared<const T>(std::move(initial))) { }

    std::shared_ptr<const T> current() const { return value.load(std::memory_order_acquire); }

    /// Publishes a modified copy. Writers are serialised, so that no change is lost.
    /// @param change Modifies the copy; returns false to keep the published value.
    /// @returns The value published afterwards.
    std::shared_ptr<const T> update(const std::function<bool(T &)> &change)
    {
        const std::lock_guard lock(writeMutex);
        std::shared_ptr<const T> previous = current();
        auto next = std::make_shared<T>(*previous);
        if (!change(*next))
            return previous;
        std::shared_ptr<const T> after = std::move(next);
        value.store(after, std::memory_order_release);
        return after;
    }

private:
    std::atomic<std::shared_ptr<const T>> value;
    std::mutex writeMutex;
};

} // namespace poplarspool
