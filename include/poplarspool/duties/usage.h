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

/// How many requests of each workspace began to run in each window of true time, counted by all
/// instances together.
namespace poplarspool::duties {

using window_number = std::uint64_t; ///< Counted from the start of 1970.

/// @returns The window in which that moment lies; the first one for times before 1970.
window_number windowAt(wall_time at, milliseconds length);
/// @returns When the window ends, and the next one begins.
wall_time endOf(window_number window, milliseconds length);

using usage_counts = std::map<workspace_id, std::uint64_t>;

struct usage_report
{
    window_number window = 0;
    usage_counts counts; ///< Workspaces without a request are left out.

    bool operator==(const usage_report &) const = default;
};

/// Counts of one life of an instance in one window, all or some of them. They only grow: of two
/// that are told of one workspace, the greater one is the later one.
struct told_usage
{
    std::uint64_t life = 0;
    window_number window = 0;
    std::vector<std::pair<workspace_id, std::uint64_t>> counts;

    bool operator==(const told_usage &) const = default;
};

/// What is known of all lives of all instances. All members may be called from any thread.
class usage_ledger
{
public:
    /// @param self The own life: a number that no other one has.
    explicit usage_ledger(std::uint64_t self) : self(self) { }

    /// A request of the workspace has begun to run, as seen here.
    void noteBegun(window_number window, const workspace_id &workspace);
    /// Takes what another life has told; told twice or late, it changes nothing.
    void take(const told_usage &told);
    /// Another life has told all that it counted up to then.
    /// @param isLast It tells nothing more.
    void noteTold(std::uint64_t life, wall_time at, bool isLast);

    /// @returns Own counts that have changed in the last tellings, in parts that fit into a
    ///          datagram each.
    /// @param tellsAll All own counts, in place of changed ones.
    std::vector<told_usage> collect(bool tellsAll);
    /// @returns The sum over all lives.
    usage_counts totalOf(window_number window) const;
    /// @returns Whether all lives that have counted since `since` have told of all up to `end`.
    bool isComplete(window_number since, wall_time end) const;
    void forgetBefore(window_number window);

private:
    struct own_count
    {
        std::uint64_t count = 0;
        std::uint64_t changedIn = 0; ///< Telling before which it has changed last.
    };

    struct told_life
    {
        wall_time toldAt{};
        window_number lastWindow = 0;
        bool isOver = false;
    };

    const std::uint64_t self;
    mutable std::mutex guard;
    std::uint64_t tellings = 1;
    std::map<window_number, std::map<workspace_id, own_count>> own;
    std::map<window_number, std::map<std::uint64_t, usage_counts>> others; ///< By life.
    std::map<std::uint64_t, told_life> lives;
};

/// What holders of the duty leave to each other. A window's report stands here before it is sent:
/// sent again, by whomever, it is the same.
struct usage_note
{
    std::uint64_t epoch = 0; ///< Of the store, at the time of writing.
    window_number settled = 0; ///< No other report of windows up to this one may be made.
    std::vector<usage_report> reports; ///< To be sent in that term.

    bool operator==(const usage_note &) const = default;
};

std::string encode(const usage_note &note);
/// @returns None where the text is no such note.
std::optional<usage_note> decodeUsageNote(std::string_view text);

/// What the next note is made of.
struct usage_state
{
    std::uint64_t epoch = 0; ///< Of the store.
    bool isFirst = false; ///< As far as the store knows, there has never been a note.
    window_number present = 0; ///< The window that runs now.
    window_number due = 0; ///< The last one whose counts are there.
    std::optional<window_number> delivered; ///< This instance has sent all up to it.
};

/// @param before None: there is none that can be read.
/// @param totalOf Counts of a window.
/// @returns The next note: reports before it that may not have been sent, and those of the windows
///          that are due.
usage_note nextNote(const std::optional<usage_note> &before, const usage_state &state,
                    const std::function<usage_counts(window_number)> &totalOf);

} // namespace poplarspool::duties
