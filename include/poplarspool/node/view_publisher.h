#pragma once

#include "poplarspool/policy/view.h"

#include <functional>
#include <memory>

namespace poplarspool::node {

/// Publishes views by read-copy-update: readers get the current view without a lock; writers change
/// a copy, one writer at a time. Version numbers only increase.
class view_publisher
{
public:
    view_publisher();
    ~view_publisher();

    policy::view_ptr current() const;
    /// Copies the current view, calls `change` on the copy, and publishes it under the next
    /// version. If `change` returns false, nothing is published.
    policy::view_ptr update(const std::function<bool(policy::view &)> &change);

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::node
