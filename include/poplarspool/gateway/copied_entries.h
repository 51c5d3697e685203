#pragma once

#include "poplarspool/gateway/catalogue.h"

#include <map>
#include <vector>

namespace poplarspool::gateway {

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

    void forgetOld(mono_time now);
    bool isLessThanKnown(const runner_map &known, const runner &entry) const;

    std::map<runner_id, gone_runner> gone;
    std::map<runner_id, runner> outdated; ///< As they stand in the copy.
    mono_time copiedAt{};
};

} // namespace poplarspool::gateway
