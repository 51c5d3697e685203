#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace poplarspool::standin {

/// An object of the stand-in's store; a removed one stays as a tombstone for watches.
struct stored_object
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool isDeleted = false;

    bool operator==(const stored_object &) const = default;
};

struct stored_list
{
    std::vector<stored_object> objects;
    std::uint64_t version = 0;
    bool isVersionUnknown = false; ///< Only for a watch: the version is not of this epoch.
};

/// Outcome of a conditional write.
struct write_outcome
{
    bool isApplied = false;
    std::uint64_t version = 0; ///< The new version, or the current one if the condition failed.

    bool operator==(const write_outcome &) const = default;
};

/// In-memory object store with store-wide versions, conditional writes, watches and snapshots.
/// Thread-safe.
class object_table
{
public:
    std::optional<stored_object> get(const std::string &key) const;
    stored_list list(const std::string &prefix) const;
    write_outcome put(const std::string &key, const std::string &value, std::uint64_t ifVersion);
    write_outcome remove(const std::string &key, std::uint64_t ifVersion);
    /// Waits for changes under the prefix with a version above `after`, until `wait` has passed or
    /// wakeWatches() is called.
    stored_list watch(const std::string &prefix, std::uint64_t after,
                      std::chrono::milliseconds wait);
    /// Takes a snapshot of all objects, which replaces the previous one.
    void takeSnapshot();
    /// Rolls the store back to the snapshot and starts a new epoch: writes acknowledged since then
    /// are lost, and their versions are assigned again.
    /// @returns False if there is no snapshot.
    bool restoreSnapshot();
    /// Writes the lost objects under the prefix again, except those written since the rollback.
    void replayLostWrites(const std::string &prefix);
    /// @returns Number of rollbacks.
    std::uint64_t epoch() const;
    /// Ends the watches that are waiting now; they return no change.
    void wakeWatches();
    /// Ends all current and later watches immediately.
    void shutDown();

private:
    using object_map = std::map<std::string, stored_object>;

    std::uint64_t versionOf(const std::string &key) const;
    write_outcome write(const std::string &key, stored_object next, std::uint64_t ifVersion);
    std::vector<stored_object> changedSince(const std::string &prefix, std::uint64_t after) const;

    mutable std::mutex lock;
    std::condition_variable changed;
    object_map objects;
    std::uint64_t version = 0;
    std::uint64_t rollbackCount = 0;
    std::optional<object_map> snapshot;
    std::uint64_t snapshotVersion = 0;
    std::uint64_t rollbackVersion = 0; ///< Store version after the last rollback.
    /// Latest version of each object that was lost in a rollback and is not replayed yet.
    object_map lostWrites;
    std::uint64_t wakes = 0;
    bool isEnding = false;
};

} // namespace poplarspool::standin
