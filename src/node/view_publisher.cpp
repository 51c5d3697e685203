#include "poplarspool/node/view_publisher.h"

#include "poplarspool/base/published.h"

namespace poplarspool::node {

struct view_publisher::state
{
    published<policy::view> views{policy::view{}};
};

view_publisher::view_publisher() : inner(std::make_unique<state>()) { }

view_publisher::~view_publisher() = default;

policy::view_ptr view_publisher::current() const
{
    return inner->views.current();
}

policy::view_ptr view_publisher::update(const std::function<bool(policy::view &)> &change)
{
    return inner->views.update([&change](policy::view &next) {
        const std::uint64_t before = next.version;
        if (!change(next))
            return false;
        next.version = before + 1;
        return true;
    });
}

} // namespace poplarspool::node
