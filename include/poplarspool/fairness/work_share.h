#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/fairness/limits.h"

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

/// Fair share of workspaces, for a service whose capacity is short since some of its workspaces ask
/// for many times their share. Pure functions over plain values: no I/O, no clock, no threads.
namespace poplarspool::fairness {

/// What one workspace has asked for and got from one service.
struct work_counts
{
    std::uint32_t asked = 0; ///< Requests.
    std::uint32_t sends = 0;
    std::uint64_t work = 0; ///< Of the sends, in prompt tokens.

    bool operator==(const work_counts &) const = default;
};

/// Sliding window of config::shareWindow.
struct work_window
{
    std::array<work_counts, config::shareSlots> slots{};
    std::int64_t lastSlot = 0; ///< Number of the latest one, counted from the clock's origin.

    bool operator==(const work_window &) const = default;
};

void addCounts(work_window &window, mono_time now, const work_counts &added);
work_counts countsIn(const work_window &window, mono_time now);

struct window_key
{
    std::string service;
    std::uint32_t workspace = 0; ///< Hash of its id.

    auto operator<=>(const window_key &) const = default; // NOLINT(modernize-use-nullptr): wrong
};

/// Counts of one instance: at most config::maxShareWorkspaces, the lightest are evicted.
using work_table = std::map<window_key, work_window>;

void addCounts(work_table &table, const window_key &key, mono_time now, const work_counts &added);

struct workspace_total
{
    std::uint32_t workspace = 0;
    std::uint64_t work = 0;

    bool operator==(const workspace_total &) const = default;
};

/// @returns Work of the workspaces over all services, heaviest first, at most `count`.
std::vector<workspace_total> heaviestOf(const work_table &table, mono_time now, std::size_t count);

/// What another instance has sent, over all services.
struct work_report
{
    mono_time receivedAt{};
    std::vector<workspace_total> totals;

    bool operator==(const work_report &) const = default;
};

/// Work of one workspace at one service, over all known instances.
struct workspace_load
{
    std::uint32_t workspace = 0;
    work_counts own; ///< Of this instance.
    double work = 0;

    bool operator==(const workspace_load &) const = default;
};

/// Adds the reports to the counts. A report doesn't tell services: its work is split as in the own
/// counts, a random sample of the same requests.
std::vector<workspace_load> mergeLoads(const work_table &table,
                                       std::span<const work_report> reports,
                                       const std::string &service, mono_time now);

/// @returns The level up to which each of the demands is met if they share the capacity by max-min
///          fairness; the largest demand if it suffices for all.
double maxMinLevel(std::vector<double> demands, double capacity);

struct share_verdict
{
    /// Part of the workspace's requests that is within its share, in [0, 1].
    double withinPart = 1;
    double share = 0; ///< Of all work, in [0, 1].
    double fairShare = 0;

    bool operator==(const share_verdict &) const = default;
};

struct count_origin
{
    milliseconds countedFor = config::shareWindow; ///< Time since this instance began to count.
    std::size_t instances = 1; ///< Those whose counts are in the loads.

    bool operator==(const count_origin &) const = default;
};

/// The workspace's demand is its work, increased by the requests per send that it has made here.
/// Retries increase the demand and so decrease the part of the requests that is within the share.
///
/// An instance that has counted for less than the window has made its sends without knowing the
/// shares. It scales up its own requests instead, as if all instances had as many: with its
/// requests per send, it would need several windows to find the demand of a heavy workspace.
share_verdict shareOf(std::span<const workspace_load> loads, std::uint32_t workspace,
                      const count_origin &origin = {});

/// Selects the requests within the share at random. If the first ones of each window were within
/// it, a heavy workspace would fill the engines' queues in bursts and delay the others.
/// @param draw Random number in [0, 1) of the request.
bool isAboveShare(const share_verdict &verdict, double draw);

} // namespace poplarspool::fairness
