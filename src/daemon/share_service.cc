#include "daemon/share_service.h"

#include <utility>

#include "absl/status/status.h"
#include "base/stable_hash.h"
#include "fmt/format.h"
#include "observe/event_log.h"

namespace heatherspan {
namespace {

auto CapConfigOf(const Configuration& configuration, const RegionName& name)
    -> std::optional<CapConfig> {
  for (const auto& region : configuration.document->regions) {
    if (region.name != name) continue;
    CapConfig cap_config;
    cap_config.version = configuration.version;
    cap_config.cap = region.cap;
    cap_config.base_fraction = configuration.document->base_fraction;
    cap_config.entry_vms_max = 0;
    for (const auto& zone : region.zones) cap_config.entry_vms_max += zone.entry_vms_max;
    return cap_config;
  }
  return std::nullopt;
}

auto ConfigurationAge(const Configuration& configuration, WallTime now) -> Duration {
  const WallTime accepted(std::chrono::milliseconds(configuration.accepted_unix_ms));
  return now - accepted;
}

auto EntryVmsMax(const Document& document, const ZoneName& name) -> int {
  for (const auto& region : document.regions) {
    for (const auto& zone : region.zones) {
      if (zone.name == name) return zone.entry_vms_max;
    }
  }
  return 0;
}

}  // namespace

ShareService::ShareService(NodeIdentity identity, Sender sender, EventLog& log)
    : identity_(std::move(identity)), sender_(std::move(sender)), log_(log) {}

auto ShareService::OnConfiguration(const std::shared_ptr<const Configuration>& configuration,
                                   const std::vector<RankedVm>& zone_vms, MonotonicTime now)
    -> void {
  const std::lock_guard lock(mutex_);
  configuration_ = configuration;
  const auto* region = configuration->view->RegionOf(identity_.zone);
  if (region == nullptr) {
    holder_.reset();
    grantor_.reset();
    return;
  }
  const RankedVm self{identity_.started_unix_ms, identity_.instance};
  if (!holder_.has_value() || region_ != *region) {
    region_ = *region;
    holder_.emplace(self, region_);
    term_.End();
    grantor_.emplace(identity_.instance, region_, term_);
  }
  if (const auto cap_config = CapConfigOf(*configuration, region_); cap_config.has_value()) {
    const auto age = ConfigurationAge(*configuration, clock_.WallNow());
    holder_->Configure(*cap_config, age, now);
    grantor_->Configure(*cap_config, age, now);
  }
  holder_->OnZoneVms(zone_vms, EntryVmsMax(*configuration->document, identity_.zone), now);
}

auto ShareService::UsableShare(MonotonicTime now) const -> RequestsPerSecond {
  const std::lock_guard lock(mutex_);
  return holder_.has_value() ? holder_->UsableShare(now) : RequestsPerSecond(0);
}

auto ShareService::GrantorCandidate() const -> std::optional<LiveNode> {
  if (configuration_ == nullptr) return std::nullopt;
  const auto& view = *configuration_->view;
  const auto region = view.FindRegion(region_);
  if (!region.has_value()) return std::nullopt;
  const auto key = StableHash(region_.value());
  std::optional<LiveNode> best;
  double best_score = -1;
  for (const auto zone : view.regions()[*region].zones) {
    for (const auto index : view.zones()[zone].alive) {
      const auto& node = view.nodes()[index];
      const double score = RendezvousScore(key, node.instance.value());
      if (score <= best_score) continue;
      best = node;
      best_score = score;
    }
  }
  return best;
}

auto ShareService::OnTick(RequestsPerSecond demand, MonotonicTime now) -> void {
  std::optional<ShareRequest> request;
  std::optional<LiveNode> candidate;
  {
    const std::lock_guard lock(mutex_);
    if (!holder_.has_value()) return;
    request = holder_->MaybeRequest(now, demand);
    if (!request.has_value()) return;
    candidate = GrantorCandidate();
    if (!candidate.has_value()) return;
    if (candidate->instance == identity_.instance) {
      const auto grant = grantor_->OnRequest(*request, now);
      if (grant.has_value()) holder_->OnGrant(*grant, now);
      return;
    }
  }
  sender_(candidate->peer_endpoint, *request);
}

auto ShareService::OnRequest(const Endpoint& from, const ShareRequest& request, MonotonicTime now)
    -> void {
  std::optional<ShareGrant> grant;
  {
    const std::lock_guard lock(mutex_);
    if (!grantor_.has_value() || request.region != region_) return;
    grant = grantor_->OnRequest(request, now);
  }
  if (grant.has_value()) sender_(from, *grant);
}

auto ShareService::OnGrant(const ShareGrant& grant, MonotonicTime now) -> void {
  const std::lock_guard lock(mutex_);
  if (holder_.has_value()) holder_->OnGrant(grant, now);
}

auto ShareService::RunGrantorStep(HttpStore& store, const EnvironmentName& environment) -> void {
  auto step = GrantorTerm::Step::kNone;
  std::string key;
  std::optional<StoreLeaseId> lease;
  {
    const std::lock_guard lock(mutex_);
    if (!grantor_.has_value()) return;
    const auto candidate = GrantorCandidate();
    const bool is_candidate =
        !role_given_up_ && candidate.has_value() && candidate->instance == identity_.instance;
    if (!is_candidate) {
      // The store lease expires by itself. The next grantor waits for its expiry.
      term_.End();
      grantor_->EndTerm();
      return;
    }
    step = term_.NextStep(clock_.Now());
    key = fmt::format("hs/{}/grantor/{}", environment.value(), region_.value());
    lease = term_.lease_id();
  }
  if (step == GrantorTerm::Step::kAcquire) AcquireRole(store, key);
  if (step == GrantorTerm::Step::kRenew && lease.has_value()) RenewRole(store, *lease);
}

auto ShareService::AcquireRole(HttpStore& store, const std::string& key) -> void {
  const auto sent = clock_.Now();
  const auto lease = store.GrantLease(GrantorTerm::kTtl);
  bool acquired = false;
  if (lease.ok()) {
    const auto value = fmt::format("{:016x} {}", identity_.instance.value(), lease->value());
    const auto result = store.Write(key, value, 0, *lease);
    acquired = result.effect == WriteEffect::kTookEffect;
    if (result.effect == WriteEffect::kUnknown) {
      const auto read = store.Read(key);
      acquired = read.ok() && read->has_value() && (*read)->value == value;
    }
  }
  const auto now = clock_.Now();
  const std::lock_guard lock(mutex_);
  if (!acquired || role_given_up_ || !grantor_.has_value()) {
    term_.OnNotAcquired(now);
    return;
  }
  term_.OnAcquired(*lease, sent);
  grantor_->BeginTerm(now);
  log_.Write(LogLevel::kInfo, "grantor-began", {{"region", region_.value()}});
}

auto ShareService::RenewRole(HttpStore& store, StoreLeaseId lease) -> void {
  const auto sent = clock_.Now();
  const auto status = store.KeepAlive(lease);
  const std::lock_guard lock(mutex_);
  if (term_.lease_id() != lease) return;
  if (status.ok()) {
    term_.OnRenewed(sent);
    return;
  }
  term_.OnRenewFailed(absl::IsNotFound(status), clock_.Now());
  log_.Write(LogLevel::kWarning, "grantor-renewal-failed",
             {{"region", region_.value()}, {"error", std::string(status.message())}});
}

auto ShareService::GiveUpRole() -> void {
  const std::lock_guard lock(mutex_);
  role_given_up_ = true;
  term_.End();
  if (grantor_.has_value()) grantor_->EndTerm();
}

auto ShareService::is_grantor(MonotonicTime now) const -> bool {
  const std::lock_guard lock(mutex_);
  return term_.Holds(now);
}

}  // namespace heatherspan
