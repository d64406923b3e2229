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

/// Limits how fast an entry VM shifts traffic between regions.
///
/// The client region of a request is the region of the caller's client block. For each service and
/// client region, the limiter compares the fractions of requests sent to each region in the
/// interval that ends now with the fractions in the interval before. The sum of the growth of these
/// fractions never exceeds shift_percent. The limit also applies to traffic that returns to its
/// client region. Where shift_percent of an interval's requests is less than one request, nothing
/// is shifted.
///
/// Shifted requests are spread evenly over the interval, at a rate slightly below the cap, so that
/// the cap also holds between two decisions and for the sum of many nodes.
class ShiftLimiter {
 public:
  /// The time for which a region must be healthy before more traffic may return to it.
  static constexpr Duration kMinHealthyTime = std::chrono::seconds(10);

  /// Keeps the history of services that remain in the document, and of all regions.
  auto Configure(const Document& document) -> void;

  /// A region counts as healthy until a call reports otherwise.
  auto SetHealthy(const RegionName& region, bool healthy, MonotonicTime now) -> void;

  /// Must be called once for each request, before its first Admit, and not for its retries: the
  /// caps are fractions of these requests.
  auto OnRequest(const ServiceName& service, const RegionName& client_region, MonotonicTime now)
      -> void;

  /// Admits a request to a region and counts it as sent, or returns a refusal. Must be called once
  /// for each request and region: another attempt in the same region is no shift. The refusal has
  /// the verdict "not run", the reason kShiftCap and a Retry-After.
  auto Admit(const ServiceName& service, const RegionName& client_region, const RegionName& serving,
             MonotonicTime now) -> std::optional<Refusal>;

  /// The fraction of the last interval's requests that were sent to the region; for the status.
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
    double remote_credit = 0;    ///< Credit of all regions together except the client region.
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
