#pragma once

#include "base/time.h"

namespace heatherspan {

/// How far this node trusts its own judgement (Lifeguard's local health multiplier). A node that
/// fails to get answers, or that others suspect, is more likely to be slow itself; it then waits
/// longer before it suspects anyone.
class LocalHealth {
 public:
  static constexpr int kMaxScore = 8;

  auto OnProbeAnswered() -> void;
  auto OnProbeFailed() -> void;
  /// Others suspected this node.
  auto OnSuspectedByOthers() -> void;
  auto OnPause() -> void;

  /// 0 is healthy.
  auto score() const -> int { return score_; }
  auto Scale(Duration duration) const -> Duration { return duration * (score_ + 1); }

 private:
  auto Worsen(int by) -> void;

  int score_ = 0;
};

}  // namespace heatherspan
