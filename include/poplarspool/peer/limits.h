#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of the traffic between instances.
namespace poplarspool::config {

using namespace std::chrono_literals;

/// Maximum size of one datagram in bytes, below the usual MTU.
inline constexpr std::size_t maxDatagramBytes = 1400;
/// Number of peers that an instance sends to in one gossip round.
inline constexpr std::size_t gossipFanout = 3;
/// Maximum gossip traffic that one instance sends, in bytes per second. It receives as much again,
/// and the users allow 17 KB per second for all control traffic.
inline constexpr std::size_t gossipBytesPerSecond = 8 * 1024;
/// Time without an answer after which a member becomes suspect, and time after which a suspect
/// member is declared dead.
inline constexpr std::chrono::milliseconds probeTimeout = 1500ms;
inline constexpr std::chrono::milliseconds suspicionTimeout = 4s;
/// Interval at which an instance sends load updates: what it has sent to runners.
inline constexpr std::chrono::milliseconds loadUpdateInterval = 40ms;
/// Maximum number of load updates that an instance sends per second to its own zone and to all
/// others; above it, loadUpdateInterval grows. With a third of these rates, prompts in a fleet of
/// 67 queue behind each other at engines that seem idle.
inline constexpr std::size_t sameZoneLoadUpdatesPerSecond = 400;
inline constexpr std::size_t otherZonesLoadUpdatesPerSecond = 300;
/// Number of instances above which the load updates of the whole fleet no longer grow: each
/// instance handles a smaller share of the requests and has less to report. Without this limit, 295
/// instances send and receive 206,000 datagrams per second, 3.4 times as many as 87 do.
inline constexpr std::size_t loadUpdateFullRateFleet = 96;
/// Maximum interval between two load updates to the same instances: a request lasts for less. A
/// group of instances that can't be told as often is told nothing.
inline constexpr std::chrono::milliseconds maxLoadUpdateInterval = 4s;
/// Number of other instances in a zone from which they send one digest to each other zone.
inline constexpr std::size_t minZonePeersForDigest = 8;
/// Datagrams of other zones' digests that an instance gets per second, and forwards in the mean.
/// They are full, and take a tenth of a link of 10 Mbit/s each way.
inline constexpr std::size_t digestDatagramsPerSecond = 100;
/// Runners in one part of a digest, on the average: parts are of different sizes.
inline constexpr std::size_t digestPartItems = 40;
/// Maximum number of parts of a digest: those of 10,000 busy runners.
inline constexpr std::uint32_t maxDigestParts = 256;
/// Maximum numbers of entries in one load update, so that it fits into a datagram.
inline constexpr std::size_t maxLoadItems = 64;
inline constexpr std::size_t maxCachedPrefixes = 48;
inline constexpr std::size_t maxWorkspaceItems = 16;
inline constexpr std::size_t maxEngineSamples = 16;
/// Number of other instances from which on two relays watch the platform's store for them. If one
/// relay dies, freezes or is rejected by the store, the others need not query the store themselves.
/// With fewer instances, the second relay costs more store calls than it saves.
inline constexpr std::size_t minOthersForTwoRelays = 32;
/// Interval between two datagrams of a relay without changes, and time without a datagram after
/// which a relay is considered gone. Two datagrams may be lost.
inline constexpr std::chrono::milliseconds storeUpdateInterval = 250ms;
inline constexpr std::chrono::milliseconds relaySilenceLimit = 700ms;
/// Maximum delay before an instance takes over from a relay that has gone silent. It is ten times
/// the transit time of a datagram, so that only a few of 50 instances that notice at the same time
/// take over.
inline constexpr std::chrono::milliseconds maxTakeoverDelay = 500ms;
/// Time for which a silent relay is remembered, and by which clock differences and datagram delays
/// between two instances may make a confirmation appear newer than it was.
inline constexpr std::chrono::milliseconds relayRetention = 2s;
/// Maximum wait for a datagram. Only determines how often the thread checks whether to stop.
inline constexpr std::chrono::milliseconds storeUpdateIdleTime = 5s;
/// Time for which a relayed change is repeated, in four datagrams. An instance that still lacks the
/// change afterwards reads it from the store.
inline constexpr std::chrono::milliseconds relayedChangeRetention = 1s;
/// Time for which changes are kept to be repeated on request, and their bytes: longer than an
/// instance that lacks them waits before it asks the store.
inline constexpr std::chrono::milliseconds changeLogTime = 4s;
inline constexpr std::size_t maxChangeLogBytes = std::size_t{512} * 1024;
/// Interval between two requests of an instance for the same kind, and between two repetitions of
/// the same changes: a few round trips over forwarders.
inline constexpr std::chrono::milliseconds changeRequestInterval = 250ms;
inline constexpr std::chrono::milliseconds minRepeatInterval = 1s;
/// Time without progress after which an instance that lacks changes requests them: datagrams may be
/// on their way for as long while many changes fill the links.
inline constexpr std::chrono::milliseconds missingChangesTime = 500ms;
/// Maximum number of updates that are kept until those before them arrive.
inline constexpr std::size_t maxEarlyUpdates = 64;
/// Limits of one datagram of relayed changes: number of kinds, number of changes of a kind, bytes
/// of one change, bytes of all changes.
inline constexpr std::size_t maxUpdateKinds = 4;
inline constexpr std::size_t maxRelayedChanges = 32;
inline constexpr std::size_t maxChangeBytes = 1150;
inline constexpr std::size_t maxRelayedBytes = 1100;
/// Maximum number of datagrams for the changes of one call to the store: those of 8,000 runners.
inline constexpr std::size_t maxUpdateParts = 256;
/// Number of recipients up to which a relay sends to each of them. With more, it sends to a few
/// instances that forward its datagrams: its own link and processor must not limit the fleet.
inline constexpr std::size_t maxDirectRecipients = 64;
/// Maximum number of instances to which one instance forwards; their addresses are in the datagram.
inline constexpr std::size_t maxForwardGroup = 15;
/// Maximum size of one rumor's payload, in bytes.
inline constexpr std::size_t maxRumorBytes = 512;
/// Maximum size of one call between instances, in bytes.
inline constexpr std::size_t maxPeerCallBytes = 2 * 1024 * 1024;
/// Time limit of one call between instances.
inline constexpr std::chrono::milliseconds peerCallTimeout = 2s;
/// Maximum number of members in one instance's membership table.
inline constexpr std::size_t maxMembers = 1024;
/// Interval between two heartbeats of one instance. It is longer in deployments with so many
/// members that the heartbeats would exceed the byte budget.
inline constexpr std::chrono::milliseconds heartbeatInterval = 1s;
/// Number of members that are requested to probe a member that did not answer.
inline constexpr std::size_t indirectProbes = 3;
/// Time for which a dead member is remembered, so that a delayed update can't revive it.
inline constexpr std::chrono::milliseconds deadRetention = 10min;
/// Interval between two pages of the full state, which make up for lost deltas.
inline constexpr std::chrono::milliseconds gossipPageInterval = 2s;
/// Maximum share of the gossip budget for heartbeats.
inline constexpr double heartbeatBudgetShare = 0.67;
/// Share of a datagram's updates that is reserved for rumors. They also use the space that
/// heartbeats leave.
inline constexpr double rumorShare = 0.25;
/// Size of the IP and UDP headers in bytes, which also count against the budget.
inline constexpr std::size_t datagramOverheadBytes = 28;
/// Number of datagrams by which those of one sender may arrive out of order.
inline constexpr std::size_t replayWindowSize = 1024;
/// Maximum number of rumors that one instance keeps, and time after which a rumor that isn't
/// refreshed is dropped.
inline constexpr std::size_t maxRumors = 4096;
inline constexpr std::chrono::milliseconds rumorRetention = 30s;
/// Maximum number of peer connections that one instance serves. Each takes one thread.
inline constexpr std::size_t maxPeerConnections = 256;
/// Maximum number of idle connections per peer, and idle time after which one is closed.
inline constexpr std::size_t maxIdlePeerConnections = 4;
inline constexpr std::chrono::milliseconds peerIdleTimeout = 60s;
/// Limits of one message between instances.
inline constexpr std::size_t maxWireObjects = 8192;
inline constexpr std::size_t maxWireHeaders = 256;
inline constexpr std::size_t maxWireEvents = 65536;
inline constexpr std::size_t maxWireEventFields = 64;
inline constexpr std::size_t maxWireKeyBytes = 1024;

} // namespace poplarspool::config
