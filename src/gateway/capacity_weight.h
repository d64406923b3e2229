#pragma once

#include <algorithm>

namespace heatherspan {

/// How many requests an entry VM can carry, as a multiple of what a VM with a whole core can.
class CapacityWeight {
 public:
  /// `cpu_share`: in cores. `link_mbps`: of the machine's link; 0 if it is not known.
  static auto Of(double cpu_share, double link_mbps) -> double {
    const double by_link = link_mbps > 0 ? link_mbps / kMbpsPerCore : cpu_share;
    return std::clamp(std::min(cpu_share, by_link), kMin, kMax);
  }

  /// Of a VM whose event loop is late.
  static auto Reduced(double weight) -> double { return std::max(kMin, weight * kLatePart); }

  static constexpr double kUsual = 1;
  /// Each VM is named at times, or it would not show that it can carry requests again.
  static constexpr double kMin = 0.01;
  static constexpr double kMax = 1000;

 private:
  /// The traffic of the requests that keep one core busy.
  static constexpr double kMbpsPerCore = 200;
  static constexpr double kLatePart = 0.25;
};

}  // namespace heatherspan
