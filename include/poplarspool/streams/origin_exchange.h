#pragma once

#include "poplarspool/base/journal.h"
#include "poplarspool/peer/datagram_settings.h"
#include "poplarspool/streams/origin_registry.h"

#include <memory>

namespace poplarspool::streams {

/// The registry of stream origins, and the datagrams in which it exchanges them with other
/// instances.
class origin_exchange
{
public:
    origin_exchange(const peer::datagram_settings &settings, const peer::fleet_view &fleet,
                    const clock_source &clock, metrics_registry &metrics, journal &events);
    ~origin_exchange();

    result<unit> start();
    void stop();

    origin_registry &registry();

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::streams
