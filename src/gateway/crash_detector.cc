#include "gateway/crash_detector.h"

#include <algorithm>
#include <utility>

namespace heatherspan {

auto CrashDetector::OnLost(LostRequest lost) -> std::optional<LateLoss> {
  Forget(lost.lost_at);
  // What was sent after the refusal was lost by the next process.
  if (const auto refusal = refusals_.find(lost.at.target);
      refusal != refusals_.end() && lost.lost_at - lost.at_target <= refusal->second.at) {
    return LateLoss{std::move(lost), refusal->second.target_count};
  }
  if (size_ == kMaxLost) return std::nullopt;
  ++size_;
  auto& list = lost_[lost.at.target];
  list.push_back(std::move(lost));
  return std::nullopt;
}

auto CrashDetector::OnRefused(const TargetName& target, std::size_t target_count, MonotonicTime now)
    -> std::vector<LostRequest> {
  Forget(now);
  refusals_[target] = {now, target_count};
  return TakeLost(target);
}

auto CrashDetector::TakeLost(const TargetName& target) -> std::vector<LostRequest> {
  const auto found = lost_.find(target);
  if (found == lost_.end()) return {};
  auto lost = std::move(found->second);
  size_ -= lost.size();
  lost_.erase(found);
  return lost;
}

auto CrashDetector::OnStarted(const TargetName& target, std::int64_t start_id, MonotonicTime now)
    -> std::vector<LostRequest> {
  const auto found = lost_.find(target);
  if (found == lost_.end() || found->second.front().at.start_id == start_id) return {};
  Forget(now);
  return TakeLost(target);
}

auto CrashDetector::OnUnanswered(const RequestDigest& request) -> void {
  for (auto& [target, list] : lost_) {
    for (auto& lost : list) {
      if (lost.request == request) lost.is_repeated = false;
    }
  }
}

auto CrashDetector::OnAnswered(const TargetName& target, MonotonicTime sent_at) -> void {
  const auto found = lost_.find(target);
  if (found == lost_.end()) return;
  auto& list = found->second;
  size_ -= std::erase_if(list, [&](const LostRequest& lost) { return lost.lost_at <= sent_at; });
  if (list.empty()) lost_.erase(found);
}

auto CrashDetector::IsPending(const RequestDigest& request, MonotonicTime now) const -> bool {
  return std::any_of(lost_.begin(), lost_.end(), [&](const auto& entry) {
    return std::any_of(entry.second.begin(), entry.second.end(), [&](const LostRequest& lost) {
      return lost.request == request && now - lost.lost_at <= kMaxWait;
    });
  });
}

auto CrashDetector::Forget(MonotonicTime now) -> void {
  absl::erase_if(lost_, [&](auto& entry) {
    size_ -= std::erase_if(
        entry.second, [now](const LostRequest& lost) { return now - lost.lost_at > kMaxWait; });
    return entry.second.empty();
  });
  absl::erase_if(refusals_, [now](const auto& entry) { return now - entry.second.at > kLateLoss; });
}

}  // namespace heatherspan
