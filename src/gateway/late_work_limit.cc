#include "gateway/late_work_limit.h"

#include <algorithm>
#include <cmath>

namespace heatherspan {
namespace {

/// Time constant of the recent work. It covers several requests of each kind at a small node and is
/// much shorter than a wave of traffic.
constexpr double kTimeConstantSeconds = 2;
/// Requests per slot, of preceding work, above which late work gives way. It is well below one
/// because work is uneven over the targets: the busiest have a queue while others are idle.
constexpr double kMinUtilization = 0.6;
/// Range above this threshold over which the wait of late work falls to nothing.
constexpr double kUtilizationRange = 0.4;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto LateWorkLimit::OnRequest(const ServiceName& service, int priority, Duration work,
                              bool can_be_on_time, MonotonicTime now) -> void {
  auto& recent = services_[service];
  const double kept =
      std::exp(-std::max(0.0, Seconds(now - recent.updated)) / kTimeConstantSeconds);
  recent.updated = now;
  for (auto& entry : recent.by_priority) {
    entry.all *= kept;
    entry.on_time *= kept;
  }
  auto found = std::find_if(recent.by_priority.begin(), recent.by_priority.end(),
                            [&](const Work& entry) { return entry.priority == priority; });
  if (found == recent.by_priority.end()) {
    found = recent.by_priority.insert(recent.by_priority.end(), {priority, 0, 0});
  }
  found->all += Seconds(work);
  if (can_be_on_time) found->on_time += Seconds(work);
}

auto LateWorkLimit::PrecedingShare(const ServiceName& service, int priority) const -> double {
  const auto found = services_.find(service);
  if (found == services_.end()) return 0;
  double all = 0;
  double preceding = 0;
  for (const auto& entry : found->second.by_priority) {
    all += entry.all;
    if (entry.priority <= priority) preceding += entry.on_time;
  }
  return all > 0 ? preceding / all : 0;
}

auto LateWorkLimit::WaitFraction(double utilization, double preceding_share) -> double {
  const double preceding = utilization * preceding_share;
  return 1 - std::clamp((preceding - kMinUtilization) / kUtilizationRange, 0.0, 1.0);
}

}  // namespace heatherspan
