#include "gateway/work_estimates.h"

#include <algorithm>

namespace heatherspan {
namespace {

/// Shares of the objective taken before anything has been measured: operators set objectives that a
/// warm target meets with room to spare and a cold one just misses.
constexpr double kInitialWarm = 0.5;
constexpr double kInitialCold = 1.2;
/// Step of the running median, as a share of its value. 1/n for the first samples, so that it soon
/// leaves its start; then small enough that single outliers don't count.
constexpr double kLargestStep = 0.5;
constexpr double kSmallestStep = 0.03;

auto Scale(Duration duration, double factor) -> Duration {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

auto WorkEstimates::Median::Add(Duration sample) -> void {
  if (samples == 0) value = sample;
  ++samples;
  const double step = std::clamp(1.0 / samples, kSmallestStep, kLargestStep);
  const auto low = Scale(value, 1 - step);
  const auto high = Scale(value, 1 + step);
  value = std::clamp(sample, low, high);
}

auto WorkEstimates::Estimate(const Route& route, const ServiceName& service) const -> WorkEstimate {
  const WorkEstimate initial{Scale(route.objective, kInitialWarm),
                             Scale(route.objective, kInitialCold)};
  const auto found = entries_.find({route.name, service});
  if (found == entries_.end()) return initial;
  const auto& [warm, cold] = found->second;
  WorkEstimate estimate;
  estimate.cold = cold.samples > 0 ? cold.value : std::max(initial.cold, warm.value);
  estimate.warm = warm.samples > 0 ? warm.value : std::min(initial.warm, cold.value);
  return estimate;
}

auto WorkEstimates::Learn(const Route& route, const ServiceName& service, bool warm, Duration work)
    -> void {
  auto& entry = entries_[{route.name, service}];
  (warm ? entry.warm : entry.cold).Add(work);
}

}  // namespace heatherspan
