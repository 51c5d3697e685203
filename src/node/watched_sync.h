#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/node/view_publisher.h"
#include "poplarspool/operators/config_store.h"
#include "poplarspool/peer/messages.h"
#include "poplarspool/platform/object_store.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// Keeps this instance's copy of the watched objects (the configuration head and the order records)
/// up to date, from the store or from peers, and publishes their content in views.
namespace poplarspool::node {

/// What watched_sync needs from the other components of the instance.
struct sync_dependencies
{
    std::string deployment;
    /// Peers that can be queried, without this instance.
    std::function<std::vector<policy::member>()> peers;
    std::function<result<peer::watched_reply>(const endpoint &, const peer::watched_request &)>
            requestState;
    std::function<result<peer::body_reply>(const endpoint &, const peer::body_request &)>
            requestBody;
    /// @returns Whether this instance watches the store itself; the others get changes from those
    ///          that do.
    std::function<bool()> isWatcher;
    /// Called at each advance: the view is complete up to `appliedVersion` and was confirmed at
    /// `confirmedAt`.
    std::function<void(std::uint64_t appliedVersion, mono_time confirmedAt)> onApplied;
};

class watched_sync
{
public:
    watched_sync(sync_dependencies dependencies, platform::object_store &store,
                 view_publisher &views, clock_source clock, metrics_registry &metrics,
                 journal &events);
    ~watched_sync();
    void start();
    void stop();

    /// @returns The objects newer than the version that the requesting peer knows.
    peer::watched_reply replyTo(const peer::watched_request &request) const;
    result<peer::body_reply> bodyFor(const peer::body_request &request) const;

    /// @returns The store version up to which the published view is complete; 0 if nothing is known
    ///          yet.
    std::uint64_t appliedVersion() const;
    /// @returns When the store last confirmed, to this instance or to a peer, that there was
    ///          nothing newer.
    mono_time confirmedAt() const;
    /// @returns Both of the above, read atomically.
    std::pair<std::uint64_t, mono_time> progress() const;

private:
    using object_map = std::map<std::string, platform::object>;

    /// A configuration parsed from its bodies.
    struct loaded_config
    {
        std::shared_ptr<const policy::inventory> fleet;
        std::shared_ptr<const policy::rules> rules;
    };

    std::optional<loaded_config> load(const platform::object &head);
    void reject(const std::string &reason);
    void storeLoop();
    void peerLoop();
    bool pullFromStore();
    void pullFromPeers();
    bool applyUpdate(const std::vector<platform::object> &changed, std::uint64_t completeTo,
                     mono_time confirmedNow);
    bool publish(const object_map &next, std::uint64_t completeTo);
    result<std::string> findBody(const std::string &sha256);
    void pause(milliseconds time);

    sync_dependencies dependencies;
    platform::object_store &store;
    view_publisher &views;
    clock_source clock;
    journal &events;
    counter &applied;
    counter &rejected;

    mutable std::mutex guard;
    std::mutex applyLock; ///< Serializes updates.
    std::condition_variable wake;
    object_map objects;
    std::map<std::string, std::string> bodies; ///< By SHA-256; bodies of the current configuration.
    std::uint64_t completeVersion = 0;
    bool hasListed = false; ///< The store's list was applied; from then on the store is watched.
    std::uint64_t cursor = 0; ///< Store version after which the next watch requests changes.
    mono_time confirmed{};
    bool isStopping = false;
    std::thread storeThread;
    std::thread peerThread;
};

} // namespace poplarspool::node
