#include "steering/zone_load_tracker.h"

#include <algorithm>

namespace heatherspan {
namespace {

constexpr int kFailureThreshold = 3;
constexpr int kMaxDoublings = 5;
constexpr Duration kInitialFailureBackoff = std::chrono::seconds(1);
constexpr Duration kMaxFailureBackoff = std::chrono::seconds(30);
constexpr Duration kInitialRefusalBackoff = std::chrono::milliseconds(20);
/// Shorter than Retry-After, which is meant for callers: an entry VM attempts the zone again
/// sooner.
constexpr Duration kMaxRefusalBackoff = std::chrono::milliseconds(320);
constexpr Duration kOutcomeLifetime = std::chrono::minutes(1);
constexpr std::uint32_t kFullSharePercent = 100;

auto Doubled(Duration first, int count, Duration longest) -> Duration {
  return std::min(longest, first * (1 << std::clamp(count, 0, kMaxDoublings)));
}

auto FindService(const NodeLoad& load, const ServiceName& service) -> const ServiceLoad* {
  for (const auto& item : load.services) {
    if (item.service == service) return &item;
  }
  return nullptr;
}

auto FreeSlotsOf(const ServiceLoad& load) -> int {
  return static_cast<int>(load.usable_slots) - static_cast<int>(load.used_slots) -
         static_cast<int>(load.queued);
}

}  // namespace

ZoneLoadTracker::ZoneLoadTracker(Duration report_lifetime) : report_lifetime_(report_lifetime) {}

auto ZoneLoadTracker::OnReport(const NodeLoad& load, MonotonicTime now) -> void {
  reports_[load.zone][load.instance] = {load, now};
}

auto ZoneLoadTracker::OnOutcome(const ZoneName& zone, const ServiceName& service,
                                ZoneOutcome outcome, std::optional<Duration> retry_after,
                                MonotonicTime now) -> void {
  auto& state = outcomes_[{zone, service}];
  state.updated = now;
  switch (outcome) {
    case ZoneOutcome::kAnswered:
      state = {0, 0, now, {}, {}, now};
      break;
    case ZoneOutcome::kRefused: {
      const auto pause = Doubled(kInitialRefusalBackoff, state.refusals++, kMaxRefusalBackoff);
      state.refusing_until = now + std::min(pause, retry_after.value_or(pause));
      state.failures = 0;
      break;
    }
    case ZoneOutcome::kFailed:
      if (++state.failures < kFailureThreshold) break;
      state.failing_until = now + Doubled(kInitialFailureBackoff,
                                          state.failures - kFailureThreshold, kMaxFailureBackoff);
      break;
  }
}

auto ZoneLoadTracker::Load(const ZoneName& zone, const ServiceName& service,
                           MonotonicTime now) const -> ZoneLoad {
  ZoneLoad load;
  const auto reports = reports_.find(zone);
  if (reports != reports_.end()) AddReports(reports->second, service, now, load);
  const auto found = outcomes_.find({zone, service});
  if (found == outcomes_.end()) return load;
  const auto& state = found->second;
  load.refusing = now < state.refusing_until;
  load.failing = now < state.failing_until;
  const bool answered_recently =
      state.answered.has_value() && now - *state.answered < report_lifetime_;
  if (answered_recently) load.no_usable_target = false;
  return load;
}

auto ZoneLoadTracker::AddReports(const ReportsByNode& reports, const ServiceName& service,
                                 MonotonicTime now, ZoneLoad& load) const -> void {
  std::uint32_t usable = 0;
  std::uint32_t used = 0;
  bool has_report = false;
  bool has_share_left = false;
  for (const auto& [instance, report] : reports) {
    const auto* item = FindService(report.load, service);
    if (item == nullptr || !IsFresh(report, now)) continue;
    has_report = true;
    usable += item->usable_slots;
    used += item->used_slots + item->queued;
    has_share_left = has_share_left || report.load.share_used_percent < kFullSharePercent;
  }
  if (!has_report) return;
  load.no_usable_target = usable == 0;
  load.cap_used_up = !has_share_left;
  if (usable > 0) load.utilization = static_cast<double>(used) / usable;
}

auto ZoneLoadTracker::FreeSlots(const ZoneName& zone, InstanceId instance,
                                const ServiceName& service, MonotonicTime now) const
    -> std::optional<int> {
  const auto* report = FindReport(zone, instance, now);
  if (report == nullptr) return std::nullopt;
  const auto* item = FindService(report->load, service);
  if (item == nullptr) return std::nullopt;
  return FreeSlotsOf(*item);
}

auto ZoneLoadTracker::NodeUtilization(const ZoneName& zone, InstanceId instance,
                                      MonotonicTime now) const -> std::optional<double> {
  const auto* report = FindReport(zone, instance, now);
  if (report == nullptr) return std::nullopt;
  std::uint32_t usable = 0;
  std::uint32_t used = 0;
  for (const auto& item : report->load.services) {
    usable += item.usable_slots;
    used += item.used_slots;
  }
  if (usable == 0) return std::nullopt;
  return std::min(1.0, static_cast<double>(used) / usable);
}

auto ZoneLoadTracker::RemoveExpired(MonotonicTime now) -> void {
  for (auto& [zone, reports] : reports_) {
    absl::erase_if(reports, [&](const auto& item) { return !IsFresh(item.second, now); });
  }
  absl::erase_if(outcomes_,
                 [&](const auto& item) { return now - item.second.updated > kOutcomeLifetime; });
}

auto ZoneLoadTracker::IsFresh(const Report& report, MonotonicTime now) const -> bool {
  return now - report.received < report_lifetime_;
}

auto ZoneLoadTracker::FindReport(const ZoneName& zone, InstanceId instance, MonotonicTime now) const
    -> const Report* {
  const auto reports = reports_.find(zone);
  if (reports == reports_.end()) return nullptr;
  const auto report = reports->second.find(instance);
  if (report == reports->second.end() || !IsFresh(report->second, now)) return nullptr;
  return &report->second;
}

}  // namespace heatherspan
