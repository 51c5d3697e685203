#include "poplarspool/streams/stream_origin.h"

#include "poplarspool/base/hash.h"

namespace poplarspool::streams {

stream_key streamKeyOf(const stream_identity &identity, std::uint64_t seed)
{
    const std::uint64_t ofService = hashOf(identity.service, hashOf(identity.workspace, seed));
    return hashOf(identity.attempt, ofService);
}

} // namespace poplarspool::streams
