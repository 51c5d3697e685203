#pragma once

#include "peer/frame.h"
#include "poplarspool/base/metrics.h"

#include <string>
#include <string_view>

namespace poplarspool::peer {

/// Counts dropped frames by reason.
struct drop_counters
{
    drop_counters(metrics_registry &metrics, std::string_view name)
        : badMac(counterFor(metrics, name, "bad_mac")), replay(counterFor(metrics, name, "replay")),
          truncated(counterFor(metrics, name, "truncated")),
          foreign(counterFor(metrics, name, "foreign")), decode(counterFor(metrics, name, "decode"))
    { }

    void count(frame_fault fault)
    {
        switch (fault) {
        case frame_fault::Foreign:
            return foreign.add();
        case frame_fault::Truncated:
            return truncated.add();
        case frame_fault::BadMac:
            return badMac.add();
        }
    }

    counter &badMac;
    counter &replay;
    counter &truncated;
    counter &foreign;
    counter &decode;

private:
    static counter &counterFor(metrics_registry &metrics, std::string_view name,
                               std::string_view reason)
    {
        return metrics.counterOf(std::string(name) + "{reason=\"" + std::string(reason) + "\"}");
    }
};

} // namespace poplarspool::peer
