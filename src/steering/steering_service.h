#pragma once

#include <cstddef>
#include <vector>

#include "document/service.h"
#include "document/target.h"

namespace heatherspan {

/// A service in a steering view.
struct SteeringService {
  const Service* service = nullptr;
  /// The targets by zone index, without those that the document drains.
  std::vector<std::vector<const Target*>> targets;
};

}  // namespace heatherspan
