#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace heatherspan {

/// What a target has said of its limit, as entry VMs tell each other.
struct LimitReport {
  TargetName target;
  std::optional<RequestsPerSecond> limit;  ///< Empty if the target names none any more.
  Duration age{};                          ///< Since the target's answer.

  friend auto operator==(const LimitReport&, const LimitReport&) -> bool = default;
};

/// The reports as text, for example "i-1 2.5 350;i-2 - 1200": target, requests per second or "-",
/// and age in milliseconds.
auto WriteLimitReports(const std::vector<LimitReport>& reports) -> std::string;
/// Leaves out what is malformed.
auto ReadLimitReports(std::string_view text) -> std::vector<LimitReport>;

}  // namespace heatherspan
