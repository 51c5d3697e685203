#pragma once

#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/ids.h"

#include <string>

namespace poplarspool::peer {

/// Of whatever tells other instances something in datagrams.
struct datagram_settings
{
    instance_id self;
    incarnation life = 0;
    endpoint address; ///< Bound for UDP.
    std::string key; ///< Secret of the MAC.
};

} // namespace poplarspool::peer
