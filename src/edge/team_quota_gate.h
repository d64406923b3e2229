#pragma once

#include <functional>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// Admits requests of teams within their quotas.
class TeamQuotaGate {
 public:
  struct Ruling {
    bool admitted = true;
    Duration retry_after{};  ///< If it is not admitted: until the quota is likely to have room.
  };
  using OnRuling = std::function<void(Ruling)>;

  /// Takes one request from the team's quota. The ruling may come before the call returns.
  auto Acquire(const TeamName& /*team*/, const OnRuling& on_ruling) -> void { on_ruling({}); }
  /// A request that was admitted has not run and will not run.
  auto GiveBack(const TeamName& /*team*/) -> void {}
};

}  // namespace heatherspan
