#include "duties/usage_update.h"

#include "peer/codec.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/duties/limits.h"

namespace poplarspool::duties {

namespace {

/// Encoded size of the smallest count.
constexpr std::size_t minCountBytes = 2;
/// End of the year 9999 in Unix milliseconds: sums of such times don't overflow.
constexpr std::int64_t maxWallTimeMs = 253'402'300'799'999;

template <class Codec, class Time>
void describeTime(Codec &codec, Time &time)
{
    std::int64_t sinceMs = time.time_since_epoch().count();
    codec.fixed(sinceMs);
    if constexpr (Codec::isDecoding) {
        if (sinceMs < 0 || sinceMs > maxWallTimeMs)
            throw peer::malformed_payload("wall clock time out of range");
        time = wall_time(milliseconds(sinceMs));
    }
}

template <class Codec, class Update>
void describe(Codec &codec, Update &update)
{
    describeTime(codec, update.sentAt);
    describeTime(codec, update.estimate.at);
    codec.small(update.estimate.clocks);
    codec.small(update.isLast);
    codec.fixed(update.usage.incarnation);
    codec.small(update.usage.window);
    codec.list(update.usage.counts, config::maxCountsPerUpdate, minCountBytes,
               [](Codec &each, auto &item) {
                   each.text(item.first.text, config::maxNameBytes);
                   each.small(item.second);
               });
}

} // namespace

result<std::string> encode(const usage_update &update)
{
    return peer::tryEncode([&update](peer::encoder &out) { describe(out, update); });
}

result<usage_update> decodeUsageUpdate(std::string_view payload)
{
    try {
        peer::decoder in(payload);
        usage_update update;
        describe(in, update);
        in.finish();
        return update;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed usage update");
    }
}

} // namespace poplarspool::duties
