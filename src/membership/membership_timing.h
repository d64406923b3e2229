#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace heatherspan {

/// The interval between calls of Membership::OnTick.
inline constexpr Duration kMembershipTick = std::chrono::milliseconds(100);
/// A tick that is late by more than this indicates that the process was paused.
inline constexpr Duration kPauseLimit = std::chrono::seconds(1);
/// One member is probed per period.
inline constexpr Duration kProbePeriod = std::chrono::seconds(1);
/// A direct probe takes 70 ms between regions. The remaining time allows for retransmission by
/// other queues.
inline constexpr Duration kDirectTimeout = std::chrono::milliseconds(300);
/// The time from the start of a probe, including indirect probes, to the failure of the probe.
inline constexpr Duration kProbeTimeout = std::chrono::milliseconds(900);
/// The minimum time from suspicion until a member is declared dead, if the platform lists the
/// member.
inline constexpr Duration kSuspicionTime = std::chrono::seconds(3);
/// Like kSuspicionTime, for a member that the platform no longer lists.
inline constexpr Duration kUnlistedSuspicionTime = std::chrono::milliseconds(1'500);
/// The interval between probes of a suspected member until the member refutes the suspicion or is
/// declared dead.
inline constexpr Duration kVerifyInterval = std::chrono::seconds(1);
/// Failed probes by this node before it declares a member dead. At 10% datagram loss, a probe of a
/// live member fails with probability 0.008, and 640 nodes together start 640 probes per second.
inline constexpr int kFailedProbesToDeclareDead = 3;
/// Like kFailedProbesToDeclareDead, if another node has already declared the member dead.
inline constexpr int kFailedProbesToConfirmDead = 2;
/// The interval between pings to a member that is dead in this node's table and alive according to
/// other nodes.
inline constexpr Duration kDisputeInterval = std::chrono::seconds(10);
/// An instance from which a datagram arrived within this time isn't replaced by an instance with an
/// earlier start time.
inline constexpr Duration kMinSilenceToReplace = std::chrono::seconds(3);
/// The interval between pings to an address that belongs to no live member. These pings merge
/// partitions.
inline constexpr Duration kReconnectInterval = std::chrono::seconds(5);
/// Like kReconnectInterval, while no other member is alive.
inline constexpr Duration kIsolatedReconnectInterval = std::chrono::milliseconds(500);
/// How long the record of a dead member is kept, so that a late update doesn't add the member as a
/// live member again.
inline constexpr Duration kDeadRecordRetention = std::chrono::minutes(10);
/// How long messages to a new member are filled with member records.
inline constexpr Duration kNewMemberTime = std::chrono::seconds(60);
/// A node that finds no further member for kSyncQuietTime plus kSyncTimePerMember for each known
/// member has the complete member list. Each tick brings at least five records from one peer.
inline constexpr Duration kSyncQuietTime = std::chrono::seconds(3);
inline constexpr Duration kSyncTimePerMember = kMembershipTick / 5;

inline constexpr std::size_t kIndirectProbes = 3;
/// The maximum number of updates in one message.
inline constexpr std::size_t kMaxUpdates = 8;
/// Member records in each message in addition to queued updates. They compensate for lost updates.
inline constexpr std::size_t kAntiEntropyUpdates = 2;
/// The largest datagram, including the envelope.
inline constexpr std::size_t kMaxDatagramBytes = 1'200;
/// The space for magic number, format, sender, sequence number, length and HMAC.
inline constexpr std::size_t kEnvelopeBytes = 64;
/// The maximum number of records, including dead members: 640 nodes, their replacements, and a
/// margin.
inline constexpr std::size_t kMaxMembers = 1'536;
/// The maximum size of the load report in a message.
inline constexpr std::size_t kMaxLoadBytes = 480;
/// The maximum number of new members to which the member list is sent at the same time.
inline constexpr std::size_t kMaxNewMemberCursors = 64;
inline constexpr std::size_t kMaxProbes = 64;
inline constexpr std::size_t kMaxRelays = 64;

}  // namespace heatherspan
