#pragma once

#include <chrono>
#include <string_view>
#include <utility>

#include "base/boot_time.h"
#include "base/time.h"
#include "gateway/gateway_core.h"
#include "gateway/home_proof.h"
#include "gateway/state_proof.h"
#include "gateway/team_access.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Rules on the access of requests by what is known of the configuration and its age, and tells
/// operators of teams and of keys and homes that are too old. Neither logs nor metrics hold keys.
class AccessControl {
 public:
  AccessControl(const GatewayCore& core, EventLog& log, MetricsRegistry& metrics)
      : core_(core), log_(log), metrics_(metrics) {}

  auto SetLimits(TeamAccess::Limits limits) -> void {
    access_.SetLimits(limits);
    homes_.SetBound(limits.apply);
  }

  auto Apply(const TrafficPolicy& policy) -> void {
    homes_.Apply(policy);
    for (const auto& error : policy.rejected_teams) {
      metrics_.Increment(Metric::kRejectedInput, {{"listener", "store"}, {"cause", "team"}});
      log_.Write(LogLevel::kError, "team-rejected",
                 {{"version", policy.version.value()}, {"error", error}});
    }
    const auto change = access_.Apply(policy);
    if (!change.has_value()) return;
    log_.Write(LogLevel::kInfo, "teams-applied",
               {{"version", policy.version.value()},
                {"teams", change->teams},
                {"rejected", policy.rejected_teams.size()},
                {"keys", change->keys},
                {"keys_added", change->keys_added},
                {"keys_withdrawn", change->keys_withdrawn}});
  }

  /// Whether the latest configuration of the store can be read. Otherwise an earlier one is in
  /// force.
  auto OnConfigurationRead(bool is_latest) -> void { homes_.SetLatest(is_latest); }

  /// The configuration is proved to have been the latest at the time.
  auto OnConfigurationProved(BootTime at) -> void { proved_at_ = at; }

  auto Rule(const Route& route, std::string_view key, MonotonicTime now) const
      -> TeamAccess::Ruling {
    auto ruling = access_.Rule(route, key, Age(now));
    if (ruling.outcome == TeamAccess::Outcome::kAllowed && !KnowsHomes(ruling.route, now)) {
      ruling.outcome = TeamAccess::Outcome::kStaleHomes;
    }
    return ruling;
  }

  /// Whether the homes of the route are certain enough to place a request.
  auto KnowsHomes(const Route& route, MonotonicTime now) const -> bool {
    return homes_.Allows(route, core_.StoreAge(now));
  }

  auto OnTick(MonotonicTime now) -> void {
    ReportKeys(now);
    ReportHomes(now);
  }

 private:
  auto ReportHomes(MonotonicTime now) -> void {
    const auto age = core_.StoreAge(now);
    const bool is_stale = homes_.has_homes() && homes_.IsStale(age);
    if (std::exchange(homes_were_stale_, is_stale) == is_stale) return;
    metrics_.Set(Metric::kHomesStale, {}, is_stale ? 1 : 0);
    log_.Write(LogLevel::kWarning, is_stale ? "homes-stale" : "homes-known",
               {{"age_ms", Milliseconds(age)}, {"store_revision", core_.store_revision()}});
  }

  auto ReportKeys(MonotonicTime now) -> void {
    if (!access_.requires_keys() && !was_stale_) return;
    const auto age = Age(now);
    metrics_.Set(Metric::kInputAgeSeconds, {{"source", "keys"}},
                 std::chrono::duration<double>(age.proved).count());
    const bool is_stale = access_.IsStale(age);
    if (std::exchange(was_stale_, is_stale) == is_stale) return;
    log_.Write(LogLevel::kWarning, is_stale ? "keys-stale" : "keys-proved",
               {{"age_ms", Milliseconds(age.proved)},
                {"heard_ms", Milliseconds(age.heard)},
                {"store_revision", core_.store_revision()}});
  }

  static auto Milliseconds(Duration duration) -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  }

  auto Age(MonotonicTime now) const -> TeamAccess::Age {
    // Most deployments have no teams, and spare the reading of the clock.
    if (!access_.requires_keys()) return {};
    return {core_.StoreAge(now), BootClock().Now() - proved_at_};
  }

  const GatewayCore& core_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  TeamAccess access_;
  HomeProof homes_;
  BootTime proved_at_ = StateProof::kNever;
  bool was_stale_ = false;
  bool homes_were_stale_ = false;
};

}  // namespace heatherspan
