#include "gateway/spillover_limiter.h"

#include <algorithm>

namespace heatherspan {
namespace {

/// Fraction of the permitted change that is used. The limit applies to the sum over all nodes, but
/// each node sees only its own requests.
constexpr double kUsedFraction = 0.7;
/// With fewer requests in a window, a fraction is not meaningful.
constexpr int kMinRequests = 8;

auto Fraction(int part, int whole) -> double {
  return whole == 0 ? 0 : static_cast<double>(part) / whole;
}

}  // namespace

auto SpilloverLimiter::Expire(MonotonicTime now) -> void {
  while (!sent_.empty() && sent_.front().at < now - 2 * limits_.window) sent_.pop_front();
}

auto SpilloverLimiter::Count(MonotonicTime from, MonotonicTime to) const -> Counts {
  Counts counts;
  for (const auto& sent : sent_) {
    if (sent.at < from || sent.at >= to) continue;
    ++counts.sent;
    if (sent.spilled) ++counts.spilled;
  }
  return counts;
}

auto SpilloverLimiter::MaySpill(MonotonicTime now) -> bool {
  Expire(now);
  const auto before = Count(now - 2 * limits_.window, now - limits_.window);
  const auto current = Count(now - limits_.window, now + Duration(1));
  // Without requests in the previous window there is no fraction to compare with.
  if (before.sent < kMinRequests) return true;
  const double max_fraction =
      Fraction(before.spilled, before.sent) + kUsedFraction * limits_.max_fraction_increase;
  return Fraction(current.spilled + 1, std::max(current.sent + 1, kMinRequests)) <= max_fraction;
}

auto SpilloverLimiter::OnSent(bool spilled, MonotonicTime now) -> void {
  Expire(now);
  sent_.push_back({now, spilled});
}

}  // namespace heatherspan
