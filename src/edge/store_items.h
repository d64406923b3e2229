#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "edge/platform_ports.h"
#include "edge/regions_text.h"
#include "gateway/gateway_core.h"
#include "gateway/pending_removals.h"
#include "gateway/region_changes.h"
#include "gateway/store_snapshot.h"
#include "gateway/store_sync_state.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Takes over the changes of the store: configuration, evacuations, targets and entry VMs.
template <StoreFormat Formats>
class StoreItems {
 public:
  /// A newer configuration is in force.
  using OnPolicyApplied = std::function<void(const TrafficPolicy& policy)>;
  /// This node's own announcement has been removed.
  using OnOwnRemoval = std::function<void()>;
  using OnRegistered = std::function<void(const RegisteredTarget& target)>;

  StoreItems(GatewayCore& core, const StoreSyncState& sync_state, EventLog& log,
             MetricsRegistry& metrics, NodeName self, OnPolicyApplied on_policy_applied,
             OnOwnRemoval on_own_removal, OnRegistered on_registered)
      : core_(core),
        sync_state_(sync_state),
        log_(log),
        metrics_(metrics),
        self_(std::move(self)),
        on_policy_applied_(std::move(on_policy_applied)),
        on_own_removal_(std::move(on_own_removal)),
        on_registered_(std::move(on_registered)) {}

  auto snapshot() const -> const StoreSnapshot& { return snapshot_; }
  /// The latest configuration in the store can't be read, so that an earlier one is in force.
  auto lacks_policy() const -> bool { return lacks_policy_; }

  /// The following changes are the whole state of a store that is back from an older copy.
  auto OnStoreRestored() -> void {
    snapshot_.BeginEra();
    is_restoring_ = true;
  }
  auto OnBatchApplied() -> void {
    snapshot_.EndOfNewState();
    is_restoring_ = false;
  }

  auto OnChange(const StoreChange& change, bool unconfirmed) -> void {
    const auto effect = snapshot_.Apply(change);
    if (effect == StoreSnapshot::Effect::kUnchanged) return;
    if (effect == StoreSnapshot::Effect::kRemovedBefore && IsForgottenRemoval(change)) {
      log_.Write(LogLevel::kInfo, "removal-kept",
                 {{"key", change.key}, {"revision", change.revision}});
      kept_removals_.push_back({change, Now()});
      return;
    }
    Use(change, unconfirmed);
  }

  /// Decides about removals that were in doubt, once the state shows whether they stand.
  auto Settle() -> void {
    const auto now = Now();
    const auto certain_until = sync_state_.removals_certain_until();
    for (const auto& name : pending_removals_.Take(certain_until, now)) {
      log_.Write(LogLevel::kInfo, "target-lapsed",
                 {{"target", name.value()},
                  {"in_doubt", sync_state_.RemovalsUnconfirmed() ? 1 : 0},
                  {"contact_age_ms", Milliseconds(sync_state_.ContactAge(now))}});
      core_.fleet().Unregister(name);
    }
    for (const auto& zone : pending_evacuation_ends_.Take(certain_until, now)) {
      SetEvacuated(zone, false, sync_state_.revision());
    }
    for (const auto& kept : TakeStanding(now)) Use(kept.change, false);
  }

 private:
  /// What left in the seconds that the store has lost is gone from the store again by then: a
  /// registration lapses after three missed heartbeats, and the operator repeats its orders.
  static constexpr Duration kKeptRemovalTime = std::chrono::seconds(8);
  /// A version may change many routes at once.
  static constexpr std::size_t kMaxRegionChangeLines = 20;

  /// A removal of the earlier era that the store shows no longer.
  struct KeptRemoval {
    StoreChange change;  ///< The item in the store.
    MonotonicTime since;
  };

  static auto Now() -> MonotonicTime { return SystemClock().Now(); }

  /// Whether the item was written before its removal, which the store has forgotten, and not after
  /// the restore: a target by its start, anything else by its write.
  auto IsForgottenRemoval(const StoreChange& change) const -> bool {
    const auto& earlier = *snapshot_.EarlierWrite(change.key);
    const auto name = Formats::TargetOf(change.key);
    if (!name.has_value()) {
      return earlier.revision == change.revision && earlier.value == change.value;
    }
    if (pending_removals_.Contains(*name)) return false;
    const auto target = Formats::ReadTarget(*name, *change.value);
    const auto earlier_target = Formats::ReadTarget(*name, *earlier.value);
    return target.ok() && earlier_target.ok() && target->start_id == earlier_target->start_id;
  }

  /// Returns the items that are still in the store some seconds after the restore.
  auto TakeStanding(MonotonicTime now) -> std::vector<KeptRemoval> {
    std::vector<KeptRemoval> standing;
    std::erase_if(kept_removals_, [&](KeptRemoval& kept) {
      if (!snapshot_.IsCurrent(kept.change)) return true;
      if (now - kept.since < kKeptRemovalTime) return false;
      standing.push_back(std::move(kept));
      return true;
    });
    return standing;
  }

  auto Use(const StoreChange& change, bool unconfirmed) -> void {
    if (Formats::IsPolicyKey(change.key)) {
      OnPolicy(change);
    } else if (const auto zone = Formats::EvacuatedZone(change.key)) {
      OnEvacuation(*zone, change);
    } else if (const auto target = Formats::TargetOf(change.key)) {
      OnTarget(*target, change, unconfirmed);
    } else if (const auto node = Formats::EntryVmOf(change.key)) {
      OnEntryVm(*node, change, unconfirmed);
    }
  }

  auto OnEvacuation(const ZoneName& zone, const StoreChange& change) -> void {
    const bool evacuated = change.value.has_value();
    pending_evacuation_ends_.Remove(zone);
    // The operator writes again what the store has lost.
    if (is_restoring_ && !evacuated) {
      pending_evacuation_ends_.Add(zone, Now());
    } else {
      SetEvacuated(zone, evacuated, change.revision);
    }
  }

  auto SetEvacuated(const ZoneName& zone, bool evacuated, std::uint64_t revision) -> void {
    core_.fleet().SetEvacuated(zone, evacuated, Now());
    log_.Write(LogLevel::kInfo, "evacuation",
               {{"zone", zone.value()}, {"evacuated", evacuated ? 1 : 0}, {"revision", revision}});
  }

  auto OnPolicy(const StoreChange& change) -> void {
    // If the store item is removed, the last configuration stays in force.
    if (!change.value.has_value()) return;
    auto policy = Formats::ReadPolicy(*change.value);
    lacks_policy_ = !policy.ok();
    if (!policy.ok()) {
      metrics_.Increment(Metric::kRejectedInput, {{"listener", "store"}, {"cause", "policy"}});
      log_.Write(
          LogLevel::kError, "configuration-rejected",
          {{"revision", change.revision}, {"error", std::string(policy.status().message())}});
      return;
    }
    const auto version = policy->version.value();
    const auto routes = policy->routes.size();
    const auto restricted_routes =
        std::count_if(policy->routes.begin(), policy->routes.end(),
                      [](const Route& route) { return !route.allowed_regions.empty(); });
    const auto region_changes = core_.policy() == nullptr ? std::vector<RegionChange>()
                                                          : RegionChanges(*core_.policy(), *policy);
    const bool applied = core_.ApplyPolicy(*std::move(policy));
    if (applied) on_policy_applied_(*core_.policy());
    metrics_.Set(Metric::kConfigVersion, {}, static_cast<double>(core_.policy()->version.value()));
    log_.Write(LogLevel::kInfo, applied ? "configuration-applied" : "configuration-ignored",
               {{"version", version},
                {"routes", routes},
                {"restricted_routes", restricted_routes},
                {"bytes", change.value->size()},
                {"revision", change.revision}});
    if (applied) LogRegionChanges(region_changes, version, change.revision);
  }

  auto LogRegionChanges(const std::vector<RegionChange>& changes, std::uint64_t version,
                        std::uint64_t revision) -> void {
    const auto written = std::min(changes.size(), kMaxRegionChangeLines);
    for (std::size_t i = 0; i < written; ++i) {
      log_.Write(LogLevel::kInfo, "route-regions-changed",
                 {{"route", changes[i].route.value()},
                  {"from", RegionsText(changes[i].from)},
                  {"to", RegionsText(changes[i].to)},
                  {"version", version},
                  {"revision", revision}});
    }
    if (written == changes.size()) return;
    log_.Write(
        LogLevel::kInfo, "route-regions-changed-further",
        {{"routes", changes.size() - written}, {"version", version}, {"revision", revision}});
  }

  auto OnTarget(const TargetName& name, const StoreChange& change, bool unconfirmed) -> void {
    if (!change.value.has_value()) {
      LogTargetRemoved(name, change, unconfirmed);
      if (unconfirmed) {
        pending_removals_.Add(name, Now());
      } else {
        core_.fleet().Unregister(name);
      }
      return;
    }
    pending_removals_.Remove(name);
    const auto target = Formats::ReadTarget(name, *change.value);
    if (!target.ok()) {
      // A malformed registration names no usable target.
      core_.fleet().Unregister(name);
      metrics_.Increment(Metric::kRejectedInput, {{"listener", "store"}, {"cause", "target"}});
      log_.Write(LogLevel::kWarning, "target-rejected",
                 {{"target", name.value()},
                  {"revision", change.revision},
                  {"error", std::string(target.status().message())}});
      return;
    }
    core_.fleet().Register(*target, Now());
    on_registered_(*target);
    log_.Write(LogLevel::kInfo, "target-registered",
               {{"target", name.value()},
                {"service", target->service.value()},
                {"zone", target->zone.value()},
                {"endpoint", target->endpoint.Text()},
                {"state", target->draining ? "draining" : "ready"},
                {"cold_ms",
                 std::chrono::duration_cast<std::chrono::milliseconds>(target->cold_left).count()},
                {"revision", change.revision}});
  }

  auto LogTargetRemoved(const TargetName& name, const StoreChange& change, bool unconfirmed)
      -> void {
    const auto now = Now();
    log_.Write(LogLevel::kInfo, "target-removed",
               {{"target", name.value()},
                {"in_doubt", unconfirmed ? 1 : 0},
                {"contact_age_ms", Milliseconds(sync_state_.ContactAge(now))},
                {"state_age_ms", Milliseconds(sync_state_.Age(now))},
                {"revision", change.revision}});
  }

  static auto Milliseconds(Duration duration) -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  }

  auto OnEntryVm(const NodeName& name, const StoreChange& change, bool unconfirmed) -> void {
    if (!change.value.has_value()) {
      core_.entry_vms().Withdraw(name, unconfirmed, Now());
      log_.Write(LogLevel::kInfo, "entry-vm-removed",
                 {{"node", name.value()},
                  {"in_doubt", unconfirmed ? 1 : 0},
                  {"revision", change.revision}});
      if (name == self_) on_own_removal_();
      return;
    }
    const auto vm = Formats::ReadEntryVm(name, *change.value);
    if (!vm.ok()) {
      core_.entry_vms().Withdraw(name, false, Now());
      metrics_.Increment(Metric::kRejectedInput, {{"listener", "store"}, {"cause", "entry-vm"}});
      log_.Write(LogLevel::kWarning, "entry-vm-rejected",
                 {{"node", name.value()},
                  {"revision", change.revision},
                  {"error", std::string(vm.status().message())}});
      return;
    }
    core_.entry_vms().Announce(*vm, Now());
    log_.Write(LogLevel::kInfo, "entry-vm",
               {{"node", name.value()},
                {"callers", vm->caller_endpoint.Text()},
                {"revision", change.revision}});
  }

  GatewayCore& core_;
  const StoreSyncState& sync_state_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  const NodeName self_;
  const OnPolicyApplied on_policy_applied_;
  const OnOwnRemoval on_own_removal_;
  const OnRegistered on_registered_;
  StoreSnapshot snapshot_;
  PendingRemovals<TargetName> pending_removals_;
  PendingRemovals<ZoneName> pending_evacuation_ends_;
  std::vector<KeptRemoval> kept_removals_;
  bool is_restoring_ = false;
  bool lacks_policy_ = false;
};

}  // namespace heatherspan
