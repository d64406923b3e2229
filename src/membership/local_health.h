#pragma once

#include "base/time.h"

namespace heatherspan {

/// Lifeguard's local health multiplier. A node whose probes fail, or that other nodes suspect, is
/// more likely to be slow itself. The node then uses longer timeouts before it suspects other
/// members.
class LocalHealth {
 public:
  static constexpr int kMaxScore = 8;

  auto OnProbeAnswered() -> void;
  auto OnProbeFailed() -> void;
  auto OnSuspectedByOthers() -> void;
  auto OnPause() -> void;

  /// 0 (healthy) to kMaxScore.
  auto score() const -> int { return score_; }
  auto Scale(Duration duration) const -> Duration { return duration * (score_ + 1); }

 private:
  auto Worsen(int by) -> void;

  int score_ = 0;
};

}  // namespace heatherspan
