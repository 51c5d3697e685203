#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits for the fair share of workspaces.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Work older than this doesn't count; neither do reports of an instance that is silent for longer.
/// Shorter windows hold too few requests of a light workspace to tell it from a heavy one.
inline constexpr std::chrono::milliseconds shareWindow = 4s;
inline constexpr std::size_t shareSlots = 16;
/// With fewer own requests in the window, the counts of one instance say nothing about shares.
inline constexpr std::uint32_t minShareRequests = 20;
/// Counts of an instance that has just started are scaled up as if taken over this time at least.
/// Over less, a few requests of a light workspace would look like many times its demand.
inline constexpr std::chrono::milliseconds minCountTime = 100ms;
inline constexpr std::size_t maxShareWorkspaces = 256;
/// Prompt tokens that take an engine as long as one generated token.
inline constexpr std::uint32_t workPerOutputToken = 10;
/// A workspace that asks for up to this part of its share is within it: otherwise noise in the
/// counts would hold back one that asks for just its share.
inline constexpr double shareTolerance = 1.25;
/// Of a workspace that asks for more, requests for this part of its share are within it. The counts
/// include sends that time out in a queue; with the whole share, the requests within the shares of
/// all workspaces would exceed the capacity.
inline constexpr double guaranteedSharePart = 0.9;
/// Time after a late or refused request for which the capacity of its service counts as short.
inline constexpr std::chrono::milliseconds shortageTime = 1s;
/// Interval between two reports to the instances of the own zone.
inline constexpr std::chrono::milliseconds shareReportInterval = 500ms;

} // namespace poplarspool::config
