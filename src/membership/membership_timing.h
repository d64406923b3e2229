#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace heatherspan {

/// How often Membership::OnTick is to be called.
inline constexpr Duration kMembershipTick = std::chrono::milliseconds(100);
/// A tick later than this shows that the process was paused.
inline constexpr Duration kPauseLimit = std::chrono::seconds(1);
/// One member is probed in each period.
inline constexpr Duration kProbePeriod = std::chrono::seconds(1);
/// A direct probe takes 70 ms between regions; the rest is for retransmission by other queues.
inline constexpr Duration kDirectTimeout = std::chrono::milliseconds(300);
/// From the start of a probe, with its indirect part, to its failure.
inline constexpr Duration kProbeTimeout = std::chrono::milliseconds(900);
/// From suspicion to death, if the member is still listed by the platform.
inline constexpr Duration kSuspicionTime = std::chrono::seconds(3);
/// The same for a member that the platform no longer lists.
inline constexpr Duration kUnlistedSuspicionTime = std::chrono::milliseconds(1'500);
/// How often a suspected member is probed again until it refutes or is dead.
inline constexpr Duration kVerifyInterval = std::chrono::seconds(1);
/// Failed probes by this node before it declares a member dead: at 10% loss a probe of a live
/// member fails with probability 0.008, and one of 640 nodes starts a probe 640 times a second.
inline constexpr int kFailedProbesToDeclareDead = 3;
/// The same if another node has already declared the member dead.
inline constexpr int kFailedProbesToConfirmDead = 2;
/// How often a member that others call alive is asked although this node holds it dead.
inline constexpr Duration kDisputeInterval = std::chrono::seconds(10);
/// An instance that was heard within this time isn't replaced by one with an earlier start time.
inline constexpr Duration kMinSilenceToReplace = std::chrono::seconds(3);
/// How often one address that belongs to no live member is tried, to merge partitions.
inline constexpr Duration kReconnectInterval = std::chrono::seconds(5);
/// The same while no other member is alive.
inline constexpr Duration kIsolatedReconnectInterval = std::chrono::milliseconds(500);
/// How long the record of a dead member is kept, against late news that it is alive.
inline constexpr Duration kDeadRecordRetention = std::chrono::minutes(10);
/// For how long a new member gets full messages of member records.
inline constexpr Duration kNewMemberTime = std::chrono::seconds(60);
/// A node that learnt of no further member for this long, and for kSyncTimePerMember for each
/// known one, has the whole list. A tick brings at least five records from one peer.
inline constexpr Duration kSyncQuietTime = std::chrono::seconds(3);
inline constexpr Duration kSyncTimePerMember = kMembershipTick / 5;

inline constexpr std::size_t kIndirectProbes = 3;
/// Updates in one message.
inline constexpr std::size_t kMaxUpdates = 8;
/// Member records in each message beyond news, which repair lost updates.
inline constexpr std::size_t kAntiEntropyUpdates = 2;
/// The largest datagram, with its envelope.
inline constexpr std::size_t kMaxDatagramBytes = 1'200;
/// Room for magic, format, sender, sequence, length and HMAC.
inline constexpr std::size_t kEnvelopeBytes = 64;
/// Records, dead ones included: 640 nodes, both halves of a replaced fleet, and a margin.
inline constexpr std::size_t kMaxMembers = 1'536;
/// The part of a message that the load report may take.
inline constexpr std::size_t kMaxLoadBytes = 480;
/// New members that are led through the member list at one time.
inline constexpr std::size_t kMaxNewMemberCursors = 64;
inline constexpr std::size_t kMaxProbes = 64;
inline constexpr std::size_t kMaxRelays = 64;

}  // namespace heatherspan
