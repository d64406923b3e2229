#include "caps/max_min_division.h"

#include <algorithm>

namespace heatherspan {

auto MaxMinLevel(std::vector<double> demands, double total) -> double {
  std::sort(demands.begin(), demands.end());
  double left = total;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double equal_part = left / static_cast<double>(demands.size() - i);
    if (demands[i] > equal_part) return equal_part;
    left -= demands[i];
  }
  return total;
}

}  // namespace heatherspan
