#pragma once

#include <chrono>
#include <ctime>

#include "base/time.h"

namespace heatherspan {

/// Time since the start of the machine. Unlike monotonic time it goes on while the machine is
/// suspended.
using BootTime = std::chrono::time_point<struct BootTimeTag, Duration>;

/// The clock of the operating system for what must not outlive a suspension of the machine.
class BootClock {
 public:
  auto Now() const -> BootTime {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return BootTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  }
};

}  // namespace heatherspan
