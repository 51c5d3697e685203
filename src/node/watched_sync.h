#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/node/view_hub.h"
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
/// up to date, from the store or from peers, and publishes what they say as views.
namespace poplarspool::node {

/// What the sync takes from the rest of the instance.
struct sync_needs
{
    std::string deployment;
    /// Peers to ask, this instance not among them.
    std::function<std::vector<policy::member>()> peers;
    std::function<result<peer::watched_reply>(const endpoint &, const peer::watched_ask &)>
            askState;
    std::function<result<peer::body_reply>(const endpoint &, const peer::body_ask &)> askBody;
    /// @returns Whether this instance watches the store itself; the others learn from those who do.
    std::function<bool()> isWatcher;
    /// Told of each advance: complete up to that version, confirmed as of that time.
    std::function<void(std::uint64_t appliedVersion, mono_time confirmedAt)> onApplied;
};

class watched_sync
{
public:
    watched_sync(sync_needs dependencies, platform::object_store &store, view_hub &views,
                 clock_source clock, metrics_registry &metrics, journal &events);
    ~watched_sync();
    void start();
    void stop();

    /// The answer to a peer that asks for what is newer than it knows.
    peer::watched_reply replyTo(const peer::watched_ask &request) const;
    result<peer::body_reply> bodyFor(const peer::body_ask &request) const;

    /// @returns Up to which store version the published view is complete; 0: nothing known yet.
    std::uint64_t appliedVersion() const;
    /// @returns When the store last confirmed, to this instance or to a peer, that nothing newer
    ///          was there.
    mono_time confirmedAt() const;
    /// @returns Both of the above as of one moment.
    std::pair<std::uint64_t, mono_time> progress() const;

private:
    using object_map = std::map<std::string, platform::object>;

    /// A configuration as it was read from its bodies.
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
                     mono_time confirmed);
    bool publish(const object_map &next, std::uint64_t completeTo);
    result<std::string> findBody(const std::string &sha256);
    void pause(milliseconds time);

    sync_needs dependencies;
    platform::object_store &store;
    view_hub &views;
    clock_source clock;
    journal &events;
    counter &applied;
    counter &rejected;

    mutable std::mutex guard;
    std::mutex applyLock; ///< One update is worked in at a time.
    std::condition_variable wake;
    object_map objects;
    std::map<std::string, std::string> bodies; ///< By SHA-256, of the present configuration.
    std::uint64_t completeVersion = 0;
    bool hasListed = false; ///< The store's list was taken in; from then on it is watched.
    std::uint64_t cursor = 0; ///< Store version from which the next watch asks.
    mono_time confirmed{};
    bool isStopping = false;
    std::thread storeThread;
    std::thread peerThread;
};

} // namespace poplarspool::node
