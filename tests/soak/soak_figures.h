#pragma once

#include <cstdint>

#include "base/time.h"

// Addresses, ports and times of a soak.
namespace heatherspan {

// Last parts of the loopback addresses.
inline constexpr int kStoreAddress = 1;
inline constexpr int kStoreProxies = 10;
inline constexpr int kGateways = 30;
inline constexpr int kCallerProxies = 50;
inline constexpr int kPeerProxies = 70;
inline constexpr int kTargets = 100;
inline constexpr int kTargetProxies = 150;

inline constexpr std::uint16_t kCallersPort = 7001;
inline constexpr std::uint16_t kReadinessPort = 7002;
inline constexpr std::uint16_t kDirectoryPort = 7003;
inline constexpr std::uint16_t kMetricsPort = 7004;
inline constexpr std::uint16_t kPeersPort = 7005;
inline constexpr std::uint16_t kTargetPort = 7010;
inline constexpr std::uint16_t kStorePort = 7020;

/// Of an orderly stop; the users' sites state it.
inline constexpr Duration kGrace = std::chrono::seconds(6);
/// For the end of a process to be seen.
inline constexpr Duration kOverdue = std::chrono::milliseconds(200);
/// Until all gateways are announced.
inline constexpr Duration kStartTime = std::chrono::seconds(10);
/// Over which service is measured after the last fault.
inline constexpr Duration kMeasured = std::chrono::seconds(3);
/// The effects of all steps have ended by then: the longest step, a stop and a start.
inline constexpr Duration kSettled = std::chrono::seconds(30);
inline constexpr Duration kLoop = std::chrono::milliseconds(5);
/// A stall of the soak's own loop that is worth a line, a tenth of the span of an undisturbed
/// party.
inline constexpr Duration kStall = std::chrono::milliseconds(400);
inline constexpr Duration kQuestionInterval = std::chrono::seconds(1);
/// Until a process that ended by itself is started again.
inline constexpr Duration kRestartPause = std::chrono::milliseconds(300);
/// A proxy acknowledges what it swallows, so that only the time limit of a call ends the silence:
/// that of a watch, StoreFollower::kWatchTime and StoreClient::kCallTimeout, or of a request.
inline constexpr Duration kSilenceTime = std::chrono::milliseconds(4700);
/// More than a short exchange takes.
inline constexpr Duration kTargetSilenceTime = std::chrono::milliseconds(1500);
/// How long a leaving target serves on, at least (the users' sites state it), and a little longer.
inline constexpr Duration kDrainTime = std::chrono::milliseconds(2500);
inline constexpr Duration kAfterDrain = std::chrono::milliseconds(1500);
/// A silent target's entry lasts three heartbeats.
inline constexpr Duration kEntryLifetime = std::chrono::milliseconds(4500);
/// Before that an address does not go to another service; the users' sites state it.
inline constexpr Duration kAddressReuse = std::chrono::seconds(2);
/// One way, on a slow link: several times the distance between regions.
inline constexpr Duration kSlowLink = std::chrono::milliseconds(250);
/// Of each connection of some gateways to the store and to other gateways while the configuration
/// grows: half a megabyte takes longer than PromiseBounds::apply.
inline constexpr double kBoundedLinkRate = 150'000;
/// Routes beside those that callers use, some 250 bytes each, in turn.
inline constexpr int kMoreRoutes[] = {1000, 2000, 0};
/// Until a configuration that has grown is changed again.
inline constexpr Duration kChangeAfterGrowth = std::chrono::milliseconds(1400);
/// Until an operator whose write the store has turned away writes again.
inline constexpr Duration kWriteAgain = std::chrono::milliseconds(100);
/// Versions grow in steps.
inline constexpr int kPolicyStep = 3;
/// Each sends the harmful request several times a second.
inline constexpr int kHarmfulCallers = 2;
inline constexpr const char* kHost = "soak.example";

}  // namespace heatherspan
