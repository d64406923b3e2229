#pragma once

#include <vector>

namespace heatherspan {

/// Divides a total among demands with max-min fairness: the smallest parts are as large as
/// possible, no part exceeds its demand, and all parts below their demand are equal. Returns this
/// equal part, the level. Each part is the smaller of its demand and the level. If the total covers
/// all demands, the level is the total.
auto MaxMinFairLevel(std::vector<double> demands, double total) -> double;

}  // namespace heatherspan
