#include "gateway/crash_rate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace heatherspan {
namespace {

/// Targets crash now and then also where none has crashed in the window.
constexpr double kBaseCrashes = 0.05;
/// The time of an attempt that ends at once is not known better.
constexpr Duration kMinTimeAtTarget = std::chrono::milliseconds(50);

}  // namespace

auto CrashRate::Add(const ServiceName& service, Entry entry) -> bool {
  auto& list = crashes_[service];
  const auto known = std::find_if(list.begin(), list.end(),
                                  [&](const Entry& e) { return e.crash == entry.crash; });
  if (known != list.end()) {
    if (known->has_lost || !entry.has_lost) return false;
    *known = std::move(entry);
    return true;
  }
  while (!list.empty() &&
         (entry.at - list.front().at > 2 * kWindow || list.size() == kMaxCrashes)) {
    list.pop_front();
  }
  list.push_back(std::move(entry));
  return true;
}

auto CrashRate::IsBurst(const ServiceName& service, MonotonicTime at) const -> bool {
  const auto found = crashes_.find(service);
  if (found == crashes_.end()) return false;
  return std::count_if(found->second.begin(), found->second.end(), [at](const Entry& entry) {
           return std::chrono::abs(entry.at - at) <= kBurstWindow / 2;
         }) >= kMinTogether;
}

auto CrashRate::Chance(const ServiceName& service, std::size_t target_count, Duration at_target,
                       const std::vector<TargetCrash>& own, MonotonicTime crashed_at) const
    -> double {
  int others = 0;
  int burst = 0;
  int down = 0;
  if (const auto found = crashes_.find(service); found != crashes_.end()) {
    for (const auto& entry : found->second) {
      if (std::find(own.begin(), own.end(), entry.crash) != own.end()) continue;
      const auto distance = std::chrono::abs(entry.at - crashed_at);
      if (distance <= kBurstWindow / 2) ++(entry.has_lost ? burst : down);
      if (!entry.has_lost) continue;
      if (entry.at <= crashed_at + kBurstWindow / 2 && distance <= kWindow) ++others;
    }
  }
  if (down > 0 && IsBurst(service, crashed_at)) burst += down;
  using Seconds = std::chrono::duration<double>;
  const double rate = std::max((others + kBaseCrashes) / Seconds(kWindow).count(),
                               burst / Seconds(kBurstWindow).count());
  const double exposure = Seconds(std::max(at_target, kMinTimeAtTarget)).count() /
                          static_cast<double>(std::max<std::size_t>(1, target_count));
  return 1 - std::exp(-rate * exposure);
}

}  // namespace heatherspan
