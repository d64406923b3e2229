#include "gateway/known_limits.h"

namespace heatherspan {

auto KnownLimits::OnHeard(const TargetName& target, std::optional<RequestsPerSecond> limit,
                          MonotonicTime at, MonotonicTime now) -> bool {
  Forget(now);
  const auto known = entries_.find(target);
  if (known == entries_.end()) {
    if (!limit.has_value()) return false;
    entries_[target] = {limit, at};
    return true;
  }
  if (at <= known->second.heard_at) return false;
  known->second = {limit, at};
  return true;
}

auto KnownLimits::Forget(MonotonicTime now) -> void {
  absl::erase_if(entries_, [now](const auto& entry) {
    return !entry.second.limit.has_value() && now - entry.second.heard_at > kRetention;
  });
}

auto KnownLimits::Reports(MonotonicTime now) const -> std::vector<LimitReport> {
  std::vector<LimitReport> reports;
  for (const auto& [target, entry] : entries_) {
    if (reports.size() == kMaxReports) break;
    if (now - entry.heard_at > kRetention) continue;
    reports.push_back({target, entry.limit, now - entry.heard_at});
  }
  return reports;
}

}  // namespace heatherspan
