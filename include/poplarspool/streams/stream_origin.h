#pragma once

#include "poplarspool/base/clock.h"

#include <cstdint>
#include <string_view>

/// Which runners may go on with a stream: those of the software version that began it. Instances
/// keep for each stream who began it as soft state, in a few places. A record that is lost costs a
/// caller a refusal; it is never replaced by a guess.
namespace poplarspool::streams {

/// Identifies a stream: a hash of its workspace, its service and the id of the caller's attempt
/// that brought its first event.
using stream_key = std::uint64_t;

/// Hash of a runner's software version.
using version_key = std::uint64_t;

/// What a stream's key is made of.
struct stream_identity
{
    std::string_view workspace; ///< Empty: the caller has shown no key.
    std::string_view service;
    std::string_view attempt; ///< Id of the caller's attempt that brought the first event.
};

/// @param seed The same on all instances and unknown to callers, who otherwise could make an id
///             with the key of another workspace's stream.
stream_key streamKeyOf(const stream_identity &identity, std::uint64_t seed);

/// What one instance knows of who began a stream.
struct stream_origin
{
    version_key version = 0;
    mono_time recordedAt{};
    mono_time expiresAt{}; ///< When the caller no longer takes the stream up.

    bool operator==(const stream_origin &) const = default;
};

} // namespace poplarspool::streams
