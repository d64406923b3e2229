#include "steering/zone_loads.h"

#include <algorithm>

namespace heatherspan {
namespace {

constexpr int kFailuresToAvoid = 3;
constexpr int kMostDoublings = 5;
constexpr Duration kFirstFailingPause = std::chrono::seconds(1);
constexpr Duration kLongestFailingPause = std::chrono::seconds(30);
constexpr Duration kFirstRefusingPause = std::chrono::milliseconds(20);
/// Retry-After is meant for callers; a first node looks again sooner.
constexpr Duration kLongestRefusingPause = std::chrono::milliseconds(320);
constexpr Duration kOwnLifetime = std::chrono::minutes(1);
constexpr std::uint32_t kWholeShare = 100;

auto Doubled(Duration first, int count, Duration longest) -> Duration {
  return std::min(longest, first * (1 << std::clamp(count, 0, kMostDoublings)));
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

ZoneLoads::ZoneLoads(Duration report_lifetime) : report_lifetime_(report_lifetime) {}

auto ZoneLoads::OnLoad(const NodeLoad& load, MonotonicTime now) -> void {
  reports_[load.zone][load.instance] = {load, now};
}

auto ZoneLoads::OnOutcome(const ZoneName& zone, const ServiceName& service, ZoneOutcome outcome,
                          std::optional<Duration> retry_after, MonotonicTime now) -> void {
  auto& own = own_[{zone, service}];
  own.updated = now;
  switch (outcome) {
    case ZoneOutcome::kAnswered:
      own = {0, 0, now, {}, {}, now};
      break;
    case ZoneOutcome::kRefused: {
      const auto pause = Doubled(kFirstRefusingPause, own.refusals++, kLongestRefusingPause);
      own.refusing_until = now + std::min(pause, retry_after.value_or(pause));
      own.failures = 0;
      break;
    }
    case ZoneOutcome::kFailed:
      if (++own.failures < kFailuresToAvoid) break;
      own.failing_until =
          now + Doubled(kFirstFailingPause, own.failures - kFailuresToAvoid, kLongestFailingPause);
      break;
  }
}

auto ZoneLoads::Load(const ZoneName& zone, const ServiceName& service, MonotonicTime now) const
    -> ZoneLoad {
  ZoneLoad load;
  const auto reports = reports_.find(zone);
  if (reports != reports_.end()) AddReports(reports->second, service, now, load);
  const auto found = own_.find({zone, service});
  if (found == own_.end()) return load;
  const auto& own = found->second;
  load.refusing = now < own.refusing_until;
  load.failing = now < own.failing_until;
  const bool answered_lately = own.answered.has_value() && now - *own.answered < report_lifetime_;
  if (answered_lately) load.no_usable_target = false;
  return load;
}

auto ZoneLoads::AddReports(const ReportsByNode& reports, const ServiceName& service,
                           MonotonicTime now, ZoneLoad& load) const -> void {
  std::uint32_t usable = 0;
  std::uint32_t used = 0;
  bool any = false;
  bool share_left = false;
  for (const auto& [instance, report] : reports) {
    const auto* item = FindService(report.load, service);
    if (item == nullptr || !IsFresh(report, now)) continue;
    any = true;
    usable += item->usable_slots;
    used += item->used_slots + item->queued;
    share_left = share_left || report.load.share_used_percent < kWholeShare;
  }
  if (!any) return;
  load.no_usable_target = usable == 0;
  load.cap_used_up = !share_left;
  if (usable > 0) load.utilization = static_cast<double>(used) / usable;
}

auto ZoneLoads::FreeSlots(const ZoneName& zone, InstanceId instance, const ServiceName& service,
                          MonotonicTime now) const -> std::optional<int> {
  const auto* report = FindReport(zone, instance, now);
  if (report == nullptr) return std::nullopt;
  const auto* item = FindService(report->load, service);
  if (item == nullptr) return std::nullopt;
  return FreeSlotsOf(*item);
}

auto ZoneLoads::NodeUtilization(const ZoneName& zone, InstanceId instance, MonotonicTime now) const
    -> std::optional<double> {
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

auto ZoneLoads::ForgetOld(MonotonicTime now) -> void {
  for (auto& [zone, reports] : reports_) {
    absl::erase_if(reports, [&](const auto& item) { return !IsFresh(item.second, now); });
  }
  absl::erase_if(own_, [&](const auto& item) { return now - item.second.updated > kOwnLifetime; });
}

auto ZoneLoads::IsFresh(const Report& report, MonotonicTime now) const -> bool {
  return now - report.received < report_lifetime_;
}

auto ZoneLoads::FindReport(const ZoneName& zone, InstanceId instance, MonotonicTime now) const
    -> const Report* {
  const auto reports = reports_.find(zone);
  if (reports == reports_.end()) return nullptr;
  const auto report = reports->second.find(instance);
  if (report == reports->second.end() || !IsFresh(report->second, now)) return nullptr;
  return &report->second;
}

}  // namespace heatherspan
