#include "gateway/local_quota.h"

namespace heatherspan {

auto LocalQuota::SetFraction(double fraction, MonotonicTime now) -> void {
  if (fraction == fraction_) return;
  fraction_ = fraction;
  since_ = now;
  buckets_.clear();
}

auto LocalQuota::Take(const TeamName& team, const TeamQuotaBudget& budget, MonotonicTime now)
    -> bool {
  if (fraction_ <= 0) return false;
  auto& bucket = buckets_[team];
  const double supply = fraction_ * std::chrono::duration<double>(now - since_).count();
  bucket.Advance(budget, fraction_, supply, Duration::zero(), now);
  return bucket.Take(1) == 1;
}

}  // namespace heatherspan
