#include "steering/link_budget.h"

#include <algorithm>

namespace heatherspan {
namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto LinkBudget::Update(const SteeringView& view, MonotonicTime now) -> void {
  absl::flat_hash_map<Direction, double> rates;
  for (const auto& link : view.document().links) {
    const double usable = link.capacity.value() * link.usable_fraction * kBytesPerMegabit;
    for (const auto& direction : {Direction(link.a, link.b), Direction(link.b, link.a)}) {
      const auto from = view.FindRegion(direction.first);
      if (!from.has_value() || !view.FindRegion(direction.second).has_value()) continue;
      const auto nodes = std::max<std::size_t>(1, view.regions()[*from].live_nodes);
      rates[direction] = usable / static_cast<double>(nodes);
    }
  }
  absl::erase_if(buckets_, [&](const auto& item) { return !rates.contains(item.first); });
  for (const auto& [direction, rate] : rates) SetRate(direction, rate, now);
}

auto LinkBudget::TryReserve(const RegionName& from, const RegionName& to, Bytes bytes,
                            MonotonicTime now) -> bool {
  if (from == to) return true;
  if (!CanReserve(from, to, bytes, now)) return false;
  auto& bucket = buckets_.find(Direction(from, to))->second;
  bucket.tokens = TokensAt(bucket, now) - static_cast<double>(bytes.value());
  bucket.updated = std::max(bucket.updated, now);
  return true;
}

auto LinkBudget::CorrectReservation(const RegionName& from, const RegionName& to, Bytes expected,
                                    Bytes actual) -> void {
  const auto found = buckets_.find(Direction(from, to));
  if (found == buckets_.end()) return;
  auto& bucket = found->second;
  const auto difference = static_cast<double>(expected.value() - actual.value());
  bucket.tokens = std::min(bucket.burst, bucket.tokens + difference);
}

auto LinkBudget::CanReserve(const RegionName& from, const RegionName& to, Bytes bytes,
                            MonotonicTime now) const -> bool {
  if (from == to) return true;
  const auto found = buckets_.find(Direction(from, to));
  if (found == buckets_.end() || found->second.bytes_per_second <= 0) return false;
  const auto& bucket = found->second;
  // A response larger than the burst passes when the bucket is full. The negative token count
  // delays later responses.
  return TokensAt(bucket, now) >= std::min(static_cast<double>(bytes.value()), bucket.burst);
}

auto LinkBudget::TokensAt(const TokenBucket& bucket, MonotonicTime now) -> double {
  if (now <= bucket.updated) return bucket.tokens;
  const double earned = bucket.bytes_per_second * Seconds(now - bucket.updated);
  return std::min(bucket.burst, bucket.tokens + earned);
}

auto LinkBudget::SetRate(const Direction& direction, double bytes_per_second, MonotonicTime now)
    -> void {
  auto& bucket = buckets_[direction];
  const bool is_new = bucket.burst == 0;
  bucket.tokens = TokensAt(bucket, now);
  bucket.updated = std::max(bucket.updated, now);
  bucket.bytes_per_second = bytes_per_second;
  bucket.burst =
      std::max(static_cast<double>(kMinBurst.value()), bytes_per_second * Seconds(kBurstTime));
  bucket.tokens = is_new ? bucket.burst : std::min(bucket.tokens, bucket.burst);
}

}  // namespace heatherspan
