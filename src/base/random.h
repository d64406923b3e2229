#pragma once

#include <random>

namespace heatherspan {

/// The generator passed to every decision that draws random numbers, so that a seed replays it.
using Random = std::mt19937_64;

}  // namespace heatherspan
