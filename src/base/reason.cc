#include "base/reason.h"

#include <cstddef>

namespace heatherspan {
namespace {

constexpr std::array<std::string_view, 47> kTexts = {
    "none",
    "bad-request",
    "unknown-service",
    "no-configuration",
    "ticket-required",
    "ticket-invalid",
    "ticket-expired",
    "ticket-table-full",
    "ticket-owner-gone",
    "ticket-owner-unreachable",
    "overload",
    "queue-full",
    "deadline",
    "region-cap",
    "shift-cap",
    "link-budget",
    "no-target",
    "no-zone",
    "target-busy",
    "target-refused",
    "target-connect",
    "target-timeout",
    "target-connection-lost",
    "truncated-response",
    "response-too-large",
    "peer-unreachable",
    "peer-timeout",
    "peer-connection-lost",
    "retry-budget",
    "leaving",
    "drained",
    "team-limit",
    "cancelled",
    "internal",
    "target-failed",
    "target-replaced",
    "timeout",
    "unknown-route",
    "caller-gone",
    "target-limit",
    "target-pause",
    "harmful-request",
    "suspected-request",
    "unknown-access-key",
    "stale-configuration",
    "memory",
    "configuration-changed",
};

}  // namespace

auto AllReasons() -> const std::array<Reason, 47>& {
  static constexpr std::array<Reason, 47> kAll = [] {
    std::array<Reason, 47> all{};
    for (std::size_t i = 0; i < all.size(); ++i) all[i] = static_cast<Reason>(i);
    return all;
  }();
  return kAll;
}

auto ReasonText(Reason reason) -> std::string_view {
  return kTexts[static_cast<std::size_t>(reason)];
}

auto ParseReason(std::string_view text) -> std::optional<Reason> {
  for (const auto reason : AllReasons()) {
    if (ReasonText(reason) == text) return reason;
  }
  return std::nullopt;
}

}  // namespace heatherspan
