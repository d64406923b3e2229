#include "gateway/processing_time_estimates.h"

#include <algorithm>

namespace heatherspan {
namespace {

/// Initial estimates as fractions of the objective. Operators set objectives that a request for a
/// cached object meets with a margin and one for an uncached object just misses.
constexpr double kInitialCached = 0.5;
constexpr double kInitialUncached = 1.2;
/// Step of the running median as a fraction of its value. The step is 1/n for the first samples, so
/// that the estimate soon leaves its initial value, then small enough to suppress single outliers.
constexpr double kMaxStep = 0.5;
constexpr double kMinStep = 0.03;

auto Scale(Duration duration, double factor) -> Duration {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

auto ProcessingTimeEstimates::Median::Add(Duration sample) -> void {
  if (samples == 0) value = sample;
  ++samples;
  const double step = std::clamp(1.0 / samples, kMinStep, kMaxStep);
  const auto low = Scale(value, 1 - step);
  const auto high = Scale(value, 1 + step);
  value = std::clamp(sample, low, high);
}

auto ProcessingTimeEstimates::Estimate(const Route& route, const ServiceName& service) const
    -> ProcessingTimeEstimate {
  const ProcessingTimeEstimate initial{Scale(route.objective, kInitialCached),
                                       Scale(route.objective, kInitialUncached)};
  const auto found = entries_.find({route.name, service});
  if (found == entries_.end()) return initial;
  const auto& [cached, uncached] = found->second;
  ProcessingTimeEstimate estimate;
  estimate.uncached =
      uncached.samples > 0 ? uncached.value : std::max(initial.uncached, cached.value);
  estimate.cached = cached.samples > 0 ? cached.value : std::min(initial.cached, uncached.value);
  return estimate;
}

auto ProcessingTimeEstimates::Learn(const Route& route, const ServiceName& service, bool cached,
                                    Duration processing_time) -> void {
  auto& entry = entries_[{route.name, service}];
  (cached ? entry.cached : entry.uncached).Add(processing_time);
}

}  // namespace heatherspan
