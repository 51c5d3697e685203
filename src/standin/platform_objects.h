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

/// One object of the stand-in's store; a removed one stays as a tombstone for watches.
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
    bool isGone = false; ///< Only of a watch: its version isn't of this epoch.
};

/// Outcome of a conditional write: the new version, or the present one where it lost.
struct write_outcome
{
    bool isDone = false;
    std::uint64_t version = 0;

    bool operator==(const write_outcome &) const = default;
};

/// Objects in memory with versions over the whole store, conditional writes and watches.
class object_table
{
public:
    std::optional<stored_object> get(const std::string &key) const;
    stored_list list(const std::string &prefix) const;
    write_outcome put(const std::string &key, const std::string &value, std::uint64_t ifVersion);
    write_outcome remove(const std::string &key, std::uint64_t ifVersion);
    /// Waits for a change under the prefix beyond `after`, until `wait` is over or wakeAll().
    stored_list watch(const std::string &prefix, std::uint64_t after,
                      std::chrono::milliseconds wait);
    /// Keeps a copy of all that it holds, in place of the one before.
    void keepCopy();
    /// Comes back from that copy, in a new epoch: what was acknowledged since is lost, and its
    /// versions are given out again.
    /// @returns False where none was kept.
    bool goBack();
    /// What was lost under the prefix is written again, unless it has been written since.
    void writeAgain(const std::string &prefix);
    /// @returns How often it has come back from a copy.
    std::uint64_t epoch() const;
    /// Ends the watches that wait now, without a change.
    void wakeAll();
    /// Ends all watches, also later ones, at once.
    void end();

private:
    using object_map = std::map<std::string, stored_object>;

    std::uint64_t versionOf(const std::string &key) const;
    write_outcome write(const std::string &key, stored_object next, std::uint64_t ifVersion);
    std::vector<stored_object> changedSince(const std::string &prefix, std::uint64_t after) const;

    mutable std::mutex lock;
    std::condition_variable changed;
    object_map objects;
    std::uint64_t version = 0;
    std::uint64_t epochs = 0;
    std::optional<object_map> copied;
    std::uint64_t copiedVersion = 0;
    std::uint64_t backVersion = 0; ///< At the last coming back.
    object_map lost; ///< Newest of each that no copy had.
    std::uint64_t wakes = 0;
    bool isEnding = false;
};

} // namespace poplarspool::standin
