#include "gateway/target_limit.h"

#include <algorithm>
#include <utility>

namespace heatherspan {
namespace {

/// The largest number of saved requests, as a time at the share's rate and as a number. More would
/// let all entry VMs send together what each has saved.
constexpr double kMaxSavedSeconds = 0.25;
constexpr double kMinSavable = 1;
constexpr double kRoundingError = 1e-9;

}  // namespace

auto TargetLimit::SetLimit(std::optional<RequestsPerSecond> limit, MonotonicTime now) -> bool {
  if (!limit_.has_value()) {
    share_ = RequestsPerSecond(0);
    saved_ = 0;
    saved_at_ = now;
  }
  return std::exchange(limit_, limit) != limit;
}

auto TargetLimit::SetShare(RequestsPerSecond share, MonotonicTime now) -> void {
  saved_ = Saved(now);
  saved_at_ = now;
  share_ = share;
}

auto TargetLimit::Saved(MonotonicTime now) const -> double {
  const double earned = share_.value() * std::chrono::duration<double>(now - saved_at_).count();
  return std::min(saved_ + earned, std::max(kMinSavable, share_.value() * kMaxSavedSeconds));
}

auto TargetLimit::MaySend(MonotonicTime now) const -> bool {
  return !limit_.has_value() || Saved(now) >= 1 - kRoundingError;
}

auto TargetLimit::Wait(MonotonicTime now) const -> Duration {
  if (MaySend(now)) return Duration::zero();
  if (share_.value() <= 0) return Duration::max();
  const auto seconds = std::chrono::duration<double>((1 - Saved(now)) / share_.value());
  constexpr auto kLongest = std::chrono::hours(1);
  return seconds >= kLongest ? kLongest : std::chrono::duration_cast<Duration>(seconds);
}

auto TargetLimit::OnSent(MonotonicTime now) -> void {
  if (!limit_.has_value()) return;
  saved_ = std::max(0.0, Saved(now) - 1);
  saved_at_ = now;
}

}  // namespace heatherspan
