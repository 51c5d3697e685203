#pragma once

#include "peer/codec.h"
#include "poplarspool/crashes/crash_records.h"
#include "poplarspool/crashes/limits.h"

namespace poplarspool::crashes {

/// Encodes or decodes the record of a part.
/// @throws std::exception if a bound is exceeded or the bytes are malformed.
template <class Codec, class Record>
void partRecordFields(Codec &codec, Record &record)
{
    constexpr std::size_t minEndBytes = 18;
    codec.fixed(record.key);
    codec.fixed(record.place);
    codec.small(record.wasServed);
    codec.small(record.isConvicted);
    codec.list(record.incarnations, config::maxCrashIncarnations, minEndBytes,
               [](Codec &each, auto &ended) {
                   each.fixed(ended.incarnationKey);
                   each.fixed(ended.endedAtMs);
                   each.small(ended.isCleared);
                   each.list(ended.digests, config::maxEndDigests, sizeof(std::uint64_t),
                             [](Codec &one, auto &digest) { one.fixed(digest); });
               });
}

} // namespace poplarspool::crashes
