#include "standin/platform_objects.h"

namespace poplarspool::standin {

std::uint64_t object_table::versionOf(const std::string &key) const
{
    const auto found = objects.find(key);
    if (found == objects.end() || found->second.isDeleted)
        return 0;
    return found->second.version;
}

std::optional<stored_object> object_table::get(const std::string &key) const
{
    const std::lock_guard guard(lock);
    if (versionOf(key) == 0)
        return std::nullopt;
    return objects.at(key);
}

std::vector<stored_object> object_table::changedSince(const std::string &prefix,
                                                      std::uint64_t after) const
{
    std::vector<stored_object> changes;
    for (auto at = objects.lower_bound(prefix); at != objects.end(); ++at) {
        if (!at->first.starts_with(prefix))
            break;
        if (at->second.version > after)
            changes.push_back(at->second);
    }
    return changes;
}

stored_list object_table::list(const std::string &prefix) const
{
    const std::lock_guard guard(lock);
    stored_list listed{changedSince(prefix, 0), version};
    std::erase_if(listed.objects, [](const stored_object &each) { return each.isDeleted; });
    return listed;
}

write_outcome object_table::write(const std::string &key, stored_object next,
                                  std::uint64_t ifVersion)
{
    const std::lock_guard guard(lock);
    const std::uint64_t current = versionOf(key);
    if (current != ifVersion)
        return {false, current};
    next.key = key;
    next.version = ++version;
    objects[key] = std::move(next);
    changed.notify_all();
    return {true, version};
}

write_outcome object_table::put(const std::string &key, const std::string &value,
                                std::uint64_t ifVersion)
{
    return write(key, stored_object{key, value, 0, false}, ifVersion);
}

write_outcome object_table::remove(const std::string &key, std::uint64_t ifVersion)
{
    return write(key, stored_object{key, "", 0, true}, ifVersion);
}

stored_list object_table::watch(const std::string &prefix, std::uint64_t after,
                                std::chrono::milliseconds wait)
{
    std::unique_lock guard(lock);
    const std::uint64_t wakesBefore = wakes;
    stored_list changes;
    if (rollbackCount > 0 && after > version)
        return {{}, version, true};
    changed.wait_for(guard, wait, [&] {
        changes.objects = changedSince(prefix, after);
        return !changes.objects.empty() || wakes != wakesBefore || isEnding;
    });
    changes.version = version;
    return changes;
}

void object_table::takeSnapshot()
{
    const std::lock_guard guard(lock);
    snapshot = objects;
    snapshotVersion = version;
}

bool object_table::restoreSnapshot()
{
    const std::lock_guard guard(lock);
    if (!snapshot)
        return false;
    for (const auto &[key, object] : objects) {
        if (object.version > snapshotVersion)
            lostWrites[key] = object;
    }
    objects = *snapshot;
    version = snapshotVersion;
    rollbackVersion = version;
    ++rollbackCount;
    ++wakes;
    changed.notify_all();
    return true;
}

void object_table::replayLostWrites(const std::string &prefix)
{
    const std::lock_guard guard(lock);
    auto at = lostWrites.lower_bound(prefix);
    while (at != lostWrites.end() && at->first.starts_with(prefix)) {
        const auto current = objects.find(at->first);
        const bool isNewer = current != objects.end() && current->second.version > rollbackVersion;
        if (!isNewer) {
            at->second.version = ++version;
            objects[at->first] = at->second;
        }
        at = lostWrites.erase(at);
    }
    changed.notify_all();
}

std::uint64_t object_table::epoch() const
{
    const std::lock_guard guard(lock);
    return rollbackCount;
}

void object_table::wakeWatches()
{
    const std::lock_guard guard(lock);
    ++wakes;
    changed.notify_all();
}

void object_table::shutDown()
{
    const std::lock_guard guard(lock);
    isEnding = true;
    changed.notify_all();
}

} // namespace poplarspool::standin
