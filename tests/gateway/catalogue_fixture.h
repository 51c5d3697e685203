#pragma once

#include "poplarspool/gateway/catalogue.h"

#include <memory>
#include <string>

namespace poplarspool::gateway {

inline void putRunner(catalogue &into, const runner &entry)
{
    runner_set runners = *into.runners;
    runners.put(std::make_shared<const runner>(entry));
    into.runners = std::make_shared<const runner_set>(std::move(runners));
}

/// Engines of the service "s", two thirds of them in the decode stage, over six zones.
inline runner_set makeEngines(std::size_t count)
{
    runner_set engines;
    for (std::size_t i = 0; i < count; ++i) {
        runner made;
        made.id.text = "engine-" + std::to_string(i);
        made.service.text = "s";
        made.zone.text = "zone-" + std::to_string(i % 6);
        made.stage = i % 3 == 0 ? engine_stage::Prefill : engine_stage::Decode;
        engines.put(std::make_shared<const runner>(made));
    }
    return engines;
}

} // namespace poplarspool::gateway
