#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"

#include <string>

namespace poplarspool::peer {

/// Settings of a component that exchanges datagrams with other instances.
struct datagram_settings
{
    instance_id self;
    incarnation_number incarnation = 0;
    endpoint address; ///< UDP address to bind.
    std::string key; ///< Secret from which the MAC key is derived.
};

} // namespace poplarspool::peer
