#pragma once

#include <cstddef>
#include <vector>

#include "document/service.h"
#include "document/target.h"

namespace heatherspan {

/// A service, indexed for steering decisions.
struct SteeringService {
  const Service* service = nullptr;
  /// The targets by zone index, without the targets that the document drains.
  std::vector<std::vector<const Target*>> targets;
};

}  // namespace heatherspan
