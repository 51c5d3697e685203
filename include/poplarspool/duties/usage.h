#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Number of requests per workspace that started to run in each window of true time, summed over
/// all instances.
namespace poplarspool::duties {

using window_number = std::uint64_t; ///< Counted from the Unix epoch (1970).

/// @returns The window that contains `at`; the first window for times before 1970.
window_number windowAt(wall_time at, milliseconds length);
/// @returns End of the window, which is the start of the next one.
wall_time endOf(window_number window, milliseconds length);

using usage_counts = std::map<workspace_id, std::uint64_t>;

struct usage_report
{
    window_number window = 0;
    usage_counts counts; ///< Without workspaces that had no requests.

    bool operator==(const usage_report &) const = default;
};

/// Some or all counts of one instance incarnation in one window. Counts only grow: of two counts of
/// one workspace, the greater one is the more recent.
struct incarnation_usage
{
    std::uint64_t incarnation = 0;
    window_number window = 0;
    std::vector<std::pair<workspace_id, std::uint64_t>> counts;

    bool operator==(const incarnation_usage &) const = default;
};

/// Usage counts of all incarnations of all instances. Thread-safe.
class usage_table
{
public:
    /// @param self Unique number of the local incarnation.
    explicit usage_table(std::uint64_t self) : self(self) { }

    /// Counts a request of the workspace that this instance has seen start to run.
    void recordRequestStart(window_number window, const workspace_id &workspace);
    /// Merges counts of another incarnation. Duplicate or outdated counts have no effect.
    void merge(const incarnation_usage &received);
    /// Records that all counts of another incarnation up to `at` have been received.
    /// @param isLast It has ended and sends no more.
    void recordReceivedUpTo(std::uint64_t incarnation, wall_time at, bool isLast);

    /// @returns Local counts that are to be sent, in parts that fit into one datagram each.
    /// @param sendsAll Return all local counts, not only those that changed recently.
    std::vector<incarnation_usage> collect(bool sendsAll);
    /// @returns The sum over all incarnations.
    usage_counts totalOf(window_number window) const;
    /// @returns Whether the counts up to `end` have been received from all incarnations that have
    ///          counted requests in window `since` or later. An incarnation that has ended counts
    ///          as complete.
    bool isComplete(window_number since, wall_time end) const;
    void forgetBefore(window_number window);

private:
    struct own_count
    {
        std::uint64_t count = 0;
        /// Number of the first update that sends the present count.
        std::uint64_t changedInUpdate = 0;
    };

    struct incarnation_state
    {
        wall_time receivedUpTo{};
        window_number lastWindow = 0;
        bool hasEnded = false;
    };

    const std::uint64_t self;
    mutable std::mutex guard;
    std::uint64_t updateNumber = 1;
    std::map<window_number, std::map<workspace_id, own_count>> own;
    std::map<window_number, std::map<std::uint64_t, usage_counts>> others; ///< By incarnation.
    std::map<std::uint64_t, incarnation_state> incarnations;
};

/// State that a holder of the duty leaves to the next one. A report is stored here before it is
/// sent, so that it is the same if this or another instance sends it again.
struct usage_checkpoint
{
    std::uint64_t epoch = 0; ///< Epoch of the store at the time of writing.
    window_number settled = 0; ///< No new report may be made of windows up to this one.
    std::vector<usage_report> reports; ///< To be sent in that term.

    bool operator==(const usage_checkpoint &) const = default;
};

std::string encode(const usage_checkpoint &checkpoint);
/// @returns None if the text is not a valid checkpoint.
std::optional<usage_checkpoint> decodeUsageCheckpoint(std::string_view text);

/// Input for the next checkpoint.
struct checkpoint_input
{
    std::uint64_t epoch = 0; ///< Epoch of the store.
    bool isFirst = false; ///< The store has never had a checkpoint, as far as it knows.
    window_number currentWindow = 0; ///< The window that is in progress.
    window_number lastDueWindow = 0; ///< Last window that is due for its report.
    std::optional<window_number> deliveredUpTo; ///< This instance has sent all reports up to it.
};

/// @param before The previous checkpoint; none if there is none that can be decoded.
/// @param totalOf Returns the counts of a window.
/// @returns The next checkpoint, with earlier reports that may not have been sent and the reports
///          of the windows that are due. Windows whose reports may have been lost in a store
///          rollback are skipped.
usage_checkpoint nextCheckpoint(const std::optional<usage_checkpoint> &before,
                                const checkpoint_input &state,
                                const std::function<usage_counts(window_number)> &totalOf);

} // namespace poplarspool::duties
