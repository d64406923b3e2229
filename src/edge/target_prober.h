#pragma once

#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "edge/harm_monitor.h"
#include "edge/platform_ports.h"
#include "edge/request_relay.h"
#include "edge/target_notice_handler.h"
#include "gateway/gateway_core.h"
#include "net/http_client.h"
#include "observe/event_log.h"

namespace heatherspan {

/// Probes targets on probation, so that no caller's request has to find out whether they can be
/// reached again. Targets in use are judged by their responses and not probed.
template <MessageFormat Format>
class TargetProber {
 public:
  /// A probe that takes longer counts as failed, since targets answer within milliseconds.
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(1000);
  /// The least time between two probes of one target. A probe takes a slot for some milliseconds.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(1000);

  TargetProber(GatewayCore& core, HttpClient& client, EventLog& log, MetricsRegistry& metrics,
               HarmMonitor<Format>& harm, RequestRelay<Format>& relay)
      : core_(core),
        client_(client),
        log_(log),
        harm_(harm),
        relay_(relay),
        notices_(core, log, metrics) {}

  /// Asks the target now, unless it has been asked within the interval.
  auto Check(const TargetName& name) -> void {
    const auto* target = core_.fleet().Find(name);
    const auto now = SystemClock().Now();
    if (target == nullptr || !target->limit().MaySend(now) ||
        target->pause().Wait(now) > Duration::zero()) {
      return;
    }
    ForgetOldProbes(now);
    if (const auto* service = core_.ServiceOf(target->entry().service)) {
      Probe(*core_.fleet().Find(name), service->health_path, now);
    }
  }

  /// Finds out whether the links to the targets are lost, or several targets have ended.
  auto CheckLinks() -> void {
    if (core_.policy() == nullptr) return;
    const auto now = SystemClock().Now();
    ForgetOldProbes(now);
    ProbeSpread(TargetReach::kMinUnreachable, now);
  }

  auto OnTick(MonotonicTime now) -> void {
    if (core_.policy() == nullptr) return;
    ForgetOldProbes(now);
    if (relay_.IsStranded(now)) {
      ProbeSpread(1, now);
      return;
    }
    if (relay_.reach().IsSilent(now)) ProbeSpread(TargetReach::kMinUnreachable, now);
    for (const auto& service : core_.policy()->services) {
      for (auto* target : core_.fleet().TargetsOf(service.name)) {
        const bool due = target->health().OnProbation() && !target->health().IsBlocked(now) &&
                         target->limit().MaySend(now) &&
                         target->pause().Wait(now) == Duration::zero();
        if (due && core_.fleet().MayUse(*target) && target->load().in_flight() == 0) {
          Probe(*target, service.health_path, now);
        }
      }
    }
  }

 private:
  auto ForgetOldProbes(MonotonicTime now) -> void {
    absl::erase_if(recent_probes_,
                   [now](const auto& probe) { return now - probe.second > kProbeInterval; });
  }

  /// Probes some targets, whatever their state, and others the next time. They are spread over the
  /// services, since one service may be down.
  auto ProbeSpread(std::size_t number, MonotonicTime now) -> void {
    std::size_t count = 0;
    for (const auto& service : core_.policy()->services) {
      count += core_.fleet().TargetsOf(service.name).size();
    }
    if (count == 0) return;
    for (std::size_t i = 0; i < number; ++i) {
      ProbeAt((next_probed_ + i * count / number) % count, now);
    }
    ++next_probed_;
  }

  auto ProbeAt(std::size_t index, MonotonicTime now) -> void {
    for (const auto& service : core_.policy()->services) {
      const auto& targets = core_.fleet().TargetsOf(service.name);
      if (index < targets.size()) {
        Probe(*targets[index], service.health_path, now);
        return;
      }
      index -= targets.size();
    }
  }

  auto Probe(FleetTarget& target, const std::string& path, MonotonicTime now) -> void {
    const auto name = target.entry().name;
    if (path.empty() || !recent_probes_.try_emplace(name, now).second) return;
    target.limit().OnSent(now);
    // An idle connection may have ended with the target's process, which shows only later.
    const HttpClient::SendOptions options{.max_idle = Duration::zero()};
    client_.Send(target.entry().endpoint, Format::HealthQuery(path), kProbeTimeout, options,
                 [this, name, now](const HttpResult& result) { OnResult(name, now, result); });
  }

  auto OnResult(const TargetName& name, MonotonicTime sent_at, const HttpResult& result) -> void {
    const auto now = SystemClock().Now();
    if (result.connection_end == ConnectionEnd::kRefused) harm_.OnRefused(name, now);
    result.status.ok() ? relay_.OnProbeAnswered(now) : relay_.OnTargetUnreachable(name, now);
    auto* target = core_.fleet().Find(name);
    if (target == nullptr) return;
    const auto health = Format::ReadHealth(result.response);
    const bool replaced = result.status.ok() && !health.instance.empty() && health.instance != name;
    // Only the target itself says that it leaves, not whoever has its address.
    if (health.instance == name) notices_.OnNotices(name, health.notices, "probe");
    if (health.instance == name) harm_.OnHealthAnswer(name, sent_at);
    const bool healthy = result.status.ok() && health.healthy && !replaced;
    if (!result.status.ok()) {
      target->health().OnObservation(TargetObservation::kUnreachable, now);
    } else if (replaced) {
      target->health().OnObservation(TargetObservation::kReplaced, now);
    } else if (healthy && health.cold_left > Duration::zero()) {
      target->SetColdUntil(now + health.cold_left);
    }
    log_.Write(LogLevel::kInfo, "probe",
               {{"target", name.value()},
                {"healthy", healthy ? 1 : 0},
                {"error", std::string(result.status.message())}});
  }

  GatewayCore& core_;
  HttpClient& client_;
  EventLog& log_;
  HarmMonitor<Format>& harm_;
  RequestRelay<Format>& relay_;
  TargetNoticeHandler notices_;
  std::size_t next_probed_ = 0;
  absl::flat_hash_map<TargetName, MonotonicTime>
      recent_probes_;  ///< Times of the probes in the last interval.
};

}  // namespace heatherspan
