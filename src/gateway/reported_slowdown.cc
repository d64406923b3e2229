#include "gateway/reported_slowdown.h"

#include <algorithm>
#include <cmath>

namespace heatherspan {
namespace {

/// Time constant after which a slowdown is likely to be over.
constexpr double kTimeConstantSeconds = 0.3;
/// Weight of the latest comparison.
constexpr double kTrustWeight = 0.15;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto FromSeconds(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

auto ReportedSlowdown::Bounded(double slowdown) -> double {
  return slowdown < kMin ? 1 : std::min(slowdown, kMax);
}

auto ReportedSlowdown::OnReport(double slowdown, MonotonicTime now) -> void {
  reported_ = Bounded(slowdown);
  reported_at_ = now;
}

auto ReportedSlowdown::OnCompared(bool borne_out) -> void {
  trust_ += ((borne_out ? 1 : 0) - trust_) * kTrustWeight;
}

auto ReportedSlowdown::At(MonotonicTime start) const -> double {
  if (reported_ == 1) return 1;
  const double age = std::max(0.0, Seconds(start - reported_at_));
  return 1 + (reported_ - 1) * trust_ * std::exp(-age / kTimeConstantSeconds);
}

auto ReportedSlowdown::Stretch(Duration usual, MonotonicTime now) const -> Duration {
  const double slowdown = At(now);
  if (slowdown == 1) return usual;
  // The target loses a part of the time until the slowdown is over, but no more than that.
  const double lost =
      std::min(Seconds(usual) * (slowdown - 1), kTimeConstantSeconds * (1 - 1 / slowdown));
  return usual + FromSeconds(lost);
}

}  // namespace heatherspan
