#include "gateway/unframed_services.h"

#include "poplarspool/gateway/limits.h"

namespace poplarspool::gateway {

void unframed_services::record(const service_id &service)
{
    const mono_time now = clock.mono();
    const std::lock_guard lock(guard);
    std::erase_if(expiries, [now](const auto &one) { return one.second <= now; });
    if (expiries.size() < config::maxUnframedServices || expiries.contains(service))
        expiries[service] = now + config::unframedServiceRetention;
    isEmpty.store(false, std::memory_order_relaxed);
}

bool unframed_services::contains(const service_id &service) const
{
    if (isEmpty.load(std::memory_order_relaxed))
        return false;
    const std::lock_guard lock(guard);
    const auto found = expiries.find(service);
    return found != expiries.end() && found->second > clock.mono();
}

} // namespace poplarspool::gateway
