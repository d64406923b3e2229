#include "caps/share_holder.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "caps/share_lease.h"

namespace heatherspan {
namespace {

// A lease lasts for three requests, so that the loss of two requests does not end it.
constexpr Duration kRequestInterval = std::chrono::seconds(1);
// The request exceeds the demand, so that the share covers an increase before the next request.
constexpr double kRequestedDemandFactor = 1.2;
constexpr std::size_t kMaxSentRequests = 8;

}  // namespace

ShareHolder::ShareHolder(RankedVm self, RegionName region)
    : self_(self.instance), region_(std::move(region)), rank_(self) {}

auto ShareHolder::Configure(const CapConfig& config, Duration age, MonotonicTime now) -> void {
  history_.Apply(config, age, now);
}

auto ShareHolder::OnZoneVms(const std::vector<RankedVm>& vms, int entry_vms_max, MonotonicTime now)
    -> void {
  rank_.OnZoneVms(vms, entry_vms_max, now);
}

auto ShareHolder::MaybeRequest(MonotonicTime now, RequestsPerSecond demand)
    -> std::optional<ShareRequest> {
  if (!sent_requests_.empty() && now - sent_requests_.back().sent_time < kRequestInterval)
    return std::nullopt;
  const double requested =
      std::max(0.0, demand.value() * kRequestedDemandFactor - BaseShare(now).value());
  const bool has_lease = lease_.has_value() && now < lease_->end_time && lease_->share.value() > 0;
  if (requested == 0 && !has_lease) return std::nullopt;
  sent_requests_.push_back(SentRequest{++last_sequence_, now});
  if (sent_requests_.size() > kMaxSentRequests) sent_requests_.pop_front();
  return ShareRequest{last_sequence_, self_, region_, RequestsPerSecond(requested)};
}

auto ShareHolder::OnGrant(const ShareGrant& grant, MonotonicTime now) -> bool {
  const auto lifetime = std::chrono::milliseconds(grant.lifetime_ms);
  const bool valid = grant.region == region_ && lifetime <= kMaxShareLifetime &&
                     std::isfinite(grant.share.value()) && grant.share.value() >= 0;
  if (!valid) return false;
  if (lease_.has_value() && grant.sequence <= lease_->sequence) return false;
  const auto sent = std::find_if(
      sent_requests_.begin(), sent_requests_.end(),
      [&grant](const SentRequest& candidate) { return candidate.sequence == grant.sequence; });
  if (sent == sent_requests_.end() || !history_.Accepts(grant.config_version, now)) return false;
  const auto end = sent->sent_time + HolderLifetime(lifetime);
  if (end <= now) return false;
  lease_ = Lease{grant.sequence, grant.share, end};
  return true;
}

auto ShareHolder::BaseShare(MonotonicTime now) const -> RequestsPerSecond {
  return rank_.HasBaseShare(now) ? history_.BaseShare(now) : RequestsPerSecond(0);
}

auto ShareHolder::UsableShare(MonotonicTime now) const -> RequestsPerSecond {
  const bool has_lease = lease_.has_value() && now < lease_->end_time;
  return BaseShare(now) + (has_lease ? lease_->share : RequestsPerSecond(0));
}

}  // namespace heatherspan
