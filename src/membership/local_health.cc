#include "membership/local_health.h"

#include <algorithm>

namespace heatherspan {

auto LocalHealth::OnProbeAnswered() -> void { score_ = std::max(score_ - 1, 0); }

auto LocalHealth::OnProbeFailed() -> void { Worsen(1); }

auto LocalHealth::OnSuspectedByOthers() -> void { Worsen(1); }

auto LocalHealth::OnPause() -> void { Worsen(2); }

auto LocalHealth::Worsen(int by) -> void { score_ = std::min(score_ + by, kMaxScore); }

}  // namespace heatherspan
