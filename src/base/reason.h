#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace heatherspan {

/// Why a request was refused, retried or left without an answer. Each has a counter. The numbers go
/// over the wire: new ones are added at the end.
enum class Reason {
  kNone,
  kBadRequest,
  kUnknownService,
  kNoConfiguration,
  kTicketRequired,
  kTicketInvalid,
  kTicketExpired,
  kTicketTableFull,
  kTicketOwnerGone,
  kTicketOwnerUnreachable,
  kOverload,
  kQueueFull,
  kDeadline,
  kRegionCap,
  kShiftCap,
  kLinkBudget,
  kNoTarget,
  kNoZone,
  kTargetBusy,
  kTargetRefused,
  kTargetConnect,
  kTargetTimeout,
  kTargetConnectionLost,
  kTruncatedResponse,
  kResponseTooLarge,
  kPeerUnreachable,
  kPeerTimeout,
  kPeerConnectionLost,
  kRetryBudget,
  kLeaving,
  kDrained,
  kTeamLimit,
  kCancelled,
  kInternal,
  kTargetFailed,
  kTargetReplaced,
  kTimeout,
  kUnknownRoute,
  kCallerGone,
  kTargetLimit,
  kTargetPause,
  kHarmfulRequest,
  kSuspectedRequest,
  kUnknownAccessKey,
  kStaleConfiguration,
  kMemory,
  kConfigurationChanged,
};

/// Every reason, in the order of the enumeration.
auto AllReasons() -> const std::array<Reason, 47>&;

/// The reason as it stands in headers, logs and metric labels, for example "region-cap".
auto ReasonText(Reason reason) -> std::string_view;

/// The inverse of ReasonText.
auto ParseReason(std::string_view text) -> std::optional<Reason>;

}  // namespace heatherspan
