#pragma once

#include "poplarspool/gateway/catalogue.h"

#include <optional>

namespace poplarspool::gateway {

/// A take-up of a stream of which no record says who began it.
struct unrecorded_take_up
{
    service_id service;
    mono_time arrivedAt{}; ///< When its request was complete.
    bool isNamed = false; ///< The caller names the attempt that began the stream.
    milliseconds timeLimit{0}; ///< Of the route.
};

enum class proof_end {
    Proven, ///< Only this version can have begun the stream.
    Unconfirmed, ///< A confirmation of the view that is as of its arrival may prove it.
    Unknown, ///< Several versions can have begun it.
};

struct version_proof
{
    proof_end end = proof_end::Unknown;
    version_key version = 0; ///< Only if Proven.

    bool operator==(const version_proof &) const = default;
};

/// The version that must have begun the stream. A runner stands in the store's list before any
/// instance sends to it, and the stream's first event came before the take-up: a view that the
/// store confirmed as of the take-up's arrival or later lacks no runner that can have begun it.
///
/// Where the caller names the attempt that began the stream, the view also has to reach back to the
/// earliest time at which that can have been. A caller that names none follows the protocol from
/// before versions were told apart: the runners that were known as it arrived decide.
version_proof proveVersion(const unrecorded_take_up &takeUp, const catalogue &known);

} // namespace poplarspool::gateway
