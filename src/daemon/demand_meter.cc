#include "daemon/demand_meter.h"

#include <cmath>

namespace heatherspan {
namespace {

constexpr double kTimeConstantSeconds = 2;

}  // namespace

auto DemandMeter::DecayedCount(MonotonicTime now) const -> double {
  const double elapsed = std::chrono::duration<double>(now - updated_).count();
  return count_ * std::exp(-elapsed / kTimeConstantSeconds);
}

auto DemandMeter::OnArrival(MonotonicTime now) -> void {
  count_ = DecayedCount(now) + 1;
  updated_ = now;
}

auto DemandMeter::Rate(MonotonicTime now) const -> RequestsPerSecond {
  return RequestsPerSecond(DecayedCount(now) / kTimeConstantSeconds);
}

}  // namespace heatherspan
