#include "poplarspool/node/view_hub.h"

#include <atomic>
#include <mutex>

namespace poplarspool::node {

struct view_hub::state
{
    std::atomic<policy::view_ptr> published{std::make_shared<const policy::view>()};
    std::mutex writers;
};

view_hub::view_hub() : inner(std::make_unique<state>()) { }

view_hub::~view_hub() = default;

policy::view_ptr view_hub::current() const
{
    return inner->published.load(std::memory_order_acquire);
}

policy::view_ptr view_hub::update(const std::function<bool(policy::view &)> &change)
{
    const std::lock_guard lock(inner->writers);
    policy::view_ptr before = current();
    auto next = std::make_shared<policy::view>(*before);
    if (!change(*next))
        return before;
    next->version = before->version + 1;
    policy::view_ptr after = std::move(next);
    inner->published.store(after, std::memory_order_release);
    return after;
}

} // namespace poplarspool::node
