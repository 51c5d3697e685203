#include "poplarspool/node/view_hub.h"

#include "poplarspool/base/published.h"

namespace poplarspool::node {

struct view_hub::state
{
    published<policy::view> views{policy::view{}};
};

view_hub::view_hub() : inner(std::make_unique<state>()) { }

view_hub::~view_hub() = default;

policy::view_ptr view_hub::current() const
{
    return inner->views.current();
}

policy::view_ptr view_hub::update(const std::function<bool(policy::view &)> &change)
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
