#include "caps/max_min_fairness.h"

#include <algorithm>

namespace heatherspan {

auto MaxMinFairLevel(std::vector<double> demands, double total) -> double {
  std::sort(demands.begin(), demands.end());
  double remaining = total;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double equal_share = remaining / static_cast<double>(demands.size() - i);
    if (demands[i] > equal_share) return equal_share;
    remaining -= demands[i];
  }
  return total;
}

}  // namespace heatherspan
