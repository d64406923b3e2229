#pragma once

#include <string>

#include "document/drain_scope.h"

namespace heatherspan {

/// The planned removal of a target, an entry VM, a zone or a region from service.
struct Drain {
  DrainScope scope = DrainScope::kTarget;
  std::string name;  ///< The name of the target, entry VM, availability zone or region.
  std::string reason;

  friend auto operator==(const Drain&, const Drain&) -> bool = default;
};

}  // namespace heatherspan
