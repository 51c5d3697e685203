#pragma once

#include "poplarspool/policy/view.h"

#include <functional>
#include <memory>

namespace poplarspool::node {

/// Publishes views by read-copy-update: readers take the current one without a lock, writers make a
/// changed copy one after the other. Versions only grow.
class view_hub
{
public:
    view_hub();
    ~view_hub();

    policy::view_ptr current() const;
    /// Copies the current view, lets `change` edit the copy, and publishes it under the next
    /// version. A change that returns false publishes nothing.
    policy::view_ptr update(const std::function<bool(policy::view &)> &change);

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::node
