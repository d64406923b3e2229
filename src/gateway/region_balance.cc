#include "gateway/region_balance.h"

#include <algorithm>

namespace heatherspan {
namespace {

/// Part of the permitted change that is used: the sum over nodes is judged, and each sees only its
/// own requests.
constexpr double kUsedPart = 0.7;
/// With fewer requests in a window a share means nothing.
constexpr int kFewestRequests = 8;

auto Fraction(int part, int whole) -> double {
  return whole == 0 ? 0 : static_cast<double>(part) / whole;
}

}  // namespace

auto RegionBalance::Expire(MonotonicTime now) -> void {
  while (!sent_.empty() && sent_.front().at < now - 2 * limits_.window) sent_.pop_front();
}

auto RegionBalance::Count(MonotonicTime from, MonotonicTime to) const -> Share {
  Share share;
  for (const auto& sent : sent_) {
    if (sent.at < from || sent.at >= to) continue;
    ++share.sent;
    if (sent.left) ++share.left;
  }
  return share;
}

auto RegionBalance::MayLeave(MonotonicTime now) -> bool {
  Expire(now);
  const auto before = Count(now - 2 * limits_.window, now - limits_.window);
  const auto current = Count(now - limits_.window, now + Duration(1));
  // Without a window before there is nothing that could change.
  if (before.sent < kFewestRequests) return true;
  const double most = Fraction(before.left, before.sent) + kUsedPart * limits_.max_change;
  return Fraction(current.left + 1, std::max(current.sent + 1, kFewestRequests)) <= most;
}

auto RegionBalance::OnSent(bool left_region, MonotonicTime now) -> void {
  Expire(now);
  sent_.push_back({now, left_region});
}

}  // namespace heatherspan
