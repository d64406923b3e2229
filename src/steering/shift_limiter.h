#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/refusal.h"
#include "base/time.h"
#include "document/document.h"
#include "steering/shift_history.h"

namespace heatherspan {

/// Keeps a first node's shift of traffic between regions under its cap.
///
/// For each service and home region it compares the fractions of requests sent to each region in
/// the interval that ends now with those in the interval before. The sum of the fractions' growth
/// never exceeds shift_percent, in either direction: traffic that returns home is limited as well.
/// Where shift_percent of an interval's requests is less than one request, nothing is shifted.
/// Requests are spread evenly over the interval, a little below the cap, so that the cap also
/// holds between two decisions and for the sum of many nodes.
class ShiftLimiter {
 public:
  /// How long a region must have been healthy before more traffic may return to it.
  static constexpr Duration kMinHealthyTime = std::chrono::seconds(10);

  /// Keeps the history of services and regions that stay.
  auto Configure(const Document& document) -> void;

  /// Regions count as healthy until they are reported otherwise.
  auto SetHealthy(const RegionName& region, bool healthy, MonotonicTime now) -> void;

  /// Call once for each request, before its first Admit and not for its retries: the caps are
  /// fractions of these requests.
  auto OnRequest(const ServiceName& service, const RegionName& client_region, MonotonicTime now)
      -> void;

  /// Whether the request may be sent to the region; counts it as sent. Call it once for each
  /// request and region: another try in the same region is no shift. The refusal is "not run",
  /// kShiftCap, with Retry-After.
  auto Admit(const ServiceName& service, const RegionName& client_region, const RegionName& serving,
             MonotonicTime now) -> std::optional<Refusal>;

  /// The fraction of the last interval's requests sent to the region; for status.
  auto Fraction(const ServiceName& service, const RegionName& client_region,
                const RegionName& serving, MonotonicTime now) -> double;

 private:
  struct Rule {
    double fraction = 0.2;
    Duration interval{};
  };
  struct Flow {
    ShiftHistory history;
    std::vector<double> credit;  ///< By region: requests that may be sent now, at most two.
    double remote_credit = 0;    ///< The same for all regions but client_region together.
  };
  struct Health {
    bool healthy = true;
    std::optional<MonotonicTime> healthy_since;
  };
  using FlowKey = std::pair<ServiceName, RegionName>;

  auto RegionIndex(const RegionName& region) -> std::size_t;
  auto FlowOf(const ServiceName& service, std::size_t client_region, MonotonicTime now) -> Flow&;
  auto GrowthLimit(const Rule& rule, std::size_t client_region, std::size_t serving,
                   MonotonicTime now) const -> double;
  static auto AddCredit(double credit, double before, double step) -> double;
  static auto Growth(const ShiftHistory& history, std::size_t serving, std::size_t regions)
      -> double;

  std::vector<RegionName> regions_;
  std::vector<Health> health_;
  absl::flat_hash_map<ServiceName, Rule> rules_;
  absl::flat_hash_map<FlowKey, Flow> flows_;
};

}  // namespace heatherspan
