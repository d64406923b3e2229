#include "caps/share_holder.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "caps/share_lease.h"

namespace heatherspan {
namespace {

// Three requests within the life of a lease, so that the loss of two doesn't end it.
constexpr Duration kRequestInterval = std::chrono::seconds(1);
// Asked for beyond the demand, so that a rise finds a share before the next request.
constexpr double kHeadroom = 1.2;
constexpr std::size_t kMaxSent = 8;

}  // namespace

ShareHolder::ShareHolder(RankedVm self, RegionName region)
    : self_(self.instance), region_(std::move(region)), rank_(self) {}

auto ShareHolder::Configure(const CapTerms& terms, Duration age, MonotonicTime now) -> void {
  history_.Apply(terms, age, now);
}

auto ShareHolder::OnZoneVms(const std::vector<RankedVm>& vms, int entry_vms_max, MonotonicTime now)
    -> void {
  rank_.OnZoneVms(vms, entry_vms_max, now);
}

auto ShareHolder::MaybeRequest(MonotonicTime now, RequestsPerSecond demand)
    -> std::optional<ShareRequest> {
  if (!sent_.empty() && now - sent_.back().time < kRequestInterval) return std::nullopt;
  const double wanted = std::max(0.0, demand.value() * kHeadroom - BaseShare(now).value());
  const bool leased = lease_.has_value() && now < lease_->end && lease_->share.value() > 0;
  if (wanted == 0 && !leased) return std::nullopt;
  sent_.push_back(Sent{++last_sequence_, now});
  if (sent_.size() > kMaxSent) sent_.pop_front();
  return ShareRequest{last_sequence_, self_, region_, RequestsPerSecond(wanted)};
}

auto ShareHolder::OnGrant(const ShareGrant& grant, MonotonicTime now) -> bool {
  const auto lifetime = std::chrono::milliseconds(grant.lifetime_ms);
  const bool sound = grant.region == region_ && lifetime <= kMaxShareLifetime &&
                     std::isfinite(grant.share.value()) && grant.share.value() >= 0;
  if (!sound) return false;
  if (lease_.has_value() && grant.sequence <= lease_->sequence) return false;
  const auto sent = std::find_if(sent_.begin(), sent_.end(), [&grant](const Sent& candidate) {
    return candidate.sequence == grant.sequence;
  });
  if (sent == sent_.end() || !history_.Accepts(grant.config_version, now)) return false;
  const auto end = sent->time + HolderLifetime(lifetime);
  if (end <= now) return false;
  lease_ = Lease{grant.sequence, grant.share, end};
  return true;
}

auto ShareHolder::BaseShare(MonotonicTime now) const -> RequestsPerSecond {
  return rank_.Entitled(now) ? history_.BaseShare(now) : RequestsPerSecond(0);
}

auto ShareHolder::UsableShare(MonotonicTime now) const -> RequestsPerSecond {
  const bool leased = lease_.has_value() && now < lease_->end;
  return BaseShare(now) + (leased ? lease_->share : RequestsPerSecond(0));
}

}  // namespace heatherspan
