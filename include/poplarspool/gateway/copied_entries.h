#pragma once

#include "poplarspool/gateway/catalogue.h"

#include <map>
#include <optional>
#include <vector>

namespace poplarspool::gateway {

/// Names an entry of a runner that is outdated, and all that the runner wrote before it.
struct entry_mark
{
    runner_id id;
    std::uint64_t bornMs = 0;
    std::uint64_t writes = 0;

    bool operator==(const entry_mark &) const = default;
};

/// Tells which entries of runners come from an older copy of the store and are outdated.
///
/// A store that comes back from an older copy shows runners in service that have said since that
/// they leave, and whose word was lost. Believed, they would get requests until they end, and
/// callers would be cut off. They say it again, but later; until then, what was known before
/// counts. A runner that lives writes its entry anew, and is believed from then on; so is an entry
/// that still stands when those of runners that have ended have long lapsed.
class copied_entries
{
public:
    /// A runner is listed no more.
    void noteGone(const runner &entry, mono_time now);
    /// The store has come back; all entries of its copy.
    void setCopy(const runner_map &known, const std::vector<runner> &copy, mono_time now);
    /// Takes the word of an instance that has known more than the copy shows; each mark counts
    /// once.
    void doubt(const std::vector<entry_mark> &told, mono_time now);
    /// @returns What an instance that starts should know of the copy that was set last; nothing
    ///          once all doubt is over.
    const std::vector<entry_mark> &marks() const { return marksOfCopy; }
    /// @returns Whether less was known when the entry was written than is known by now.
    bool isOutdated(const runner &entry);
    /// @returns Outdated entries that still stand, and have to be believed by now.
    std::vector<runner> takeOverdue(mono_time now);
    /// The store has removed the entry.
    void forget(const runner_id &id) { outdated.erase(id); }

    std::size_t countOutdated() const { return outdated.size(); }

private:
    struct gone_runner
    {
        std::uint64_t bornMs = 0;
        mono_time at{};
    };

    /// An entry as it stands in the copy.
    struct doubted_entry
    {
        std::uint64_t bornMs = 0;
        std::uint64_t writes = 0;
        mono_time since{};
        std::optional<runner> listed; ///< None: only its mark is known yet.
    };

    void forgetOld(mono_time now);
    bool isLessThanKnown(const runner_map &known, const runner &entry) const;
    void mark(const runner &entry);

    std::map<runner_id, gone_runner> gone;
    std::map<runner_id, doubted_entry> outdated;
    std::vector<entry_mark> marksOfCopy;
    mono_time copiedAt{};
    std::map<runner_id, entry_mark> toldMarks; ///< Have counted.
};

} // namespace poplarspool::gateway
