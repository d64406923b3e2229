#pragma once

#include <algorithm>

#include "base/boot_time.h"
#include "base/time.h"

namespace heatherspan {

/// The time at which a state is proved to have been complete: it has every change that the store
/// had acknowledged by then. The arrival of an answer proves nothing, because the answer may have
/// been made at any time since the call; the time of the call does.
class StateProof {
 public:
  /// Long before any time that counts. The clock may start at 0 with the machine.
  static constexpr BootTime kNever = BootTime(-std::chrono::hours(1));

  /// The state has all changes up to the time.
  auto OnProved(BootTime at) -> void { at_ = std::max(at_, at); }
  /// Another state of unknown age has replaced the one that was proved.
  auto Reset() -> void { at_ = kNever; }

  auto at() const -> BootTime { return at_; }
  auto Age(BootTime now) const -> Duration { return now - at_; }

 private:
  BootTime at_ = kNever;
};

}  // namespace heatherspan
