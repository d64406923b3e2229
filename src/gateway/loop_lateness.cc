#include "gateway/loop_lateness.h"

#include <algorithm>

namespace heatherspan {

auto LoopLateness::OnTick(MonotonicTime now) -> void {
  // The first tick may have been late itself; an earlier one corrects it.
  if (due_ == MonotonicTime{} || now < due_) due_ = now;
  lag_ = now - due_;
  // Ticks that were missed are left out.
  due_ = std::max(due_ + interval_, now);
  const bool contradicts = is_late_ ? lag_ < kSoundLag : lag_ >= kLateLag;
  ticks_in_row_ = contradicts ? ticks_in_row_ + 1 : 0;
  if (ticks_in_row_ < (is_late_ ? kSoundTicks : kLateTicks)) return;
  ticks_in_row_ = 0;
  is_late_ = !is_late_;
  if (!is_late_) reduced_until_ = now + kReducedTime;
}

}  // namespace heatherspan
