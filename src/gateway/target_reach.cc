#include "gateway/target_reach.h"

#include <algorithm>

namespace heatherspan {

auto TargetReach::OnProbeAnswer(MonotonicTime now) -> void {
  OnAnswer(now);
  if (!stranded_ || now - stranded_since_ < hold_) return;
  stranded_ = false;
  ended_at_ = now;
  unreachable_.clear();
}

auto TargetReach::OnUnreachable(const TargetName& target, MonotonicTime now) -> void {
  Forget(now);
  auto& failed_at = unreachable_[target];
  // A target counts once between two answers.
  if (failed_at <= answered_at_) ++failed_since_answer_;
  failed_at = now;
  if (stranded_ || failed_since_answer_ < kMinUnreachable) return;
  stranded_ = true;
  stranded_since_ = now;
  const bool flaps = ended_at_ != MonotonicTime::min() && now - ended_at_ < kSoundTime;
  hold_ = flaps ? std::clamp(2 * hold_, kMinHold, kMaxHold) : Duration::zero();
}

auto TargetReach::state(MonotonicTime now) const -> State {
  if (stranded_) return State::kStranded;
  const auto recent =
      std::count_if(unreachable_.begin(), unreachable_.end(),
                    [now](const auto& entry) { return now - entry.second <= kWindow; });
  return recent < static_cast<std::ptrdiff_t>(kMinUnreachable) ? State::kReaching
                                                               : State::kImpaired;
}

auto TargetReach::Forget(MonotonicTime now) -> void {
  absl::erase_if(unreachable_, [&](const auto& entry) {
    if (now - entry.second <= kWindow) return false;
    if (entry.second > answered_at_) --failed_since_answer_;
    return true;
  });
}

}  // namespace heatherspan
