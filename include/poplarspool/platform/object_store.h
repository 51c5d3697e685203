#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/http.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/base/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplarspool::platform {

/// One object as the store has it. Versions grow over the whole store.
struct object
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool isDeleted = false; ///< Only from a watch: removed at `version`, without a value.

    bool operator==(const object &) const = default;
};

/// Objects under a prefix, as of one version of the store.
struct object_list
{
    std::vector<object> objects;
    std::uint64_t version = 0;
};

/// `ifVersion` of a write that must create the object.
inline constexpr std::uint64_t mustNotExist = 0;

/// The seam to the object API: one implementation per wire format. Each function is one call; none
/// retries. A failure says by its verdict whether a write may have taken effect: Conflict is
/// NotRun.
struct object_api
{
    /// NotFound where there is none.
    std::function<result<object>(const std::string &key)> get;
    std::function<result<object_list>(const std::string &prefix)> list;
    /// @returns The new version; Conflict where the object's version isn't `ifVersion`.
    std::function<result<std::uint64_t>(const std::string &key, const std::string &value,
                                        std::uint64_t ifVersion)>
            put;
    std::function<result<unit>(const std::string &key, std::uint64_t ifVersion)> remove;
    /// Waits until objects under the prefix change beyond `after`, at most `wait`.
    /// @returns What changed; an empty list where nothing did.
    std::function<result<object_list>(const std::string &prefix, std::uint64_t after,
                                      milliseconds wait)>
            watch;
};

/// @returns The object API spoken as JSON over HTTP (docs/API-PLATFORM.md).
object_api httpObjectApi(endpoint address, std::shared_ptr<http_pool> pool, milliseconds callTime);

/// The store as the rest of the product uses it: keeps to the call budget, backs off with jitter
/// after failures, counts each call. All members may be called from any thread.
class object_store
{
public:
    struct limits
    {
        double callsPerSecond;
        double burst;
        milliseconds backoffFirst;
        milliseconds backoffMax;
    };

    object_store(object_api api, limits bounds, clock_source clock, metrics_registry &metrics,
                 journal &events);
    ~object_store();

    /// @returns Throttled (NotRun) where the budget is used up.
    result<object> get(const std::string &key);
    result<object_list> list(const std::string &prefix);
    result<object_list> watch(const std::string &prefix, std::uint64_t after, milliseconds wait);

    /// Conditional write. Where its answer was lost, reads the object back until `deadline` and
    /// compares: values must carry a nonce of the writer, so that equal means ours. While the
    /// object still has `ifVersion` the same write is sent again, since only a moved version ends
    /// the copies that may be on their way.
    /// @returns The version written. Any failure with NotRun: this write has not taken effect and
    ///          never will (Conflict: another write was first). Conflict with MayHaveRun: the
    ///          object has moved on, so that this write can't take effect any more, but it may have
    ///          done so and been overwritten; look into the object. Other MayHaveRun: it may still
    ///          take effect after this returns.
    /// @attention A create (mustNotExist) that was lost can still take effect after the object was
    ///            created and removed by others: don't remove objects that several may create.
    result<std::uint64_t> put(const std::string &key, const std::string &value,
                              std::uint64_t ifVersion, mono_time deadline);
    /// One call: a lost answer is MayHaveRun.
    result<unit> remove(const std::string &key, std::uint64_t ifVersion);

    /// @returns When the store last answered anything.
    mono_time lastAnswer() const;
    std::uint64_t callsMade() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::platform
