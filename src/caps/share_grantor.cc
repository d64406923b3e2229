#include "caps/share_grantor.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "caps/max_min_fairness.h"
#include "caps/share_lease.h"

namespace heatherspan {
namespace {

// Limits the recorded decreasing grants of one holder, which sends one request a second.
constexpr std::size_t kMaxGrantsPerHolder = 8;

}  // namespace

ShareGrantor::ShareGrantor(InstanceId self, RegionName region, const GrantorTerm& term)
    : self_(self), region_(std::move(region)), term_(term) {}

auto ShareGrantor::Configure(const CapConfig& config, Duration age, MonotonicTime now) -> void {
  history_.Apply(config, age, now);
}

auto ShareGrantor::BeginTerm(MonotonicTime now) -> void {
  term_number_ = term_.number();
  first_grant_time_ = now + GrantorLifetime(kShareLifetime);
  holders_.clear();
}

auto ShareGrantor::EndTerm() -> void {
  term_number_.reset();
  holders_.clear();
}

auto ShareGrantor::OnRequest(const ShareRequest& request, MonotonicTime now)
    -> std::optional<ShareGrant> {
  const bool serving = term_number_ == term_.number() && term_.Holds(now);
  if (!serving || request.region != region_ || history_.empty()) return std::nullopt;
  if (!std::isfinite(request.demand.value())) return std::nullopt;
  RemoveExpired(now);
  if (!holders_.contains(request.holder) && holders_.size() >= kMaxHolders) return std::nullopt;
  auto& holder = holders_[request.holder];
  if (request.sequence <= holder.last_sequence) return std::nullopt;
  holder.last_sequence = request.sequence;
  holder.last_request_time = now;
  holder.demand = std::max(0.0, request.demand.value());
  if (now < first_grant_time_) return std::nullopt;

  const double part = history_.LeasedPart(now).value();
  const double others = OutstandingShares(now).value() - OutstandingShare(holder, now);
  const double share = std::max(0.0, std::min(FairShare(holder, now), part - others));
  RecordGrant(holder, Grant{share, now + GrantorLifetime(kShareLifetime)});

  ShareGrant grant;
  grant.sequence = request.sequence;
  grant.grantor = self_;
  grant.region = region_;
  grant.config_version = history_.Version();
  grant.share = RequestsPerSecond(share);
  const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(kShareLifetime);
  grant.lifetime_ms = static_cast<std::uint32_t>(lifetime.count());
  return grant;
}

auto ShareGrantor::RecordGrant(Holder& holder, const Grant& grant) -> void {
  auto& grants = holder.grants;
  while (!grants.empty() && grants.back().share <= grant.share) grants.pop_back();
  if (grants.size() < kMaxGrantsPerHolder) {
    grants.push_back(grant);
  } else {
    grants.back().expiry = grant.expiry;
  }
}

auto ShareGrantor::OutstandingShares(MonotonicTime now) const -> RequestsPerSecond {
  double sum = 0;
  for (const auto& [instance, holder] : holders_) sum += OutstandingShare(holder, now);
  return RequestsPerSecond(sum);
}

auto ShareGrantor::OutstandingShare(const Holder& holder, MonotonicTime now) -> double {
  // The holder uses only one grant, but the grantor cannot know which of them arrived. The first
  // unexpired grant is the largest.
  for (const auto& grant : holder.grants) {
    if (grant.expiry > now) return grant.share;
  }
  return 0;
}

auto ShareGrantor::FairShare(const Holder& holder, MonotonicTime now) const -> double {
  std::vector<double> demands;
  for (const auto& [instance, other] : holders_) {
    if (now - other.last_request_time < kShareLifetime) demands.push_back(other.demand);
  }
  const double level = MaxMinFairLevel(std::move(demands), history_.LeasedPart(now).value());
  return std::min(holder.demand, level);
}

auto ShareGrantor::RemoveExpired(MonotonicTime now) -> void {
  std::erase_if(holders_, [now](const auto& entry) {
    const auto& holder = entry.second;
    return now - holder.last_request_time >= GrantorLifetime(kShareLifetime) &&
           OutstandingShare(holder, now) == 0;
  });
  for (auto& [instance, holder] : holders_) {
    std::erase_if(holder.grants, [now](const Grant& grant) { return grant.expiry <= now; });
  }
}

}  // namespace heatherspan
