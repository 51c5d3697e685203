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

/// A stored object. Versions are unique and increase across the whole store.
struct object
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    /// Only set by a watch: the object was deleted at `version` and has no value.
    bool isDeleted = false;

    bool operator==(const object &) const = default;
};

/// Objects under a prefix, consistent as of one version of the store.
struct object_list
{
    std::vector<object> objects;
    std::uint64_t version = 0;
};

/// `ifVersion` of a write that succeeds only if the object does not exist.
inline constexpr std::uint64_t mustNotExist = 0;

/// Interface to the object API, with one implementation per wire format. Each function makes one
/// call and does not retry. The verdict of an error tells whether a write may have taken effect; a
/// Conflict is NotRun.
struct object_api
{
    /// @returns NotFound if the object does not exist.
    std::function<result<object>(const std::string &key)> get;
    std::function<result<object_list>(const std::string &prefix)> list;
    /// @returns The new version; Conflict if the object's version is not `ifVersion`.
    std::function<result<std::uint64_t>(const std::string &key, const std::string &value,
                                        std::uint64_t ifVersion)>
            put;
    std::function<result<unit>(const std::string &key, std::uint64_t ifVersion)> remove;
    /// Waits up to `wait` for objects under the prefix to change after version `after`.
    /// @returns The changed objects; an empty list if nothing changed.
    std::function<result<object_list>(const std::string &prefix, std::uint64_t after,
                                      milliseconds wait)>
            watch;
};

/// @returns An object API that speaks JSON over HTTP (docs/API-PLATFORM.md).
/// @param callTimeout Time limit of one call; a watch adds its waiting time.
object_api httpObjectApi(endpoint address, std::shared_ptr<http_pool> pool,
                         milliseconds callTimeout);

/// Client of the object store: enforces the call budget, backs off with jitter after failures and
/// counts each call. All members may be called from any thread.
class object_store
{
public:
    struct limits
    {
        double callsPerSecond;
        double burst;
        milliseconds initialBackoff;
        milliseconds maxBackoff;
    };

    object_store(object_api api, limits bounds, clock_source clock, metrics_registry &metrics,
                 journal &events);
    ~object_store();

    /// @returns Throttled (NotRun) if the call budget is exhausted.
    result<object> get(const std::string &key);
    result<object_list> list(const std::string &prefix);
    result<object_list> watch(const std::string &prefix, std::uint64_t after, milliseconds wait);

    /// Conditional write. If the reply is lost, reads the object back until `deadline` and compares
    /// values. Values must contain a nonce of the writer, so that an equal value proves that this
    /// write took effect. While the object still has `ifVersion`, the same write is sent again:
    /// only a changed version invalidates earlier requests that may still be in flight.
    /// @returns The version written. Any error with NotRun: this write has not taken effect and
    ///          never will (Conflict: another write was first). Conflict with MayHaveRun: the
    ///          object has a newer version, so this write can no longer take effect, but it may
    ///          have done so and been overwritten; read the object to find out. Other errors with
    ///          MayHaveRun: the write may still take effect after this function returns.
    /// @attention A create (mustNotExist) whose reply was lost can still take effect after others
    ///            created and removed the object: never remove objects that several writers may
    ///            create.
    result<std::uint64_t> put(const std::string &key, const std::string &value,
                              std::uint64_t ifVersion, mono_time deadline);
    /// Makes one call; a lost reply is MayHaveRun.
    result<unit> remove(const std::string &key, std::uint64_t ifVersion);

    /// @returns When the store last replied to any call.
    mono_time lastReplyAt() const;
    std::uint64_t callsMade() const;

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::platform
