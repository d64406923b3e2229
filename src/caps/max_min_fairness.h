#pragma once

#include <vector>

namespace heatherspan {

/// Divides a total by demand so that the smallest parts are as large as possible: no part exceeds
/// its demand, and all parts below their demand are equal. Returns that equal part, the level; each
/// part is the smaller of its demand and the level. When the total covers every demand, the level
/// is the total.
auto MaxMinFairLevel(std::vector<double> demands, double total) -> double;

}  // namespace heatherspan
