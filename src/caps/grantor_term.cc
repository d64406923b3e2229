#include "caps/grantor_term.h"

#include "caps/share_lease.h"

namespace heatherspan {

auto GrantorTerm::NextStep(MonotonicTime now) const -> Step {
  if (now < next_store_call_) return Step::kNone;
  return Holds(now) ? Step::kRenew : Step::kAcquire;
}

auto GrantorTerm::OnAcquired(StoreLeaseId lease_id, MonotonicTime sent) -> void {
  ++term_number_;
  lease_id_ = lease_id;
  end_time_ = sent + HolderLifetime(kTtl);
  next_store_call_ = sent + kRenewInterval;
}

auto GrantorTerm::OnNotAcquired(MonotonicTime now) -> void {
  lease_id_.reset();
  next_store_call_ = now + kRetryInterval;
}

auto GrantorTerm::OnRenewed(MonotonicTime sent) -> void {
  if (!lease_id_.has_value()) return;
  end_time_ = sent + HolderLifetime(kTtl);
  next_store_call_ = sent + kRenewInterval;
}

auto GrantorTerm::OnRenewFailed(bool lease_ended, MonotonicTime now) -> void {
  if (lease_ended) lease_id_.reset();
  next_store_call_ = now + kRetryInterval / 3;
}

auto GrantorTerm::End() -> void { lease_id_.reset(); }

auto GrantorTerm::Holds(MonotonicTime now) const -> bool {
  return lease_id_.has_value() && now < end_time_;
}

}  // namespace heatherspan
